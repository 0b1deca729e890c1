"""Test oracle: records what callers and upstreams observed and checks the guarantees."""

import time

# Bound from the acknowledgement of a leave to the last request at the upstream.
MAX_DRAIN_S = 2.5
# Statuses that guarantee that the request has not run and will not run later.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Ledger:
    def __init__(self):
        self.runs = {}  # request id -> list of (upstream, time)
        self.kinds = {}  # request id -> "repeatable" or "at_most_once"
        self.statuses = {}  # request id -> status; 0 without a complete response
        self.bodies = {}  # request id -> body that was sent
        self.violations = []
        self.acknowledged = 0  # number of the newest acknowledged document
        self.counts = {}

    def record_request(self, request_id, kind, body=b""):
        """Records a request before the caller sends it."""
        self.kinds[request_id] = kind
        self.bodies[request_id] = body

    def report(self, rule, detail):
        self.violations.append(f"{rule}: {detail}")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def record_run(self, request_id, upstream, request):
        now = time.monotonic()
        runs = self.runs.setdefault(request_id, [])
        runs.append((upstream.name, now))
        if request_id not in self.kinds:
            self.report("unknown request", f"{upstream.name} ran {request_id!r}")
            return
        if request.body != self.bodies[request_id]:
            self.report("changed request", f"{request_id} at {upstream.name}")
        if self.kinds[request_id] == "at_most_once" and len(runs) > 1:
            self.report("ran twice", f"{request_id} at {[name for name, _ in runs]}")
        if self.statuses.get(request_id) in NOT_RUN_STATUSES:
            self.report("ran after a refusal", request_id)
        if upstream.left_at is not None and now - upstream.left_at > MAX_DRAIN_S:
            self.report("drained upstream got a request", f"{request_id} at {upstream.name}")

    def record_response(self, request_id, status):
        self.statuses[request_id] = status
        self.count(f"status {status}")
        if status in NOT_RUN_STATUSES and self.runs.get(request_id):
            self.report("refusal that says not run", f"{request_id} ran, status {status}")

    def check_read(self, number, acknowledged_before):
        """Checks a read of `number` that began when `acknowledged_before` was acknowledged."""
        if number < acknowledged_before:
            self.report("older configuration", f"{number} after {acknowledged_before}")
