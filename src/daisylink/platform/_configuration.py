"""The operator's configuration in the format of the store."""

import hashlib
from datetime import UTC, datetime

import msgspec

from daisylink.errors import ResultCode, VersionError
from daisylink.platform._units import parse_duration, parse_version
from daisylink.version import (
    CallerLimits,
    Content,
    Pool,
    Priority,
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
# By rank from 0, the most urgent; all higher ranks are bulk.
PRIORITIES = (Priority.URGENT, Priority.NORMAL)
IDEMPOTENT = "idempotent"
# The platform states objectives for routes only, not for services.
SLO_PERCENT = 99.0


class _Meta(msgspec.Struct):
    name: str = ""


class _Resource(msgspec.Struct):
    """One entry of the configuration.

    :param resource_type: routes, services or limits; others are ignored.
    """

    resource_type: str
    metadata: _Meta
    spec: msgspec.Raw


class _Document(msgspec.Struct):
    version: str
    resources: list[_Resource]


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route.

    :param slo: time within which a response has its full value.
    :param priority: rank, 0 the most urgent.
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


class _Service(msgspec.Struct):
    """A service.

    :param max_conns: maximum connections to each of its servers.
    """

    max_conns: int = 64


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: str = "10s"
    idle_timeout: str = "75s"


def decode_configuration(data: bytes) -> Version:
    """Decode a configuration and build its version.

    :raises VersionError: if it is damaged or a route names an unknown service.
    """
    try:
        return _build(msgspec.json.decode(data, type=_Document), data)
    except (msgspec.MsgspecError, ValueError) as error:
        message = f"configuration: {error}"
        raise VersionError(message, ResultCode.VERSION_CORRUPT) from error


def _build(document: _Document, data: bytes) -> Version:
    limits = _Limits()
    routes: list[tuple[str, _Route]] = []
    services: list[tuple[str, _Service]] = []
    for resource in document.resources:
        name = resource.metadata.name
        match resource.resource_type:
            case "routes":
                routes.append((name, msgspec.json.decode(resource.spec, type=_Route)))
            case "services":
                spec = msgspec.json.decode(resource.spec, type=_Service)
                services.append((name, spec))
            case "limits":
                limits = msgspec.json.decode(resource.spec, type=_Limits)
    content = Content.from_rows(
        [Pool(name, 0, spec.max_conns, 0) for name, spec in services],
        [Service(name, name, 0, 0, SLO_PERCENT) for name, _ in services],
        [_convert_route(name, route, limits) for name, route in routes],
    )
    number = parse_version(document.version)
    digest = hashlib.sha256(data).digest()
    stamp = VersionStamp(number, digest, datetime.now(UTC))
    return build_version(stamp, content, _convert_limits(limits))


def _convert_route(name: str, route: _Route, limits: _Limits) -> Route:
    shares = tuple(
        WeightedService(part.service, part.weight) for part in route.weighted_split
    )
    if not route.service and not shares:
        raise ValueError(f"route {name} names no service")
    rank = max(0, route.priority)
    return Route(
        name=name,
        host=route.host.lower(),
        prefix=route.prefix,
        service=route.service or shares[0].service,
        methods=(),
        idempotent=route.kind == IDEMPOTENT,
        priority=PRIORITIES[rank] if rank < len(PRIORITIES) else Priority.BULK,
        deadline_ms=_parse_milliseconds(route.timeout),
        body_limit_kb=limits.max_body_bytes // KILOBYTE,
        split=shares,
        max_attempts=route.max_attempts,
        slo_ms=_parse_milliseconds(route.slo),
    )


def _convert_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        parse_duration(limits.header_timeout).total_seconds(),
        parse_duration(limits.idle_timeout).total_seconds(),
    )


def _parse_milliseconds(text: str) -> int:
    return round(parse_duration(text).total_seconds() * MS_PER_SECOND)
