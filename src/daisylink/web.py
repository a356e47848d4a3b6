"""A small HTTP server on circuits.web for operators and backend servers.

Handlers get a :class:`WebRequest` and return a :class:`WebResponse`, directly
or from a coroutine. A path that ends in a slash matches as a prefix, any other exactly.
"""

import asyncio
from collections.abc import Coroutine
from itertools import count
from typing import Any
from urllib.parse import parse_qs

from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer
from circuits.web.events import response
from circuits.web.http import HTTP

from daisylink.errors import DaisylinkError, ResultCode, SettingError
from daisylink.http_server import WebHandler, WebRequest, WebResponse
from daisylink.loop import Application

_channel_numbers = count(1)


class WebServer(BaseComponent):
    """An HTTP server with handlers by method and path.

    :param host: IP address to listen on.
    :param port: port to listen on, 0 for a free one.
    :raises SettingError: ``SETTING_ADDRESS_IN_USE`` if the address cannot be bound.
    """

    secure = False

    def __init__(self, application: Application, host: str, port: int):
        super().__init__(channel=f"web-{next(_channel_numbers)}")
        self.application = application
        self.handlers: dict[tuple[str, str], WebHandler] = {}
        self.tasks: set[asyncio.Task] = set()
        try:
            self.server = TCPServer((host, port), channel=self.channel)
        except OSError as error:
            raise SettingError(
                f"cannot listen on {host}:{port}: {error.strerror}",
                ResultCode.SETTING_ADDRESS_IN_USE,
            ) from error
        self.server.register(self)
        HTTP(self, channel=self.channel).register(self)

    @property
    def host(self) -> str:
        """Return the IP address that the server listens on."""
        return self.server.host

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self.server.port

    def start(self) -> None:
        """Start to serve requests."""
        self.register(self.application)
        self.application.poller.wake()

    def stop(self) -> None:
        """Close the listener and its connections."""
        self.fire(close(), self.channel)
        self.application.poller.wake()

    def add_route(self, method: str, path: str, web_handler: WebHandler) -> None:
        """Register a handler for a method and a path."""
        self.handlers[method, path] = web_handler

    @handler("request")
    def _on_request(self, event, req, res, *_args):
        request = WebRequest(
            req.method,
            req.path,
            {name: values[-1] for name, values in parse_qs(req.qs).items()},
            req.body.read(),
        )
        web_handler = self._find_handler(request)
        web_response = web_handler(request) if web_handler else _not_found(request)
        if asyncio.iscoroutine(web_response):
            task = self.application.loop.create_task(
                self._finish(req, res, web_response)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self._send(req, res, web_response)
        return True

    @handler("disconnect", "connect", "ready", "closed", "error")
    def _on_transport_event(self, *_args):
        """Ignore events of the transport that need no action."""

    def _find_handler(self, request: WebRequest) -> WebHandler | None:
        exact = self.handlers.get((request.method, request.path))
        if exact is not None:
            return exact
        for (method, path), web_handler in self.handlers.items():
            is_prefix = path.endswith("/") and request.path.startswith(path)
            if method == request.method and is_prefix:
                return web_handler
        return None

    async def _finish(
        self, req, res, web_response: Coroutine[Any, Any, WebResponse]
    ) -> None:
        self._send(req, res, await web_response)
        self.application.poller.wake()

    def _send(self, req, res, web_response: WebResponse) -> None:
        if web_response.close_without_response:
            self.fire(close(req.sock), self.channel)
            return
        res.status = web_response.status
        res.headers["Content-Type"] = web_response.content_type
        for name, value in web_response.headers:
            res.headers[name] = value
        res.body = web_response.body
        self.fire(response(res), self.channel)


def _not_found(request: WebRequest) -> WebResponse:
    message = f"no handler for {request.method} {request.path}"
    error = DaisylinkError(message, ResultCode.ADMIN_NOT_FOUND)
    return WebResponse.from_error(error, 404)
