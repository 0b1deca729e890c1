"""The operators of the soak: they change the configuration and read it back."""

import asyncio
import json
import random
import time

from http_io import call

MAX_APPLY_S = 2.5  # bound for an acknowledged configuration to take effect on entry hosts
MAX_OLD_ROUTES = 30


def document(number, author):
    def route(name, prefix, kind):
        return {"name": name, "host": "a.example", "path_prefix": prefix, "kind": kind,
                "timeout_s": 3, "target_latency_s": 0.5, "priority": 0, "service": "s",
                "max_attempts": 2, "has_affinity": True}

    routes = [route("p", "/p/", "repeatable"), route("q", "/q/", "at_most_once")]
    for added in range(max(1, number - MAX_OLD_ROUTES), number + 1):
        routes.append(route(f"v{added}", f"/v{added}/", "repeatable"))
    return json.dumps({"version": number, "routes": routes, "author": author,
                       "services": [{"name": "s", "max_connections": 100}],
                       "limits": {}}).encode()


class Operators:
    def __init__(self, soak, seed):
        self.soak = soak
        self.random = random.Random(seed)
        self.newest_document = b""  # the newest acknowledged document, as it was sent
        self.acknowledged_at = 0.0
        self._probes = 0
        self.served = set()  # (entry process, number) for routes that the process has served

    async def _call(self, start, headers, body=b"", timeout_s=2.0):
        """Calls a random control host and follows redirects to the leader."""
        endpoint = self.random.choice(self.soak.control_endpoints)
        for _ in range(3):
            answer = await call(endpoint, start, headers, body, timeout_s)
            if answer is None or answer.status != 307:
                return answer
            endpoint = self.soak.control_by_location(answer.headers["location"])
            if endpoint is None:
                return None
        return None

    async def put(self, number, base, author):
        """Sends one document until a response is conclusive; returns its status, 0 at shutdown."""
        body = document(number, author)
        while True:
            answer = await self._call("POST /document", {
                "Base-Version": str(base), "Content-Type": "application/json"}, body)
            if answer is not None and answer.status in (200, 400, 409, 412):
                return answer.status
            if self.soak.is_shutting_down():
                return 0
            await asyncio.sleep(0.1)

    async def run(self):
        while not self.soak.is_over():
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            await self.apply_next()
            await self._read_document()
            await self._probe_newest_route()

    async def apply_next(self):
        base = self.soak.ledger.acknowledged
        number = base + self.random.randrange(1, 4)
        if self.random.random() < 0.3:
            authors = ("a", "b")
            statuses = await asyncio.gather(
                *(self.put(number, base, author) for author in authors))
        else:
            authors = ("a",)
            statuses = [await self.put(number, base, "a")]
        if 0 in statuses:
            return
        if statuses.count(200) != 1:
            self.soak.ledger.report("race of operators", f"{number} on {base}: {statuses}")
            return
        self.newest_document = document(number, authors[statuses.index(200)])
        self.soak.ledger.acknowledged = number
        self.acknowledged_at = time.monotonic()

    async def _read_document(self):
        acknowledged_before = self.soak.ledger.acknowledged
        answer = await self._call("GET /document", {})
        if answer is not None and answer.status == 200:
            self.soak.ledger.check_read(json.loads(answer.body)["version"], acknowledged_before)

    async def _probe_newest_route(self):
        """Requests the newest route from an entry host; anything but 404 shows that it is known."""
        number = self.soak.ledger.acknowledged
        is_due = time.monotonic() - self.acknowledged_at > MAX_APPLY_S and \
            self.soak.is_fault_free_since(self.acknowledged_at)
        entry = self.random.choice(self.soak.system.entries)
        process = (entry.name, entry.process.pid)
        self._probes += 1
        request_id = f"probe-{self._probes}"
        self.soak.ledger.record_request(request_id, "repeatable")
        answer = await call(self.soak.entry_proxy(entry.name), f"GET /v{number}/x",
                            {"Attempt-Id": request_id, "Deadline-Ms": "1000"}, timeout_s=1.5)
        if answer is None:
            return
        if answer.status != 404:
            self.served.add((process, number))
        elif is_due or (process, number) in self.served:
            self.soak.ledger.report("configuration not in force", f"{number} at {entry.name}")

    async def is_newest_read_back(self):
        """Returns True if the newest acknowledged document is read back byte for byte."""
        answer = await self._call("GET /document", {})
        if answer is None or answer.status != 200:
            return False
        self.soak.ledger.check_read(json.loads(answer.body)["version"],
                                   self.soak.ledger.acknowledged)
        return answer.body == self.newest_document
