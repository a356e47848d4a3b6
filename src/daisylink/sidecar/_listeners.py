"""The listeners of a sidecar."""

import asyncio
from collections.abc import Callable

from daisylink.errors import ResultCode, SettingError
from daisylink.http_server import HttpHandler, HttpServer
from daisylink.settings import Address

BACKLOG = 512


class Listeners:
    """Open listeners: for requests, and auxiliary ones for checks and updates."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.request_listeners: list[asyncio.Server] = []
        self.auxiliary_listeners: list[HttpServer] = []

    async def listen_requests(
        self, address: Address, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        """Listen for requests.

        :raises SettingError: if the address cannot be bound.
        """
        try:
            server = await self.loop.create_server(
                factory, address.host, address.port, backlog=BACKLOG
            )
        except OSError as error:
            raise SettingError(
                f"cannot listen on {address}: {error.strerror}",
                ResultCode.SETTING_ADDRESS_IN_USE,
            ) from error
        self.request_listeners.append(server)

    async def listen_auxiliary(self, address: Address, handler: HttpHandler) -> None:
        """Listen for readiness checks, announcements, peers or metrics.

        :raises SettingError: if the address cannot be bound.
        """
        server = HttpServer(handler)
        await server.start(*address)
        self.auxiliary_listeners.append(server)

    def close_request_listeners(self) -> None:
        """Accept no new connections for requests."""
        for listener in self.request_listeners:
            listener.close()

    def close(self) -> None:
        """Close all listeners."""
        self.close_request_listeners()
        for listener in self.auxiliary_listeners:
            listener.close()
