"""What a sidecar uses of the platform that it runs on."""

from collections.abc import Callable
from typing import NamedTuple

from daisylink.http_server import WebRequest, WebResponse
from daisylink.registry import Item, LeaseStore
from daisylink.request import HeaderNames
from daisylink.rollout import RolloutOrder
from daisylink.serving import Announcement, Departure
from daisylink.version import Version


class RolloutFormats(NamedTuple):
    """Keys and formats of rollouts.

    :param order_prefix: prefix of the keys of the operator's orders.
    :param decode_order: decodes an order, or raises ``NodeError``.
    :param status_key: returns the key of a service's status.
    :param encode_status: encodes a status from its state and target version.
    """

    order_prefix: str
    decode_order: Callable[[Item], RolloutOrder]
    status_key: Callable[[str], str]
    encode_status: Callable[[str, str], bytes]


class PlatformAdapter(NamedTuple):
    """The platform's store, formats and paths.

    :param store: holds the members and the configuration.
    :param header_names: header names of callers and backend servers.
    :param config_key: store key of the configuration.
    :param decode_configuration: decodes a configuration and builds its version, or
        raises ``VersionError``.
    :param decode_announcement: decodes a backend server's call, or raises
        ``NodeError``.
    :param make_response: builds the confirmation of such a call.
    :param ready_path: path of the readiness check.
    :param rollouts: keys and formats of rollouts, None if there are none.
    """

    store: LeaseStore
    header_names: HeaderNames
    config_key: str
    decode_configuration: Callable[[bytes], Version]
    decode_announcement: Callable[[WebRequest], Announcement | Departure]
    make_response: Callable[[], WebResponse]
    ready_path: str
    rollouts: RolloutFormats | None = None
