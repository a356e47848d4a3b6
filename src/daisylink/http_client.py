"""A small HTTP/1.1 client for calls to one address: JSON bodies, timeouts, keep-alive.

It tells a call that was never sent from one whose answer was lost, which a library's
client does not; and it needs little time to import.
"""

import asyncio
from typing import NamedTuple

import httptools

from daisylink.errors import CallError

MAX_IDLE = 4


class HttpResponse(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection, which serves one call at a time."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.response: asyncio.Future[HttpResponse] | None = None
        self.body: list[bytes] = []
        self.keeps = True

    @property
    def is_open(self) -> bool:
        """Return whether the connection can serve another call."""
        return self.keeps and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the open connection."""
        self.transport = transport

    def connection_lost(self, _error: Exception | None) -> None:
        """Fail the call under way."""
        if self.response is not None and not self.response.done():
            self.response.set_exception(CallError("connection lost", was_sent=True))

    def data_received(self, data: bytes) -> None:
        """Parse a piece of the answer."""
        if self.response is None or self.response.done():
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Give the answer to the call."""
        self.keeps = self.parser.should_keep_alive()
        answer = HttpResponse(self.parser.get_status_code(), b"".join(self.body))
        if not self.response.done():
            self.response.set_result(answer)

    async def call(self, request: bytes) -> HttpResponse:
        """Send a request and return its answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.body = []
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return await self.response


class HttpClient:
    """Calls to one address.

    :param address: ``ip:port``.
    """

    def __init__(self, address: str):
        self.address = address
        self.idle: list[_Connection] = []

    async def call(
        self, method: str, target: str, timeout_seconds: float, body: bytes = b""
    ) -> HttpResponse:
        """Send a request and return its answer.

        :param target: path and query.
        :param timeout_seconds: longest time, with connecting.
        :raises CallError: telling whether the request may have been carried out.
        """
        lines = [f"{method} {target} HTTP/1.1", f"host: {self.address}"]
        if body or method != "GET":
            lines.append("content-type: application/json")
            lines.append(f"content-length: {len(body)}")
        request = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        connection = None
        try:
            async with asyncio.timeout(timeout_seconds):
                connection = self._take_idle() or await self._connect()
                answer = await connection.call(request)
        except TimeoutError as error:
            raise CallError("timed out", was_sent=connection is not None) from error
        except OSError as error:
            message = error.strerror or type(error).__name__
            raise CallError(message, was_sent=connection is not None) from error
        finally:
            self._put_back(connection)
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.transport.abort()
        self.idle.clear()

    def _take_idle(self) -> _Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                return connection
        return None

    def _put_back(self, connection: _Connection | None) -> None:
        """Keep a connection whose answer came whole; nothing comes on any other."""
        if connection is None:
            return
        answer = connection.response
        is_whole = answer is not None and answer.done() and not answer.cancelled()
        if is_whole and not answer.exception() and connection.is_open:
            self.idle.append(connection)
            if len(self.idle) > MAX_IDLE:
                self.idle.pop(0).transport.close()
            return
        connection.transport.abort()

    async def _connect(self) -> _Connection:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(_Connection, host, int(port))
        return connection
