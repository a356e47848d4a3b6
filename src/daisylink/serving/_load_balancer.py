"""Chooses the backend server for an attempt."""

import random
from collections import Counter
from collections.abc import Collection
from typing import NamedTuple, Protocol

from daisylink.serving._reachability import ReachabilityMonitor
from daisylink.serving._records import MemberRecord

MAX_COMPARED = 16
EJECT_AFTER = 3
EJECT_SECONDS = 2.0
EJECT_MOST_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5
REPORT_LIFE_SECONDS = 1.0
FULL = 1.0
OWN_PREFERENCE = 0.5
# What an answer from another zone costs more, in time and traffic.
FAR_FACTOR = 1.25


class PoolDirectory(Protocol):
    """Where the nodes that serve a pool are found.

    :param own_record: record of the node that asks.
    """

    own_record: MemberRecord

    def serving(self, pool: str) -> dict[str, MemberRecord]:
        """Return the records of the nodes that serve a pool, by node."""


class Report(NamedTuple):
    """Load that a node stated with an answer.

    :param load: requests in use and waiting per slot.
    :param service_time: seconds that a request holds a slot there, 0 if not stated.
    """

    load: float
    at: float
    service_time: float = 0.0


class Health(NamedTuple):
    """Recent failures of a node as seen from here."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Candidates(NamedTuple):
    """Nodes that serve a pool, split by zone."""

    own_zone: tuple[MemberRecord, ...]
    elsewhere: tuple[MemberRecord, ...]


class LoadBalancer:
    """Chooses the node expected to answer first, in the own zone while it has slots.

    The load it answers: servers of unequal pace, some slowed or just started, asked by
    many nodes that do not know of each other's requests.

    A node that fails several times on end is left out for a while; if more than half
    of the candidates would be left out, the signal is not trusted and none is.

    :param directory: where the nodes that serve a pool are found.
    """

    def __init__(self, directory: PoolDirectory, rng: random.Random):
        self.directory = directory
        self.rng = rng
        self.in_flight: Counter[str] = Counter()
        self.reports: dict[str, Report] = {}
        self.health: dict[str, Health] = {}
        self.last_response_at: dict[str, float] = {}
        self.reachability = ReachabilityMonitor()
        self.cache: dict[str, Candidates] = {}

    def invalidate_candidates(self) -> None:
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
        own_record = self.directory.own_record
        is_own_pool = (
            own_record.is_serving
            and own_record.pool == pool
            and own_record.node not in tried
        )
        if is_own_pool and own_load < OWN_PREFERENCE:
            return own_record
        candidates = self.cache.get(pool) or self._find(pool)
        near = self._best(candidates.own_zone, tried, slots, now)
        if near is not None and self._score(near, slots, now) < FULL:
            return near
        far = self._best(candidates.elsewhere, tried, slots, now)
        if near is None or far is None:
            return near or far
        if self._score(far, slots, now) < FULL:
            return far
        own_cost = self._cost(near, slots, now)
        return far if self._cost(far, slots, now) * FAR_FACTOR < own_cost else near

    def describe(self, node: str, now: float) -> str:
        """Return what a choice of a node rests on, for the log."""
        report = self.reports.get(node)
        own = self.in_flight.get(node, 0)
        if report is None:
            return f"{node} in_flight={own} no_report"
        age_ms = (now - report.at) * 1000
        return f"{node} in_flight={own} load={report.load:.2f} age={age_ms:.0f}ms"

    def record_reachable(self, node: str) -> None:
        """Note that a node answers again: earlier failures say nothing of it now."""
        self.health.pop(node, None)

    def get_service_times(self) -> dict[str, float]:
        """Return the seconds that a request takes at each node that stated it."""
        reports = self.reports.items()
        return {node: report.service_time for node, report in reports}

    def begin(self, node: str) -> None:
        """Count a request that goes to a node."""
        self.in_flight[node] += 1

    def end(self, node: str) -> None:
        """Count a request back."""
        self.in_flight[node] -= 1
        if not self.in_flight[node]:
            del self.in_flight[node]

    def record_report(
        self, node: str, load: float, now: float, service_time: float = 0.0
    ) -> None:
        """Note the load, and the time a request takes, that a node stated."""
        self.reports[node] = Report(load, now, service_time)

    def record_success(self, node: str, now: float) -> None:
        """Note that a node answered."""
        self.last_response_at[node] = now
        if node in self.health:
            del self.health[node]

    def record_failure(self, node: str, now: float) -> None:
        """Note that a node failed; leave it out when it fails again and again."""
        health = self.health.get(node, Health())
        failures = health.failures + 1
        if failures < EJECT_AFTER:
            self.health[node] = health._replace(failures=failures)
            return
        seconds = min(EJECT_MOST_SECONDS, EJECT_SECONDS * 2**health.ejections)
        self.health[node] = Health(0, health.ejections + 1, now + seconds)

    def _find(self, pool: str) -> Candidates:
        zone = self.directory.own_record.zone
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
        unreachable = self.reachability.unreachable
        if unreachable:
            group = tuple(item for item in group if item.node not in unreachable)
        if self.health:
            group = self._without_ejected(group, now)
        if tried:
            group = tuple(record for record in group if record.node not in tried)
        if len(group) > MAX_COMPARED:
            group = tuple(self.rng.sample(group, MAX_COMPARED))
        if not group:
            return None
        if len(group) == 1:
            return group[0]
        costs = [(self._cost(record, slots, now), record) for record in group]
        least = min(cost for cost, _ in costs)
        return self.rng.choice([record for cost, record in costs if cost == least])

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

    def _cost(self, record: MemberRecord, slots: int, now: float) -> float:
        """Return the expected time to an answer, in mean service times.

        A server that is slow for its load gets less of it; one that nothing is known
        of counts as an ordinary one.
        """
        report = self.reports.get(record.node)
        service_time = report.service_time if report is not None else 0.0
        pace = service_time / self._mean_service_time(record.pool) or 1.0
        own = self.in_flight.get(record.node, 0) / max(1, record.slots or slots)
        waiting = max(self._score(record, slots, now) - 1, 0.0)
        return pace * (1 + waiting) + own

    def _mean_service_time(self, pool: str) -> float:
        """Return the mean of what a pool's servers stated, 1 if none did."""
        times = [
            report.service_time
            for node in self.directory.serving(pool)
            if (report := self.reports.get(node)) and report.service_time
        ]
        return sum(times) / len(times) if times else 1.0

    def _score(self, record: MemberRecord, slots: int, now: float) -> float:
        """Return the expected load of a node, in requests per slot."""
        own = self.in_flight.get(record.node, 0) / max(1, record.slots or slots)
        report = self.reports.get(record.node)
        if report is None:
            return own
        freshness = max(0.0, 1 - (now - report.at) / REPORT_LIFE_SECONDS)
        return max(own, report.load * freshness)
