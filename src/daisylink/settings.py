"""Settings of the programs, all validated before anything starts."""

import ipaddress
import re
from datetime import timedelta
from typing import NamedTuple

from daisylink.errors import SettingError

ZONE_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,30}[a-z0-9])?")
MAX_PORT = 65535


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str, setting: str) -> "Address":
        """Parse ``ip:port``.

        :param setting: name of the setting, for the error.
        :raises SettingError: if it is not an IP address and a port.
        """
        host, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host)
        except ValueError as error:
            message = f"{setting}: {text!r} is not ip:port"
            raise SettingError(message) from error
        if not port.isdigit() or int(port) > MAX_PORT:
            raise SettingError(f"{setting}: {port!r} is not a port")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class NodeSettings(NamedTuple):
    """Settings of ``daisylink-node``.

    :param zone: availability zone of the instance.
    :param callers: listener for callers' requests.
    :param relay: listener for other nodes' requests; its IP address is announced to
        them.
    :param control: listener for other nodes' control messages, UDP and gRPC.
    :param admin: listener for the local backend server and operators.
    :param platform: address of the platform's key-value service.
    :param peers: control addresses to contact first; needed only when the platform is
        unavailable.
    :param grace: how long a planned stop waits for requests in flight.
    :param drain: how long a planned stop keeps serving after it was announced to the
        fleet.
    """

    zone: str
    callers: Address
    relay: Address
    control: Address
    admin: Address
    platform: Address
    peers: tuple[str, ...] = ()
    grace: timedelta = timedelta(seconds=20)
    drain: timedelta = timedelta(seconds=1)

    @classmethod
    def from_config(cls, config: dict[str, str | float | None]) -> "NodeSettings":
        """Validate and convert the values of flags and environment variables.

        :raises SettingError: naming the first setting that is not valid.
        """
        zone = str(config["zone"] or "")
        if not ZONE_PATTERN.fullmatch(zone):
            raise SettingError(f"zone: {zone!r} is not an availability zone's name")
        names = ("callers", "relay", "control", "admin", "platform")
        addresses = {name: Address.from_text(str(config[name]), name) for name in names}
        peers = [item for item in str(config["peers"] or "").split(",") if item]
        for peer in peers:
            Address.from_text(peer, "peers")
        return cls(
            zone=zone,
            peers=tuple(peers),
            grace=parse_seconds(config["grace"], "grace"),
            drain=parse_seconds(config["drain"], "drain"),
            **addresses,
        )


class SidecarSettings(NamedTuple):
    """Settings of ``daisylink-sidecar``, which discovers its peers through a store.

    :param node: name of the node, unique among the running nodes.
    :param zone: availability zone of the instance.
    :param pool: pool of the backend server on this machine.
    :param callers: listener for callers' requests.
    :param relay: listener for other nodes' requests.
    :param ready: listener for readiness probes.
    :param announcements: listener for the backend server's announcements.
    :param peers: listener for other nodes' requests for members and versions.
    :param metrics: listener for metrics.
    :param server: address of the backend server.
    :param store: address of the store.
    :param announce_interval: interval of the backend server's announcements.
    :param min_lease_ttl: shortest lease that the store grants.
    :param store_writes_per_s: writes per second that the store takes from all nodes.
    :param memory_mb: memory that the process may use in MiB, 0 if unknown.
    :param link_mbps: bandwidth of the machine's link in Mbit/s.
    :param is_first_start: whether all nodes start now for the first time.
    :param apply_within: time from the store's acknowledgement of a configuration until
        all nodes use it.
    :param grace: time between the request to stop and the end of the process.
    :param retry_ratio: retries of the whole fleet, as a share of first attempts.
    :param retry_window: period over which retries are counted.
    :param retry_slack: retries of the whole fleet beyond the ratio in a window.
    :param quota_window: period over which a tenant's requests are counted.
    :param quota_over: share by which the fleet may exceed a tenant's quota in a window.
    :param quota_slack: requests by which it may exceed the quota on top.
    :param canary_share: share of a service's requests that a new version of its backend
        servers may get before it is known to be good.
    :param canary_slack: requests that it may get on top.
    :param rollback_within: time from the 50th bad answer of a new version until it gets
        no more requests.
    """

    node: str
    zone: str
    pool: str
    callers: Address
    relay: Address
    ready: Address
    announcements: Address
    peers: Address
    metrics: Address
    server: str
    store: str
    announce_interval: timedelta = timedelta(seconds=1)
    min_lease_ttl: timedelta = timedelta(seconds=1)
    store_writes_per_s: float = 400.0
    memory_mb: float = 0.0
    link_mbps: float = 0.0
    is_first_start: bool = False
    apply_within: timedelta = timedelta(seconds=2.5)
    grace: timedelta = timedelta(seconds=6)
    retry_ratio: float = 0.2
    retry_window: timedelta = timedelta(seconds=10)
    retry_slack: float = 10.0
    quota_window: timedelta = timedelta(seconds=5)
    quota_over: float = 0.1
    quota_slack: float = 20.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_within: timedelta = timedelta(seconds=5)


def parse_seconds(value: float | str | None, setting: str) -> timedelta:
    """Convert a number of seconds to a duration.

    :raises SettingError: if it is not a number from 0 to 3600.
    """
    try:
        seconds = float(value or 0)
    except ValueError as error:
        raise SettingError(f"{setting}: {value!r} is not a number") from error
    if not 0 <= seconds <= 3600:
        raise SettingError(f"{setting}: {seconds:g} s is not from 0 to 3600 s")
    return timedelta(seconds=seconds)
