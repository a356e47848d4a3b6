"""A small HTTP/1.1 client for one address, with JSON bodies, timeouts and keep-alive.

Unlike clients of general use it distinguishes a request that was never sent from one
whose response was lost, and it is fast to import.
"""

import asyncio
from typing import NamedTuple

import httptools

from daisylink.errors import CallError

MAX_IDLE_CONNECTIONS = 4
# Several pages of the store's largest listing; a process has 200 MB on small machines.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class HttpResponse(NamedTuple):
    """A complete response.

    :param headers: header values by name in lower case.
    """

    status: int
    body: bytes
    headers: dict[bytes, bytes] = {}


class Transfer:
    """What has arrived of a response, which may take long on a narrow link.

    As long as bytes arrive, the call does not time out.

    :param started_at: when the call began, in seconds of the event loop's clock.
    :param stall_seconds: the call times out when nothing arrives for this long.
    """

    def __init__(self, started_at: float, stall_seconds: float):
        self.started_at = started_at
        self.stall_seconds = stall_seconds
        self.received_bytes = 0
        self.received_at = float("-inf")
        self.timeout: asyncio.Timeout | None = None

    @property
    def is_too_large(self) -> bool:
        """Return whether more has arrived than a response may have."""
        return self.received_bytes > MAX_RESPONSE_BYTES

    def record(self, size: int, now: float) -> None:
        """Record bytes that arrived, and extend the timeout."""
        self.received_bytes += size
        self.received_at = now
        timeout = self.timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(max(timeout.when(), now + self.stall_seconds))


class _Connection(asyncio.Protocol):
    """A connection that carries one call at a time.

    :param loop: its clock dates the bytes that arrive.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.transfer: Transfer | None = None
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.response: asyncio.Future[HttpResponse] | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.keep_alive = True
        self.received_bytes = 0

    @property
    def is_open(self) -> bool:
        """Return whether the connection can serve another call."""
        return self.keep_alive and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, _error: Exception | None) -> None:
        """Fail the call in progress."""
        if self.response is not None and not self.response.done():
            self.response.set_exception(CallError("connection lost", was_sent=True))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort if no call is in progress or they do not end."""
        if self.response is None or self.response.done():
            self.transport.abort()
            return
        self.received_bytes += len(data)
        if self.transfer is not None:
            self.transfer.record(len(data), self.loop.time())
        if self.received_bytes > MAX_RESPONSE_BYTES:
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Complete the call."""
        self.keep_alive = self.parser.should_keep_alive()
        status = self.parser.get_status_code()
        response = HttpResponse(status, b"".join(self.body), self.headers)
        if not self.response.done():
            self.response.set_result(response)

    async def call(self, request: bytes, transfer: Transfer | None) -> HttpResponse:
        """Send a request and return its response.

        :param transfer: records what arrives.
        """
        self.transfer = transfer
        self.parser = httptools.HttpResponseParser(self)
        self.headers = {}
        self.body = []
        self.received_bytes = 0
        self.response = self.loop.create_future()
        self.transport.write(request)
        return await self.response


class HttpClient:
    """Client for one address.

    :param address: ``ip:port``.
    """

    def __init__(self, address: str):
        self.address = address
        self.idle: list[_Connection] = []

    async def call(
        self,
        method: str,
        target: str,
        timeout_seconds: float,
        body: bytes = b"",
        transfer: Transfer | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        :param target: path and query.
        :param timeout_seconds: timeout of the call, including the connection setup.
        :param transfer: records what arrives of the response and extends the timeout.
        :raises CallError: with ``was_sent`` if the request may have been carried out.
        """
        lines = [f"{method} {target} HTTP/1.1", f"host: {self.address}"]
        if body or method != "GET":
            lines.append("content-type: application/json")
            lines.append(f"content-length: {len(body)}")
        request = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        connection = None
        try:
            async with asyncio.timeout(timeout_seconds) as timeout:
                if transfer is not None:
                    transfer.timeout = timeout
                connection = self._acquire_idle() or await self._connect()
                response = await connection.call(request, transfer)
        except TimeoutError as error:
            raise CallError("timed out", was_sent=connection is not None) from error
        except OSError as error:
            message = error.strerror or type(error).__name__
            raise CallError(message, was_sent=connection is not None) from error
        finally:
            self._release(connection)
        return response

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.transport.abort()
        self.idle.clear()

    def _acquire_idle(self) -> _Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                return connection
        return None

    def _release(self, connection: _Connection | None) -> None:
        """Keep a connection whose response is complete; abort any other.

        A connection with an incomplete response cannot carry another call.
        """
        if connection is None:
            return
        response = connection.response
        is_complete = (
            response is not None and response.done() and not response.cancelled()
        )
        if is_complete and not response.exception() and connection.is_open:
            self.idle.append(connection)
            if len(self.idle) > MAX_IDLE_CONNECTIONS:
                self.idle.pop(0).transport.close()
            return
        connection.transport.abort()

    async def _connect(self) -> _Connection:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: _Connection(loop), host, int(port)
        )
        return connection
