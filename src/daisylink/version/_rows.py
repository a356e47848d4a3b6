"""Rows of a configuration: pools, services and routes."""

from enum import StrEnum
from typing import NamedTuple


class Priority(StrEnum):
    """Priority of a route's requests while they wait for a slot."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class Pool(NamedTuple):
    """Limits of each backend server in a pool.

    :param slots: requests that run at the same time.
    :param connections: connections to the backend server.
    :param queue: requests that may wait for a slot.
    """

    name: str
    slots: int
    connections: int
    queue: int


class Service(NamedTuple):
    """A service, the pool that runs it and its service-level objective.

    :param slo_ms: latency within which a request meets the objective.
    :param slo_percent: percentage of requests that should meet it.
    """

    name: str
    pool: str
    deadline_ms: int
    slo_ms: int
    slo_percent: float


class WeightedService(NamedTuple):
    """A service that receives part of a route's requests, by its weight."""

    service: str
    weight: float


class CallerLimits(NamedTuple):
    """Limits and timeouts of callers' connections.

    :param header_bytes: maximum size of a request's head.
    :param header_seconds: maximum time between the first and last byte of a head.
    :param idle_seconds: timeout of a connection that is idle between requests.
    :param body_bytes: maximum size of a request's body, beside its route's limit.
    """

    header_bytes: int = 16 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 75.0
    body_bytes: int = 1024 * 1024 * 1024


class Route(NamedTuple):
    """Maps a host and a path prefix to a service, with properties of the requests.

    An empty ``host`` matches every host, an empty ``methods`` every method.

    :param deadline_ms: deadline of a request, 0 for the service's.
    :param body_limit_kb: maximum size of a request's body.
    :param split: services that share the requests; ``service`` is the first of them.
    :param max_attempts: backend servers that one request may reach, 0 for the node's
        limit.
    :param slo_ms: objective for the route's latency, 0 for the service's.
    :param admits_anonymous: whether requests need no API key where tenants have keys.
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
    admits_anonymous: bool = False
