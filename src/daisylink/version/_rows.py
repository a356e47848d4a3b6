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


class Route(NamedTuple):
    """Host and path prefix that lead to a service, with the method properties.

    An empty ``host`` matches every host; an empty ``methods`` every method.
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
