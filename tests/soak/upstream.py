"""An upstream of the soak: announces itself, runs requests and records each run."""

import asyncio
import hashlib
import json
import random
import time

from http_io import call, encode, read_message


def expected_body(request_id, instance):
    """The body that the instance returns for the request; callers compare against it."""
    return hashlib.sha256(f"{request_id}/{instance}".encode()).hexdigest().encode()


async def _write_without_end(writer, start, repeated):
    """Writes until the client closes the connection."""
    writer.write(start)
    while not writer.is_closing():
        writer.write(repeated * 1000)
        await writer.drain()
        await asyncio.sleep(0.01)


class Upstream:
    def __init__(self, name, zone, service, listen, announced, control, ledger, seed):
        self.name = name
        self.zone = zone
        self.service = service
        self.listen = listen
        self.announced = announced  # (address, port) of its proxy
        self.control = control  # list of (address, port), one for the proxy of each control host
        self.ledger = ledger
        self.random = random.Random(seed)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = 3
        self.running = 0
        self.failure_share = 0.0  # share of the responses that break the protocol
        self.state = "serving"
        self.left_at = None  # monotonic time at which its leave was acknowledged
        self._server = None
        self._announce_task = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.listen)
        self._announce_task = asyncio.create_task(self._announce_periodically())

    def crash(self):
        """Stops announcing and listening without a leave; open connections are still served."""
        self.state = "crashed"
        self._announce_task.cancel()
        self._server.close()

    async def leave(self):
        """Announces the leave until a control host acknowledges it or the upstream crashes."""
        self.state = "leaving"
        while self.state == "leaving" and not await self._announce():
            await asyncio.sleep(0.1)
        self.left_at = time.monotonic()

    async def _announce_periodically(self):
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
        refusals = []  # written on this connection
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, writer, refusals):
                    break
        except (OSError, EOFError, ValueError):
            pass  # The client closed or reset the connection.
        finally:
            writer.close()

    async def _answer(self, request, writer, refusals):
        request_id = request.headers.get("attempt-id", "")
        reply = {"Attempt-Id": request_id, "Server-Load": f"{self.running},0,{self.slots}"}
        if request.headers.get("expect-instance") != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", reply))
            return True
        is_faulty = self.random.random() < self.failure_share
        if self.running >= self.slots * 2 or (is_faulty and self.random.random() < 0.3):
            # A faulty instance may also leave out the id.
            named = {"Attempt-Id": request_id} if not is_faulty else {}
            refusals.append(encode("HTTP/1.1 503 Service Unavailable",
                                   {**named, "Not-Executed": "1"}))
            writer.write(refusals[-1])
            return True
        self.running += 1
        self.ledger.record_run(request_id, self, request)
        try:
            await asyncio.sleep(self.random.uniform(0.005, 0.08))
        finally:
            self.running -= 1
        if is_faulty:
            return await self._break_protocol(writer, reply, refusals)
        # Holds the instance name instead of a signature; callers check the body against it.
        reply["Server-Seal"] = self.name
        writer.write(encode("HTTP/1.1 200 OK", reply, expected_body(request_id, self.name)))
        await writer.drain()
        return True

    async def _break_protocol(self, writer, reply, refusals):
        """Answers a request that ran; returns whether the connection stays open."""
        body = expected_body(reply["Attempt-Id"], self.name)
        response = encode("HTTP/1.1 200 OK", reply, body)
        kind = self.random.choice(["lost", "cut", "refusal", "endless head", "endless body"])
        if kind == "cut":
            writer.write(response[:self.random.randrange(1, len(response))])
        elif kind == "refusal" and refusals:
            writer.write(self.random.choice(refusals))
            return True
        elif kind == "endless head":
            await _write_without_end(writer, b"HTTP/1.1 200 OK\r\n", b"X-Fill: oil\r\n")
        elif kind == "endless body":
            head = encode("HTTP/1.1 200 OK", {**reply, "Transfer-Encoding": "chunked"})
            head = head.replace(b"Content-Length: 0\r\n", b"")
            await _write_without_end(writer, head, b"4\r\nfuel\r\n")
        return False
