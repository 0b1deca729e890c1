"""A back end of the soak: announces itself, runs requests and records each run."""

import asyncio
import hashlib
import json
import random
import time

from http_io import call, encode, read_message


def body_of(request_id, instance):
    """What the instance returns for the request, so that a caller can check it."""
    return hashlib.sha256(f"{request_id}/{instance}".encode()).hexdigest().encode()


class Upstream:
    def __init__(self, name, zone, service, listen, announced, control, ledger, seed):
        self.name = name
        self.zone = zone
        self.service = service
        self.listen = listen
        self.announced = announced  # endpoint of its proxy
        self.control = control  # proxies of the control hosts
        self.ledger = ledger
        self.random = random.Random(seed)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = 3
        self.running = 0
        self.failure_share = 0.0  # answers that are lost or cut
        self.state = "serving"
        self.left_at = None  # time at which its leave was acknowledged
        self._server = None
        self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.listen)
        self._beats = asyncio.create_task(self._announce_forever())

    def crash(self):
        """Ends without a word; its connections are closed."""
        self.state = "crashed"
        self._beats.cancel()
        self._server.close()

    async def leave(self):
        """Reports that it leaves until a control host has acknowledged that."""
        self.state = "leaving"
        while self.state == "leaving" and not await self._announce():
            await asyncio.sleep(0.1)
        self.left_at = time.monotonic()

    async def _announce_forever(self):
        while True:
            if self.state == "serving":
                await self._announce()
            await asyncio.sleep(0.3)

    async def _announce(self):
        self.sequence += 1
        state = self.state
        body = json.dumps({
            "service": self.service, "address": "%s:%d" % self.announced, "zone": self.zone,
            "slots": self.slots, "state": state, "cold_left_s": 0,
            "sequence": self.sequence, "born": self.born, "version": "v1"}).encode()
        host = self.random.choice(self.control)
        answer = await call(host, f"POST /upstreams/{self.name}/announce",
                            {"Content-Type": "application/json"}, body, timeout_s=1.0)
        return answer is not None and answer.status == 200

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, writer):
                    break
        except (OSError, EOFError, ValueError):
            pass  # The caller of the connection went away.
        finally:
            writer.close()

    async def _answer(self, request, writer):
        request_id = request.headers.get("attempt-id", "")
        reply = {"Attempt-Id": request_id, "Server-Load": f"{self.running},0,{self.slots}"}
        if request.headers.get("expect-instance") != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", reply))
            return True
        if self.running >= self.slots * 2:
            writer.write(encode("HTTP/1.1 503 Service Unavailable",
                                {**reply, "Not-Executed": "1"}))
            return True
        self.running += 1
        self.ledger.ran(request_id, self, request)
        try:
            await asyncio.sleep(self.random.uniform(0.005, 0.08))
        finally:
            self.running -= 1
        if self.random.random() < self.failure_share:
            if self.random.random() < 0.5:
                return False  # the answer is lost
            writer.write(encode("HTTP/1.1 200 OK", reply,
                                body_of(request_id, self.name))[:-20])  # the answer is cut
            return False
        # The seal names the instance, as a signature of the answer.
        reply["Server-Seal"] = self.name
        writer.write(encode("HTTP/1.1 200 OK", reply, body_of(request_id, self.name)))
        await writer.drain()
        return True
