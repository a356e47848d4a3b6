"""HTTP/1.1 messages for the stand-ins: a listener and a client on asyncio streams."""

import asyncio
from typing import NamedTuple

MAX_HEAD_BYTES = 256 * 1024


class Message(NamedTuple):
    """A request or a response.

    :param first: the words of the first line.
    :param headers: values by name in lower case.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.first[1])


async def read_head(reader):
    """Return the words of the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        pieces = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(pieces)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_message(reader):
    """Return the next message.

    :raises asyncio.IncompleteReadError: if the connection ends first.
    """
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers))


def encode_request(method, path, host, headers=(), body=b""):
    """Return the bytes of a request with a length."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in dict(headers).items()]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_response(status, body=b"", headers=()):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in dict(headers).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def connect(address):
    """Open a connection to ``ip:port``."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)


async def call(address, data, seconds):
    """Send a request on a new connection; return the response, None without one."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await connect(address)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Listener:
    """An HTTP listener; subclasses handle complete requests."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.server = None
        self.writers = set()

    @property
    def address(self):
        """Return ``ip:port``."""
        return f"{self.host}:{self.port}"

    async def listen(self):
        """Accept connections."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_HEAD_BYTES
        )

    def stop_listening(self):
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.handle(await read_message(reader), reader, writer)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, reader, writer):
        """Handle a request."""
        raise NotImplementedError
