"""The settings file, which the template ``deploy/settings.json`` renders as JSON."""

import os
from datetime import timedelta
from pathlib import Path

import msgspec

from daisylink.errors import SettingError
from daisylink.platform._units import parse_duration
from daisylink.settings import Address, SidecarSettings

PATH_VARIABLE = "DAISYLINK_CONFIG"

# Must match the metrics port in deploy/system.toml.
METRICS_PORT = 9464

# A shorter one leaves less than a round trip to each step.
MIN_APPLY_WITHIN = timedelta(milliseconds=500)
Bounds = dict[str, str | float | bool]


class _Listeners(msgspec.Struct):
    """Addresses to listen on.

    :param outbound: for callers on this machine.
    :param inbound: for requests from other nodes.
    :param ready: for the platform's readiness check.
    :param control: for the backend server's announcements.
    """

    inbound: str
    outbound: str
    ready: str
    control: str


class _Store(msgspec.Struct):
    """The metadata store.

    :param ttl_min: shortest lease duration that it grants.
    :param writes_per_s: writes per second that it takes from all nodes.
    """

    address: str
    ttl_min: str = "1s"
    writes_per_s: float = 400.0


class _MachineLimits(msgspec.Struct):
    link_mbps: float = 0.0
    memory_mb: float = 0.0


class _File(msgspec.Struct):
    """The fields of the file that are used.

    :param app_addr: address of the backend server on this machine.
    :param heartbeat: interval of the backend server's announcements.
    :param port_range: first and last port for communication between nodes.
    :param first_start: whether all nodes start now for the first time.
    """

    node: str
    zone: str
    ip: str
    service: str
    app_addr: str
    listen: _Listeners
    platform: _Store
    port_range: tuple[int, int]
    heartbeat: str
    bounds: dict[str, str | float | bool] = {}
    limits: _MachineLimits = msgspec.field(default_factory=_MachineLimits)
    first_start: bool = False


def settings_path() -> Path:
    """Return the path of the settings file.

    :raises SettingError: if the environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingError(f"{PATH_VARIABLE} is not set")
    return Path(path)


def load_settings() -> SidecarSettings:
    """Read and decode the settings file.

    :raises SettingError: if it cannot be read or a field is missing or not valid.
    """
    path = settings_path()
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingError(f"cannot read {path}: {error.strerror}") from error
    return decode_settings(data)


def decode_settings(data: bytes) -> SidecarSettings:
    """Decode the settings.

    :raises SettingError: if a field is missing or not valid.
    """
    try:
        file = msgspec.json.decode(data, type=_File)
        settings = _convert(file, file.bounds)
    except (msgspec.MsgspecError, ValueError) as error:
        raise SettingError(f"settings file: {error}") from error
    return settings


def _convert(file: _File, bounds: Bounds) -> SidecarSettings:
    listen = file.listen
    defaults = SidecarSettings._field_defaults
    apply_within = _parse_bound(bounds, "config_apply", defaults["apply_within"])
    if apply_within < MIN_APPLY_WITHIN:
        raise ValueError(f"config_apply: must be at least {MIN_APPLY_WITHIN}")
    return SidecarSettings(
        node=file.node,
        zone=file.zone,
        pool=file.service,
        callers=Address.from_text(listen.outbound, "outbound"),
        relay=Address.from_text(listen.inbound, "inbound"),
        ready=Address.from_text(listen.ready, "ready"),
        announcements=Address.from_text(listen.control, "control"),
        peers=Address(file.ip, file.port_range[0]),
        metrics=Address(file.ip, METRICS_PORT),
        server=file.app_addr,
        store=file.platform.address,
        announce_interval=parse_duration(file.heartbeat),
        link_mbps=file.limits.link_mbps,
        memory_mb=max(0.0, file.limits.memory_mb),
        is_first_start=file.first_start,
        min_lease_ttl=parse_duration(file.platform.ttl_min),
        store_writes_per_s=max(1.0, file.platform.writes_per_s),
        apply_within=apply_within,
        grace=_parse_bound(bounds, "grace", defaults["grace"]),
        retry_ratio=float(bounds.get("retry_ratio", defaults["retry_ratio"])),
        retry_window=_parse_bound(bounds, "retry_window", defaults["retry_window"]),
        retry_slack=float(bounds.get("retry_slack", defaults["retry_slack"])),
        quota_window=_parse_bound(bounds, "quota_window", defaults["quota_window"]),
        quota_over=float(bounds.get("quota_over", defaults["quota_over"])),
        quota_slack=float(bounds.get("quota_slack", defaults["quota_slack"])),
        canary_share=float(bounds.get("canary_share", defaults["canary_share"])),
        canary_slack=float(bounds.get("canary_slack", defaults["canary_slack"])),
        rollback_within=_parse_bound(bounds, "rollback", defaults["rollback_within"]),
    )


def _parse_bound(bounds: Bounds, name: str, default: timedelta) -> timedelta:
    return parse_duration(bounds[name]) if name in bounds else default
