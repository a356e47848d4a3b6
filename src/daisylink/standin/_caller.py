"""Stand-in caller: a small HTTP/1.1 client for demo, tests and benchmarks."""

import asyncio
from typing import NamedTuple

import httptools

READ_BYTES = 64 * 1024


class Response(NamedTuple):
    """An HTTP response.

    :param status: status code, 0 if the connection closed before any header.
    :param is_complete: false if the connection closed before the end of the response.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def code(self) -> int:
        """Return the result code of a refusal, 0 for a backend server's response."""
        return int(self.headers.get("daisylink-code", "0"))

    @property
    def outcome(self) -> str:
        """Return whether a refused request was run: ``not-run`` or ``unknown``."""
        return self.headers.get("daisylink-outcome", "")


class _ResponseCollector:
    """Parser callbacks that collect one response."""

    def __init__(self):
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body.append(data)

    def on_message_complete(self) -> None:
        self.complete = True


class CallerClient:
    """A client with one keep-alive connection.

    :param address: ``ip:port`` to connect to, such as a node's callers' listener.
    """

    def __init__(self, address: str):
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        method: str,
        path: str,
        host: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request and return its response.

        :raises OSError: if no connection can be opened.
        """
        lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"content-length: {len(body)}")
        return await self.send(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def send(self, data: bytes) -> Response:
        """Send a request given as bytes and return its response."""
        if self.writer is None or self.writer.is_closing():
            await self._connect()
        self.writer.write(data)
        return await self.read_response()

    async def read_response(self) -> Response:
        """Read the next response on the connection."""
        collector = _ResponseCollector()
        parser = httptools.HttpResponseParser(collector)
        while not collector.complete:
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                break
            parser.feed_data(data)
        status = parser.get_status_code() if collector.headers else 0
        keep_alive = (
            collector.complete and collector.headers.get("connection") != "close"
        )
        if not keep_alive:
            self.close()
        body = b"".join(collector.body)
        return Response(status, collector.headers, body, collector.complete)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
