"""An instance: announces itself, runs requests and notes each arrival, start and end."""

import asyncio
import json
import time

from harness import CONTROL, SERVER, call, encode, read_message


class Run:
    def __init__(self, attempt, server):
        self.attempt = attempt
        self.server = server
        self.started_at = time.monotonic()
        self.ended_at = None
        self.is_complete = False  # answered in full


class Server:
    """Works for `work_s` on each request; drops a request whose connection closes."""

    def __init__(self, deployment, operator, number, service, zone, work_s):
        self.deployment = deployment
        self.operator = operator
        self.id = f"i-{number}"
        self.address = deployment.address(number)
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = 16
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self._tasks = []
        self._listener = None

    async def start(self):
        self._listener = await asyncio.start_server(self._serve, self.address, SERVER,
                                                    limit=1 << 21)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        self._listener.close()

    async def _beat(self):
        target = 0
        while True:
            self.sequence += 1
            body = json.dumps({"service": self.service, "address": f"{self.address}:{SERVER}",
                               "zone": self.zone, "version": "v1", "slots": self.slots,
                               "state": "serving", "cold_left_s": 0, "sequence": self.sequence,
                               "born": self.born}).encode()
            for _ in range(3):
                host = self.operator.cores[target % len(self.operator.cores)]
                answer = await call((host.address, CONTROL), f"POST /upstreams/{self.id}/announce",
                                    {"Content-Type": "application/json"}, body)
                if answer is not None and answer[0] == 200:
                    break
                target += 1
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if not await self._answer(message, reader, writer):
                    break
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass  # the connection was closed
        finally:
            writer.close()

    async def _answer(self, message, reader, writer):
        _, headers, _ = message
        attempt = headers.get("attempt-id", "")
        reply = {"Attempt-Id": attempt, "Server-Load": f"{self.running},0,{self.slots}"}
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", reply))
            return True
        run = Run(attempt, self.id)
        self.runs.append(run)
        self.running += 1
        self.deployment.record.write(f"{self.id} runs {attempt}")
        work = asyncio.create_task(asyncio.sleep(self.work_s))
        closed = asyncio.create_task(self._wait_for_close(reader))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.running -= 1
            run.ended_at = time.monotonic()
        is_dropped = closed.done() and not work.done()
        closed.cancel()
        work.cancel()
        if is_dropped:
            self.deployment.record.write(f"{self.id} drops {attempt}: its connection was closed")
            return False
        writer.write(encode("HTTP/1.1 200 OK", {**reply, "Server-Seal": f"{self.id}.{attempt}"},
                            f"done {attempt}".encode()))
        await writer.drain()
        run.is_complete = True
        self.deployment.record.write(f"{self.id} answers {attempt}")
        return True

    @staticmethod
    async def _wait_for_close(reader):
        # The peer sends nothing before it has the answer, so only the end of the stream wakes this.
        while not reader.at_eof():
            await asyncio.sleep(0.02)
            if reader.exception() is not None:
                return
