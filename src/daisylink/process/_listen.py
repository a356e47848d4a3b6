"""Binds the addresses of a node."""

import asyncio
from collections.abc import Callable

from daisylink.errors import ResultCode, SettingError
from daisylink.process._transport import ControlServer, DatagramEndpoint
from daisylink.settings import Address

BACKLOG = 512


async def listen(
    loop: asyncio.AbstractEventLoop,
    factory: Callable[[], asyncio.Protocol],
    address: Address,
    setting: str,
) -> asyncio.Server:
    """Listen on an address.

    :param factory: makes the protocol of each connection.
    :param setting: name of the setting, for the error.
    :raises SettingError: ``SETTING_ADDRESS_IN_USE`` if it cannot be bound.
    """
    try:
        return await loop.create_server(
            factory, address.host, address.port, backlog=BACKLOG
        )
    except OSError as error:
        raise _make_error(setting, address, error) from error


async def listen_control(
    loop: asyncio.AbstractEventLoop,
    server: ControlServer,
    datagrams: DatagramEndpoint,
    address: Address,
) -> Address:
    """Bind gRPC and datagrams to the same port; return the address.

    :raises SettingError: ``SETTING_ADDRESS_IN_USE`` if one of them cannot be bound.
    """
    port = await server.start(address)
    bound = Address(address.host, port)
    try:
        await loop.create_datagram_endpoint(lambda: datagrams, local_addr=bound)
    except OSError as error:
        await server.stop()
        raise _make_error("control", bound, error) from error
    return bound


def _make_error(setting: str, address: Address, error: OSError) -> SettingError:
    return SettingError(
        f"{setting}: cannot listen on {address}: {error.strerror}",
        ResultCode.SETTING_ADDRESS_IN_USE,
    )
