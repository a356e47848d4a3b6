"""A small HTTP/1.1 server for health checks, announcements and metrics.

Handlers get a :class:`WebRequest` and return a :class:`WebResponse`. It is an asyncio
protocol, so that a node starts without importing circuits.web (see docs/DESIGN.md).
"""

import asyncio
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import httptools
import msgspec

from daisylink.errors import DaisylinkError, ResultCode, SettingError
from daisylink.logs import get_logger

JSON_CONTENT_TYPE = "application/json"
BACKLOG = 128
MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024

log = get_logger("web")


class WebRequest(NamedTuple):
    """A request to one of the small servers.

    :param query: parameters of the query, each with its last value.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class WebResponse(NamedTuple):
    """A response, or with ``close_without_response`` none at all."""

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_CONTENT_TYPE
    headers: tuple[tuple[str, str], ...] = ()
    close_without_response: bool = False

    @classmethod
    def from_object(cls, value: Any, status: int = 200) -> "WebResponse":
        """Return a JSON response."""
        return cls(status, msgspec.json.encode(value))

    @classmethod
    def from_error(cls, error: DaisylinkError, status: int) -> "WebResponse":
        """Return a JSON response with an error's code and message."""
        body = {"code": int(error.code), "message": error.message}
        return cls.from_object(body, status)


WebHandler = Callable[[WebRequest], WebResponse | Coroutine[Any, Any, WebResponse]]
HttpHandler = Callable[[WebRequest], "WebResponse | asyncio.Future[WebResponse]"]


class HttpServer:
    """A server with one handler for all requests."""

    def __init__(self, handler: HttpHandler):
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.connections: set[_ServerConnection] = set()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self.server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Start to listen.

        :raises SettingError: ``SETTING_ADDRESS_IN_USE`` if the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        try:
            self.server = await loop.create_server(
                lambda: _ServerConnection(self), host, port, backlog=BACKLOG
            )
        except OSError as error:
            raise SettingError(
                f"cannot listen on {host}:{port}: {error.strerror}",
                ResultCode.SETTING_ADDRESS_IN_USE,
            ) from error

    def close(self) -> None:
        """Close the listener and its connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.close()


class _ServerConnection(asyncio.Protocol):
    """A connection to the server, which serves one request at a time."""

    def __init__(self, server: HttpServer):
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body: list[bytes] = []
        self.body_size = 0
        self.head_size = 0
        self.is_reading_head = False
        self.has_completed = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and register the connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregister the connection."""
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse a malformed request."""
        self.has_completed = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._write(WebResponse(HTTPStatus.BAD_REQUEST), keep_alive=False)
            return
        # A read that completes another request says little of the head behind it.
        self.head_size = 0 if self.has_completed else self.head_size + len(data)
        if self.is_reading_head and self.head_size > MAX_HEAD_BYTES:
            too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._write(WebResponse(too_large), keep_alive=False)

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.url = b""
        self.body = []
        self.body_size = 0
        self.head_size = 0
        self.is_reading_head = True

    def on_headers_complete(self) -> None:
        """End the head of a request."""
        self.is_reading_head = False

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.url += url

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body, up to the limit."""
        self.body_size += len(data)
        if self.body_size <= MAX_BODY_BYTES:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """Pass the request to the handler and write its response."""
        self.has_completed = True
        path, _, query = self.url.decode("latin-1").partition("?")
        fields = {name: values[-1] for name, values in parse_qs(query).items()}
        method = self.parser.get_method().decode("latin-1")
        request = WebRequest(method, path, fields, b"".join(self.body))
        if self.body_size > MAX_BODY_BYTES:
            response = WebResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            response = self._handle(request)
        keep_alive = self.parser.should_keep_alive()
        if isinstance(response, asyncio.Future):
            response.add_done_callback(lambda done: self._write_done(done, keep_alive))
        else:
            self._write(response, keep_alive)

    def _handle(self, request: WebRequest) -> "WebResponse | asyncio.Future":
        """Return the handler's response, or 500 if it raises an error."""
        try:
            return self.server.handler(request)
        except Exception:
            bound_log = log.bind(method=request.method, path=request.path)
            bound_log.exception("a request could not be handled")
            return WebResponse(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _write_done(self, done: "asyncio.Future[WebResponse]", keep_alive: bool):
        """Write a response that was waited for."""
        if done.cancelled():
            self.transport.close()
            return
        error = done.exception()
        if error is not None:
            log.opt(exception=error).error("a request could not be handled")
            self._write(WebResponse(HTTPStatus.INTERNAL_SERVER_ERROR), keep_alive)
            return
        self._write(done.result(), keep_alive)

    def _write(self, response: WebResponse, keep_alive: bool) -> None:
        if self.transport.is_closing():
            return
        phrase = HTTPStatus(response.status).phrase
        lines = [
            f"HTTP/1.1 {response.status} {phrase}",
            f"content-type: {response.content_type}",
            f"content-length: {len(response.body)}",
        ]
        if not keep_alive:
            lines.append("connection: close")
        self.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode() + response.body)
        if not keep_alive:
            self.transport.close()
