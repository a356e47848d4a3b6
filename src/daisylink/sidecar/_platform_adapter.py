"""What a sidecar is given of the platform that it runs on."""

from collections.abc import Callable
from typing import NamedTuple

from daisylink.http_server import WebRequest, WebResponse
from daisylink.registry import LeaseStore
from daisylink.request import HeaderNames
from daisylink.serving import Announcement, Departure
from daisylink.version import Version


class PlatformAdapter(NamedTuple):
    """The platform's calls and formats.

    :param store: where members and configuration are found.
    :param header_names: header names of callers and backend servers.
    :param config_key: key of the configuration in force.
    :param decode_configuration: decodes and builds a version, or raises
        ``VersionError``.
    :param decode_announcement: decodes a backend server's call, or raises
        ``NodeError``.
    :param make_response: makes the confirmation of such a call.
    :param ready_path: path on which readiness is asked for.
    """

    store: LeaseStore
    header_names: HeaderNames
    config_key: str
    decode_configuration: Callable[[bytes], Version]
    decode_announcement: Callable[[WebRequest], Announcement | Departure]
    make_response: Callable[[], WebResponse]
    ready_path: str
