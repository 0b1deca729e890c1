"""TCP relay that can delay, hold back or reset the traffic of its connections."""

import asyncio
import socket
import struct


class Proxy:
    """Relays connections from one endpoint to another.

    Modes: pass, delay, silent (holds bytes in both directions), no_answers (holds
    bytes from the target), refuse (resets new connections).
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        self._mode_changed = asyncio.Event()
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._relay, *self.listen)

    async def stop(self):
        self.set_mode("pass")
        self._server.close()
        self.reset_connections()

    def set_mode(self, mode, delay_s=0.0):
        self.mode = mode
        self.delay_s = delay_s
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    def reset_connections(self):
        for writer in list(self._writers):
            _reset(writer)

    async def _relay(self, reader, writer):
        if self.mode == "refuse":
            _reset(writer)
            return
        self._writers.add(writer)
        try:
            await self._wait_until_open("up")
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self._writers.discard(writer)
            _reset(writer)
            return
        self._writers.add(up_writer)
        await asyncio.gather(self._pump(reader, up_writer, "up"),
                             self._pump(up_reader, writer, "down"))
        for end in (writer, up_writer):
            self._writers.discard(end)
            end.close()

    async def _wait_until_open(self, direction):
        while self.mode == "silent" or (self.mode == "no_answers" and direction == "down"):
            await self._mode_changed.wait()
        if self.mode == "delay":
            await asyncio.sleep(self.delay_s)

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                await self._wait_until_open(direction)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # Passes the failure on to the other connection of the pair as a reset.
            _reset(writer)


def _reset(writer):
    """Closes the connection with a TCP reset instead of a FIN."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
