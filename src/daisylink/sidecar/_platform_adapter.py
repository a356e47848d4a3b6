"""What a sidecar uses of the platform that it runs on."""

from collections.abc import Callable
from typing import NamedTuple

from daisylink.http_server import WebRequest, WebResponse
from daisylink.registry import LeaseStore
from daisylink.request import HeaderNames
from daisylink.serving import Announcement, Departure
from daisylink.version import Version


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
    """

    store: LeaseStore
    header_names: HeaderNames
    config_key: str
    decode_configuration: Callable[[bytes], Version]
    decode_announcement: Callable[[WebRequest], Announcement | Departure]
    make_response: Callable[[], WebResponse]
    ready_path: str
