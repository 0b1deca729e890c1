"""Callers of the soak: they reuse connections and check each response."""

import asyncio
import json
import random
import time

from http_io import call, encode, read_message
from upstream import expected_body

DEADLINE_S = 3.0
# A fault that ended less than this ago may still explain a lost response.
FAULT_AFTERMATH_S = 3.0


class Caller:
    def __init__(self, name, soak, seed):
        self.name = name
        self.soak = soak
        self.random = random.Random(seed)
        self.sent = 0
        self._connections = {}  # entry host name -> (reader, writer)

    async def run(self):
        while not self.soak.is_over():
            entry = await self._choose_entry()
            if entry is not None:
                await self._send(entry)
            await asyncio.sleep(self.random.uniform(0.0, 0.1))

    def close(self):
        for _, writer in self._connections.values():
            writer.close()

    async def _choose_entry(self):
        """Returns a connected entry host, or in one call of ten one from the directory, or None."""
        if self.random.random() < 0.1 or not self._connections:
            control = self.random.choice(self.soak.directory_endpoints)
            answer = await call(control, "GET /entry-hosts?name=a.example&zone=z-a&region=r-1",
                                {}, timeout_s=1.0)
            if answer is None or answer.status != 200:
                return None
            addresses = json.loads(answer.body)["addresses"]
            return self.soak.entry_by_address(self.random.choice(addresses))
        return self.random.choice(list(self._connections))

    async def _send(self, entry):
        ledger = self.soak.ledger
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        is_repeatable = self.random.random() < 0.5
        body = b"" if is_repeatable else self.random.randbytes(self.random.randrange(1, 9000))
        ledger.record_request(request_id, "repeatable" if is_repeatable else "at_most_once", body)
        start = "GET /p/x HTTP/1.1" if is_repeatable else "POST /q/x HTTP/1.1"
        data = encode(start, {
            "Host": "a.example", "Attempt-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Affinity-Key": str(self.random.randrange(20))}, body)
        started_at = time.monotonic()
        answer = await self._exchange(entry, data)
        ledger.record_response(request_id, answer.status if answer else 0)
        if answer is None:
            self._check_lost_response(entry, request_id, started_at)
        else:
            self._check(request_id, answer)

    async def _exchange(self, entry, data):
        try:
            if entry not in self._connections:
                self._connections[entry] = await asyncio.wait_for(
                    asyncio.open_connection(*self.soak.entry_proxy(entry)), 1.0)
            reader, writer = self._connections[entry]
            writer.write(data)
            answer = await asyncio.wait_for(read_message(reader), DEADLINE_S + 1.0)
        except (OSError, EOFError, ValueError, asyncio.TimeoutError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            _, writer = self._connections.pop(entry, (None, None))
            if writer is not None:
                writer.close()
        return answer

    def _check(self, request_id, answer):
        ledger = self.soak.ledger
        instance = answer.headers.get("server-seal")
        if answer.status != 200:
            return
        if answer.headers.get("attempt-id") != request_id:
            ledger.report("answer of another request", request_id)
        elif instance is None or answer.body != expected_body(request_id, instance):
            ledger.report("cut or changed answer", request_id)
        elif all(name != instance for name, _ in ledger.runs.get(request_id, [])):
            ledger.report("answer without a run", request_id)

    def _check_lost_response(self, entry, request_id, started_at):
        # A request that never ran may be lost: it may arrive while the connection is being closed.
        if request_id in self.soak.ledger.runs and \
                self.soak.is_fault_free_since(started_at - FAULT_AFTERMATH_S):
            self.soak.ledger.report("request cut by planned work", f"{request_id} at {entry}")
