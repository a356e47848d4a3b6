"""Rows of a configuration: pools, services and routes."""

from enum import StrEnum
from typing import NamedTuple


class Priority(StrEnum):
    """How a route's requests rank when a backend server is short of slots."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class Pool(NamedTuple):
    """Limits of each backend server of one pool."""

    name: str
    slots: int
    connections: int
    queue: int


class Service(NamedTuple):
    """A service, the pool that runs it and its service-level objective."""

    name: str
    pool: str
    deadline_ms: int
    slo_ms: int
    slo_percent: float


class WeightedService(NamedTuple):
    """A service that gets part of a route's requests, in proportion to its weight."""

    service: str
    weight: float


class CallerLimits(NamedTuple):
    """What a caller may send on a connection, and how long it may take.

    :param header_bytes: longest head of a request.
    :param header_seconds: longest time between a head's first and last byte.
    :param idle_seconds: how long a connection may lie idle between requests.
    """

    header_bytes: int = 16 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 75.0


class Route(NamedTuple):
    """Host and path prefix that lead to a service, with the method properties.

    An empty ``host`` matches every host; an empty ``methods`` every method.

    :param split: services that share the requests; ``service`` is the first of them.
    :param max_attempts: servers that one request may reach, 0 for the node's limit.
    :param slo_ms: objective of the route's latency, 0 for the service's.
    """

    name: str
    host: str
    prefix: str
    service: str
    methods: tuple[str, ...]
    idempotent: bool
    priority: Priority
    deadline_ms: int
    body_limit_kb: int
    split: tuple[WeightedService, ...] = ()
    max_attempts: int = 0
    slo_ms: int = 0
