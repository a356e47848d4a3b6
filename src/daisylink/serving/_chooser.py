"""Chooses the backend server for an attempt."""

import random
from collections import Counter
from collections.abc import Collection
from typing import NamedTuple, Protocol

from daisylink.serving._records import MemberRecord

PICKS = 2
MAX_COMPARED = 16
EJECT_AFTER = 3
EJECT_SECONDS = 2.0
EJECT_MOST_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5
REPORT_LIFE_SECONDS = 1.0
FULL = 1.0
OWN_PREFERENCE = 0.5


class Members(Protocol):
    """Where the nodes that serve a pool are found.

    :param own: record of the node that asks.
    """

    own: MemberRecord

    def serving(self, pool: str) -> dict[str, MemberRecord]:
        """Return the records of the nodes that serve a pool, by node."""


class Report(NamedTuple):
    """Load that a node stated with an answer: requests in use per slot."""

    load: float
    at: float


class Health(NamedTuple):
    """Recent failures of a node as seen from here."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Candidates(NamedTuple):
    """Nodes that serve a pool, split by zone."""

    own_zone: tuple[MemberRecord, ...]
    elsewhere: tuple[MemberRecord, ...]


class Chooser:
    """Chooses the node with the fewest requests from here, in the own zone first.

    Among equals, the better of two random ones by the load they stated last.

    A node that fails several times on end is left out for a while; if more than half
    of the candidates would be left out, the signal is not trusted and none is.

    :param directory: where the nodes that serve a pool are found.
    """

    def __init__(self, directory: Members, rng: random.Random):
        self.directory = directory
        self.rng = rng
        self.in_flight: Counter[str] = Counter()
        self.reports: dict[str, Report] = {}
        self.health: dict[str, Health] = {}
        self.heard_at: dict[str, float] = {}
        self.cache: dict[str, Candidates] = {}

    def note_directory(self) -> None:
        """Note that the directory changed."""
        self.cache.clear()

    def choose(
        self,
        pool: str,
        tried: Collection[str],
        slots: int,
        own_load: float,
        now: float,
    ) -> MemberRecord | None:
        """Return the node to try next, or None if none is left.

        :param tried: names of nodes that turned this request down.
        :param slots: slots of each server, where the record states none.
        :param own_load: requests per slot at the own backend server.
        """
        own = self.directory.own
        is_own_pool = own.is_serving and own.pool == pool and own.node not in tried
        if is_own_pool and own_load < OWN_PREFERENCE:
            return own
        candidates = self.cache.get(pool) or self._find(pool)
        for group in (candidates.own_zone, candidates.elsewhere):
            best = self._best(group, tried, slots, now)
            if best is not None and self._score(best, slots, now) < FULL:
                return best
        return self._best(candidates.own_zone, tried, slots, now) or self._best(
            candidates.elsewhere, tried, slots, now
        )

    def begin(self, node: str) -> None:
        """Count a request that goes to a node."""
        self.in_flight[node] += 1

    def end(self, node: str) -> None:
        """Count a request back."""
        self.in_flight[node] -= 1
        if not self.in_flight[node]:
            del self.in_flight[node]

    def note_report(self, node: str, load: float, now: float) -> None:
        """Note the load that a node stated."""
        self.reports[node] = Report(load, now)

    def note_success(self, node: str, now: float) -> None:
        """Note that a node answered."""
        self.heard_at[node] = now
        if node in self.health:
            del self.health[node]

    def note_failure(self, node: str, now: float) -> None:
        """Note that a node failed; leave it out when it fails again and again."""
        health = self.health.get(node, Health())
        failures = health.failures + 1
        if failures < EJECT_AFTER:
            self.health[node] = health._replace(failures=failures)
            return
        seconds = min(EJECT_MOST_SECONDS, EJECT_SECONDS * 2**health.ejections)
        self.health[node] = Health(0, health.ejections + 1, now + seconds)

    def _find(self, pool: str) -> Candidates:
        zone = self.directory.own.zone
        serving = self.directory.serving(pool).values()
        candidates = Candidates(
            tuple(record for record in serving if record.zone == zone),
            tuple(record for record in serving if record.zone != zone),
        )
        self.cache[pool] = candidates
        return candidates

    def _best(
        self,
        group: tuple[MemberRecord, ...],
        tried: Collection[str],
        slots: int,
        now: float,
    ) -> MemberRecord | None:
        if self.health:
            group = self._without_ejected(group, now)
        if tried:
            group = tuple(record for record in group if record.node not in tried)
        if len(group) > MAX_COMPARED:
            group = tuple(self.rng.sample(group, MAX_COMPARED))
        if not group:
            return None
        flight = self.in_flight
        least = min(flight.get(record.node, 0) for record in group)
        idle = [record for record in group if flight.get(record.node, 0) == least]
        picks = idle if len(idle) <= PICKS else self.rng.sample(idle, PICKS)
        return min(picks, key=lambda record: self._score(record, slots, now))

    def _without_ejected(
        self, group: tuple[MemberRecord, ...], now: float
    ) -> tuple[MemberRecord, ...]:
        kept = tuple(
            record
            for record in group
            if record.node not in self.health
            or self.health[record.node].ejected_until <= now
        )
        if len(kept) < len(group) * (1 - MAX_EJECTED_SHARE):
            return group
        return kept

    def _score(self, record: MemberRecord, slots: int, now: float) -> float:
        """Return the expected load of a node, in requests per slot."""
        own = self.in_flight.get(record.node, 0) / max(1, record.slots or slots)
        report = self.reports.get(record.node)
        if report is None:
            return own
        freshness = max(0.0, 1 - (now - report.at) / REPORT_LIFE_SECONDS)
        return max(own, report.load * freshness)
