"""A small HTTP/1.1 listener for checks, announcements and metrics.

Handlers get a :class:`WebRequest` and return a :class:`WebResponse`. It is an asyncio
protocol, so that a node need not import circuits.web to start (see docs/DESIGN.md).
"""

import asyncio
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import httptools
import msgspec

from daisylink.errors import DaisylinkError, ResultCode, SettingError

JSON_TYPE = "application/json"
BACKLOG = 128
MAX_BODY_BYTES = 64 * 1024


class WebRequest(NamedTuple):
    """A request to a small listener."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class WebResponse(NamedTuple):
    """An answer; ``drop`` closes the connection without one."""

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()
    close_without_response: bool = False

    @classmethod
    def from_object(cls, value: Any, status: int = 200) -> "WebResponse":
        """Return a JSON answer."""
        return cls(status, msgspec.json.encode(value))

    @classmethod
    def from_error(cls, error: DaisylinkError, status: int) -> "WebResponse":
        """Return a JSON answer that carries an error's code."""
        body = {"code": int(error.code), "message": error.message}
        return cls.from_object(body, status)


WebHandler = Callable[[WebRequest], WebResponse | Coroutine[Any, Any, WebResponse]]
HttpHandler = Callable[[WebRequest], "WebResponse | asyncio.Future[WebResponse]"]


class HttpServer:
    """A listener with one handler."""

    def __init__(self, handler: HttpHandler):
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.connections: set[_ServerConnection] = set()

    @property
    def port(self) -> int:
        """Return the port listened on."""
        return self.server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Listen.

        :raises SettingError: ``SETTING_ADDRESS_IN_USE`` if the address is taken.
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
    """One connection to a listener; it serves one request at a time."""

    def __init__(self, server: HttpServer):
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body: list[bytes] = []
        self.size = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the open connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Forget the connection."""
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse a piece of a request."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._write(WebResponse(HTTPStatus.BAD_REQUEST), keep=False)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.url = b""
        self.body = []
        self.size = 0

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self.url += url

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.size += len(data)
        if self.size <= MAX_BODY_BYTES:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """Answer the request."""
        path, _, query = self.url.decode("latin-1").partition("?")
        fields = {name: values[-1] for name, values in parse_qs(query).items()}
        method = self.parser.get_method().decode("latin-1")
        request = WebRequest(method, path, fields, b"".join(self.body))
        if self.size > MAX_BODY_BYTES:
            reply = WebResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            reply = self.server.handler(request)
        keep = self.parser.should_keep_alive()
        if isinstance(reply, asyncio.Future):
            reply.add_done_callback(lambda done: self._write(done.result(), keep))
        else:
            self._write(reply, keep)

    def _write(self, reply: WebResponse, keep: bool) -> None:
        if self.transport.is_closing():
            return
        phrase = HTTPStatus(reply.status).phrase
        lines = [
            f"HTTP/1.1 {reply.status} {phrase}",
            f"content-type: {reply.content_type}",
            f"content-length: {len(reply.body)}",
        ]
        if not keep:
            lines.append("connection: close")
        self.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode() + reply.body)
        if not keep:
            self.transport.close()
