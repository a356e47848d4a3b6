"""HTTP/1.1 for the stand-ins, on asyncio streams."""

import asyncio
from typing import NamedTuple

READ_BYTES = 64 * 1024
REASONS = {200: "OK", 404: "Not Found", 421: "Misdirected Request"}


class Request(NamedTuple):
    """A request that was read whole."""

    method: str
    target: str
    headers: dict
    body: bytes


class Reply(NamedTuple):
    """An answer with a length."""

    status: int
    body: bytes = b""
    headers: dict = {}

    def encode(self):
        """Return the bytes of the answer."""
        reason = REASONS.get(self.status, "Status")
        lines = [f"HTTP/1.1 {self.status} {reason}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


async def read_head(reader):
    """Return the start line and the headers, names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    pieces = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(pieces)


class HttpServer:
    """A listener that serves one request at a time on each connection.

    :param host: loopback address to listen on.
    """

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        """Return the address as ``ip:port``."""
        return f"{self.host}:{self.port}"

    async def start(self, port=0):
        """Listen on a port, a free one by default."""
        self.server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case ends; asyncio would report a cancelled handler as an error.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        """Read one request and answer it."""
        start, headers = await read_head(reader)
        method, target, _ = start.split(" ")
        body = await read_body(reader, headers)
        reply = await self.handle(Request(method, target, headers, body))
        writer.write(reply.encode())
        await writer.drain()

    async def handle(self, request):
        """Return the answer to a request."""
        raise NotImplementedError


async def call(address, method, target, body=b"", headers=None, seconds=2.0):
    """Make one call on a connection of its own; return its status, 0 without one."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    lines.append("Connection: close")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            start, found = await read_head(reader)
            await read_body(reader, found)
        return int(start.split(" ")[1])
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()
