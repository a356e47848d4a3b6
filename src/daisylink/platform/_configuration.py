"""The operator's configuration in the format of the store."""

import hashlib
import math
from collections.abc import Iterable
from datetime import UTC, datetime

import msgspec

from daisylink.errors import ResultCode, VersionError
from daisylink.platform._tenants import TenantDecoder, is_tenant_row
from daisylink.platform._units import parse_duration, parse_version, rank_priority
from daisylink.version import (
    CallerLimits,
    Content,
    Pool,
    Route,
    Service,
    Version,
    VersionStamp,
    WeightedService,
    build_version,
)

CONFIG_KEY = "op/config"
KILOBYTE = 1024
MS_PER_SECOND = 1000
IDEMPOTENT = "idempotent"
# The platform states objectives for routes only, not for services.
SLO_PERCENT = 99.0


class _Meta(msgspec.Struct):
    name: str = ""


class ConfigurationEntry(msgspec.Struct):
    """One entry of the configuration.

    :param resource_type: routes, services, tenants or limits; others are ignored.
    """

    resource_type: str
    metadata: _Meta
    spec: msgspec.Raw


class ConfigurationDocument(msgspec.Struct):
    """A configuration whose entries are not yet decoded.

    :param version: ``r`` and the number.
    """

    version: str
    resources: list[msgspec.Raw]


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route.

    :param slo: time within which a response has its full value.
    :param priority: rank, 0 the most urgent.
    :param allow_anon: whether a request needs no key.
    """

    host: str
    prefix: str
    kind: str
    timeout: str
    slo: str = "0ms"
    priority: int = 1
    service: str = ""
    weighted_split: list[_Share] = []
    max_attempts: int = 1
    allow_anon: bool = False


class _Service(msgspec.Struct):
    """A service.

    :param max_conns: maximum connections to each of its servers.
    """

    max_conns: int = 64


class CallerLimitsSpec(msgspec.Struct):
    """Limits for callers; times are durations such as ``10s``."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: str = "10s"
    idle_timeout: str = "75s"


class ConfigurationDecoder:
    """Decodes successive configurations.

    Most routes are the same in the next configuration, so only those whose bytes differ
    are converted again.
    """

    def __init__(self):
        self.limits = CallerLimitsSpec()
        self.routes: dict[bytes, Route] = {}
        self.version: Version | None = None
        self.tenant_decoder = TenantDecoder()

    def decode(self, data: bytes) -> Version:
        """Decode a configuration and build its version.

        :raises VersionError: if it is damaged or a route names an unknown service.
        """
        try:
            return self._build(
                msgspec.json.decode(data, type=ConfigurationDocument), data
            )
        except (msgspec.MsgspecError, ValueError) as error:
            message = f"configuration: {error}"
            raise VersionError(message, ResultCode.VERSION_CORRUPT) from error

    def _build(self, document: ConfigurationDocument, data: bytes) -> Version:
        rows = [bytes(row) for row in document.resources]
        tenant_rows = [
            row for row in rows if not self._knows(row) and is_tenant_row(row)
        ]
        tenants = self.tenant_decoder.decode(tenant_rows)
        skipped = frozenset(tenant_rows)
        rows = [row for row in rows if row not in skipped]
        resources = {row: decode_entry(row) for row in rows if not self._knows(row)}
        limits = find_limits(resources.values())
        if limits != self.limits:
            # Each route carries the limit of its requests' bodies.
            self.routes = {}
            resources = {row: decode_entry(row) for row in rows}
        routes = self._convert_routes(rows, resources, limits)
        services = decode_services(resources.values())
        content = Content.from_rows(
            [Pool(name, 0, service.max_conns, 0) for name, service in services],
            [Service(name, name, 0, 0, SLO_PERCENT) for name, _ in services],
            routes.values(),
        )
        number = parse_version(document.version)
        stamp = VersionStamp(number, hashlib.sha256(data).digest(), datetime.now(UTC))
        caller_limits = convert_limits(limits)
        self.version = build_version(
            stamp, content, caller_limits, self.version, tenants
        )
        self.limits = limits
        self.routes = routes
        return self.version

    def _knows(self, row: bytes) -> bool:
        return row in self.routes

    def _convert_routes(
        self,
        rows: list[bytes],
        resources: dict[bytes, ConfigurationEntry],
        limits: CallerLimitsSpec,
    ) -> dict[bytes, Route]:
        """Return the configuration's routes by their bytes."""
        routes = {}
        for row in rows:
            resource = resources.get(row)
            if resource is None:
                routes[row] = self.routes[row]
            elif resource.resource_type == "routes":
                routes[row] = convert_route(resource, limits)
        return routes


def decode_configuration(data: bytes) -> Version:
    """Decode a single configuration and build its version.

    :raises VersionError: if it is damaged or a route names an unknown service.
    """
    return ConfigurationDecoder().decode(data)


def decode_entry(row: bytes) -> ConfigurationEntry:
    """Return an entry without decoding its ``spec``.

    :raises ValueError: if its type, metadata or spec is missing or malformed.
    """
    return msgspec.json.decode(row, type=ConfigurationEntry)


def find_limits(resources: Iterable[ConfigurationEntry]) -> CallerLimitsSpec:
    """Return the limits of a configuration, the last ones if it has several."""
    limits = CallerLimitsSpec()
    for resource in resources:
        if resource.resource_type == "limits":
            limits = msgspec.json.decode(resource.spec, type=CallerLimitsSpec)
    return limits


def decode_services(
    resources: Iterable[ConfigurationEntry],
) -> list[tuple[str, _Service]]:
    """Return the services of a configuration with their names."""
    return [
        (resource.metadata.name, msgspec.json.decode(resource.spec, type=_Service))
        for resource in resources
        if resource.resource_type == "services"
    ]


def convert_route(resource: ConfigurationEntry, limits: CallerLimitsSpec) -> Route:
    """Return the route of an entry.

    :raises ValueError: if its ``spec`` cannot be decoded or names no service.
    """
    name = resource.metadata.name
    route = msgspec.json.decode(resource.spec, type=_Route)
    shares = tuple(
        WeightedService(part.service, part.weight) for part in route.weighted_split
    )
    if not route.service and not shares:
        raise ValueError(f"route {name} names no service")
    return Route(
        name=name,
        host=route.host.lower(),
        prefix=route.prefix,
        service=route.service or shares[0].service,
        methods=(),
        idempotent=route.kind == IDEMPOTENT,
        priority=rank_priority(route.priority),
        deadline_ms=_parse_milliseconds(route.timeout),
        body_limit_kb=math.ceil(limits.max_body_bytes / KILOBYTE),
        split=shares,
        max_attempts=route.max_attempts,
        slo_ms=_parse_milliseconds(route.slo),
        admits_anonymous=route.allow_anon,
    )


def convert_limits(limits: CallerLimitsSpec) -> CallerLimits:
    """Return the limits with times in seconds.

    :raises ValueError: if a time cannot be parsed.
    """
    return CallerLimits(
        limits.max_header_bytes,
        parse_duration(limits.header_timeout).total_seconds(),
        parse_duration(limits.idle_timeout).total_seconds(),
        limits.max_body_bytes,
    )


def _parse_milliseconds(text: str) -> int:
    return round(parse_duration(text).total_seconds() * MS_PER_SECOND)
