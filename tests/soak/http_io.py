"""Minimal HTTP/1.1 reading and writing for the callers and upstreams of the soak."""

import asyncio


class Message:
    """An HTTP message: start line, header fields by lower-case name, and body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_message(reader):
    """Reads a message with a Content-Length or chunked body; None at the end of the stream.

    Raises EOFError if it is truncated; ValueError if it is malformed.
    """
    start = await reader.readline()
    if not start:
        return None
    if not start.endswith(b"\r\n"):
        raise EOFError("start line is truncated")
    headers = {}
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise EOFError("header is truncated")
        if line == b"\r\n":
            break
        name, value = line.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await _read_exactly(reader, int(headers.get("content-length", "0")))
    return Message(start.decode("latin-1").strip(), headers, body)


async def _read_exactly(reader, count):
    try:
        return await reader.readexactly(count)
    except asyncio.IncompleteReadError as error:
        raise EOFError("body is truncated") from error


async def _read_chunks(reader):
    body = b""
    while size := int((await _read_line(reader)).split(b";")[0], 16):
        body += await _read_exactly(reader, size)
        await _read_exactly(reader, 2)
    await _read_line(reader)
    return body


async def _read_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise EOFError("chunk is truncated")
    return line


def encode(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(endpoint, start, headers, body=b"", timeout_s=2.0):
    """Sends `start` (method and path) on a new connection; None without a complete response."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*endpoint)
        try:
            writer.write(encode(start + " HTTP/1.1",
                                {"Host": "a.example", "Connection": "close", **headers}, body))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        return None
