"""Route table of a version."""

from typing import NamedTuple

from daisylink.version._content import Content
from daisylink.version._rows import Pool, Route, Service, WeightedService

ANY_HOST = ""


class RouteTarget(NamedTuple):
    """A service that a route leads to.

    :param pool: the service's pool.
    :param weight: share of the route's requests, relative to the other targets.
    """

    service: Service
    pool: Pool
    weight: float = 1.0


class RouteEntry(NamedTuple):
    """A route and its targets; it has several if its traffic is split."""

    route: Route
    targets: tuple[RouteTarget, ...]

    @property
    def service(self) -> Service:
        """Return the first service."""
        return self.targets[0].service

    @property
    def deadline_ms(self) -> int:
        """Return the route's deadline, or its service's if the route has none."""
        return self.route.deadline_ms or self.service.deadline_ms


class RouteTable:
    """Finds the route with the longest matching path prefix for a host.

    A prefix matches whole path segments: ``/map`` matches ``/map`` and ``/map/7``
    but not ``/maps``. One that ends in a slash, ``/map/``, does not match ``/map``.
    """

    def __init__(self, pools: dict[str, Pool], services: dict[str, Service]):
        self.pools = pools
        self.services = services
        self.entries: dict[str, dict[str, RouteEntry]] = {}
        self.entries_by_name: dict[str, RouteEntry] = {}

    @classmethod
    def from_content(
        cls, content: Content, base: "RouteTable | None" = None
    ) -> "RouteTable":
        """Build the table of a content in which every reference resolves.

        :param base: table of an earlier version, whose entries are used again.
        """
        table = cls(
            {pool.name: pool for pool in content.pools},
            {service.name: service for service in content.services},
        )
        if base is not None and not base.has_same_services(table):
            base = None
        for route in content.routes:
            entry = base.find_entry(route) if base is not None else None
            table._add(entry or table._make_entry(route))
        return table

    def has_same_services(self, other: "RouteTable") -> bool:
        """Return whether both tables have the same pools and services."""
        return self.pools == other.pools and self.services == other.services

    def find_entry(self, route: Route) -> RouteEntry | None:
        """Return the entry that was built for this very row, if any."""
        entry = self.entries_by_name.get(route.name)
        return entry if entry is not None and entry.route is route else None

    def _add(self, entry: RouteEntry) -> None:
        route = entry.route
        self.entries.setdefault(route.host, {})[route.prefix] = entry
        self.entries_by_name[route.name] = entry

    def _make_entry(self, route: Route) -> RouteEntry:
        shares = route.split or (WeightedService(route.service, 1.0),)
        targets = []
        for share in shares:
            service = self.services[share.service]
            pool = self.pools[service.pool]
            targets.append(RouteTarget(service, pool, share.weight))
        return RouteEntry(route, tuple(targets))

    def find_route(self, host: str, path: str) -> RouteEntry | None:
        """Return the entry for a host and a path, if any.

        :param host: value of the Host header; its port is ignored.
        :param path: path without the query, starting with a slash.
        """
        name = host.partition(":")[0].lower()
        return self._find_prefix(name, path) or self._find_prefix(ANY_HOST, path)

    def _find_prefix(self, host: str, path: str) -> RouteEntry | None:
        prefixes = self.entries.get(host)
        if not prefixes:
            return None
        prefix = path
        while prefix:
            entry = prefixes.get(prefix)
            if entry is not None:
                return entry
            prefix = _shorten_prefix(prefix)
        return None


def _shorten_prefix(path: str) -> str:
    """Return the path without its trailing slash or, lacking one, its last segment."""
    if path.endswith("/"):
        return path[:-1]
    return path[: path.rfind("/") + 1]
