"""Which coordinators a node may ask, from the members of each zone."""

import random
from collections.abc import Container, Iterable

from daisylink.quota._ranking import rank_coordinators

# A coordinator that did not answer a request is not asked for this time.
SILENT_SECONDS = 2.0


class CoordinatorDirectory:
    """The nodes of each zone, ranked for each shard when first needed.

    :param zone: zone of this node.
    :param unreachable: nodes that do not respond to requests.
    """

    def __init__(self, zone: str, unreachable: Container[str], rng: random.Random):
        self.zone = zone
        self.unreachable = unreachable
        self.rng = rng
        self.zones: dict[str, list[str]] = {}
        self.rankings: dict[tuple[str, int], list[str]] = {}
        self.silent_until: dict[str, float] = {}

    def set_members(self, members: Iterable[tuple[str, str]]) -> None:
        """Replace the members.

        :param members: each node with its zone.
        """
        self.zones, self.rankings = {}, {}
        for node, zone in members:
            self.zones.setdefault(zone, []).append(node)

    def rank(self, zone: str, shard: int) -> list[str]:
        """Return a zone's nodes, the first coordinator of a shard first."""
        ranking = self.rankings.get((zone, shard))
        if ranking is None:
            ranking = rank_coordinators(self.zones.get(zone, ()), shard)
            self.rankings[zone, shard] = ranking
        return ranking

    def record_silent(self, node: str, now: float) -> None:
        """Record a coordinator that did not answer."""
        self.silent_until[node] = now + SILENT_SECONDS

    def find_local(self, shard: int, now: float) -> str:
        """Return the coordinator of the own zone, "" if it does not answer."""
        return self._find(self.zone, shard, now)

    def find_remote(self, shard: int, now: float) -> str:
        """Return the coordinator of another zone, "" if it does not answer."""
        zones = [zone for zone in self.zones if zone != self.zone]
        return self._find(self.rng.choice(zones), shard, now) if zones else ""

    def forget_silent(self, now: float) -> None:
        """Forget the coordinators that may be asked again."""
        silent = self.silent_until.items()
        self.silent_until = {node: until for node, until in silent if until > now}

    def _find(self, zone: str, shard: int, now: float) -> str:
        for node in self.rank(zone, shard):
            if node not in self.unreachable:
                return "" if self.silent_until.get(node, 0.0) > now else node
        return ""
