"""What callers and upstreams saw, and the promises that it has to keep."""

import time

# Time within which a leaving upstream gets its last request: SYSTEM bound.
DRAIN_S = 2.5
# Statuses that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


class Ledger:
    def __init__(self):
        self.runs = {}  # request id -> list of (upstream, time)
        self.kinds = {}  # request id -> "repeatable" or "at_most_once"
        self.final = {}  # request id -> status, 0 without a whole response
        self.bodies = {}  # request id -> body that was sent
        self.violations = []
        self.acknowledged = 0  # newest configuration
        self.counts = {}

    def expect(self, request_id, kind, body=b""):
        """A caller is about to send the request."""
        self.kinds[request_id] = kind
        self.bodies[request_id] = body

    def broken(self, rule, detail):
        self.violations.append(f"{rule}: {detail}")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def ran(self, request_id, upstream, request):
        now = time.monotonic()
        runs = self.runs.setdefault(request_id, [])
        runs.append((upstream.name, now))
        if request_id not in self.kinds:
            self.broken("unknown request", f"{upstream.name} ran {request_id!r}")
            return
        if request.body != self.bodies[request_id]:
            self.broken("changed request", f"{request_id} at {upstream.name}")
        if self.kinds[request_id] == "at_most_once" and len(runs) > 1:
            self.broken("ran twice", f"{request_id} at {[name for name, _ in runs]}")
        if self.final.get(request_id) in NOT_RUN:
            self.broken("ran after a refusal", request_id)
        if upstream.left_at is not None and now - upstream.left_at > DRAIN_S:
            self.broken("drained upstream got a request", f"{request_id} at {upstream.name}")

    def answered(self, request_id, status):
        self.final[request_id] = status
        self.count(f"status {status}")
        if status in NOT_RUN and self.runs.get(request_id) and \
                self.kinds[request_id] == "at_most_once":
            self.broken("refusal that says not run", f"{request_id} ran, status {status}")

    def read_back(self, number, asked_after):
        """A control host returned document `number`, asked after `asked_after` was
        acknowledged."""
        if number < asked_after:
            self.broken("older configuration", f"{number} after {asked_after}")
