"""Balances load: chooses the node for each attempt of a request."""

import random
from collections import Counter
from collections.abc import Collection
from typing import NamedTuple, Protocol

from daisylink.serving._reachability import ReachabilityMonitor
from daisylink.serving._records import MemberRecord

MAX_COMPARED_NODES = 16
EJECT_AFTER_FAILURES = 3
FIRST_EJECT_SECONDS = 2.0
MAX_EJECT_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5
REPORT_LIFETIME_SECONDS = 1.0
FULL_LOAD = 1.0
LOCAL_LOAD_LIMIT = 0.5
# Cost factor of another zone: its longer round trip and its traffic.
OTHER_ZONE_COST_FACTOR = 1.25


class PoolDirectory(Protocol):
    """Directory of the nodes that serve a pool.

    :param own_record: record of this node.
    """

    own_record: MemberRecord

    def serving(self, pool: str) -> dict[str, MemberRecord]:
        """Return the records of the nodes that serve a pool, by node."""


class LoadReport(NamedTuple):
    """Load that a node reported with a response.

    :param load: running and queued requests per slot.
    :param at: when the report arrived, in seconds of the monotonic clock.
    :param service_time: mean seconds that a request holds a slot, 0 if not reported.
    """

    load: float
    at: float
    service_time: float = 0.0


class NodeHealth(NamedTuple):
    """Failures of a node as observed by this node.

    :param failures: consecutive failures since the last ejection.
    :param ejections: consecutive ejections.
    :param ejected_until: end of the ejection, in seconds of the monotonic clock.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Candidates(NamedTuple):
    """Nodes that serve a pool, in the own zone and elsewhere."""

    own_zone: tuple[MemberRecord, ...]
    other_zones: tuple[MemberRecord, ...]


class LoadBalancer:
    """Chooses the node with the lowest expected response time.

    Prefers nodes in the own zone while one of them has a free slot. It is designed for
    servers of unequal speed, some slowed or just started, that serve many nodes which
    do not know of each other's requests.

    A node that fails several times in a row is ejected for a while. If more than half
    of the candidates would be ejected, the failures are not trusted as a signal and all
    of them stay.

    :param directory: finds the nodes that serve a pool.
    :param rng: breaks ties and samples large groups.
    """

    def __init__(self, directory: PoolDirectory, rng: random.Random):
        self.directory = directory
        self.rng = rng
        self.in_flight: Counter[str] = Counter()
        self.reports: dict[str, LoadReport] = {}
        self.health: dict[str, NodeHealth] = {}
        self.last_response_at: dict[str, float] = {}
        self.reachability = ReachabilityMonitor()
        self.cache: dict[str, Candidates] = {}

    def invalidate_candidates(self) -> None:
        """Discard the cached candidates because the directory changed."""
        self.cache.clear()

    def choose(
        self,
        pool: str,
        tried: Collection[str],
        slots: int,
        own_load: float,
        now: float,
    ) -> MemberRecord | None:
        """Choose the node for the next attempt.

        :param tried: names of the nodes that earlier attempts went to.
        :param slots: slots of a server whose record states none.
        :param own_load: requests per slot at the local backend server.
        :param now: seconds of the monotonic clock.
        :returns: the node's record, or None if no candidate is left.
        """
        own_record = self.directory.own_record
        is_own_pool = (
            own_record.is_serving
            and own_record.pool == pool
            and own_record.node not in tried
        )
        if is_own_pool and own_load < LOCAL_LOAD_LIMIT:
            return own_record
        candidates = self.cache.get(pool) or self._find_candidates(pool)
        near = self._choose_cheapest(candidates.own_zone, tried, slots, now)
        if near is not None and self._estimate_load(near, slots, now) < FULL_LOAD:
            return near
        far = self._choose_cheapest(candidates.other_zones, tried, slots, now)
        if near is None or far is None:
            return near or far
        if self._estimate_load(far, slots, now) < FULL_LOAD:
            return far
        near_cost = self._estimate_cost(near, slots, now)
        return (
            far
            if self._estimate_cost(far, slots, now) * OTHER_ZONE_COST_FACTOR < near_cost
            else near
        )

    def describe(self, node: str, now: float) -> str:
        """Return the figures behind the choice of a node, for the log."""
        report = self.reports.get(node)
        sent = self.in_flight.get(node, 0)
        if report is None:
            return f"{node} in_flight={sent} no_report"
        age_ms = (now - report.at) * 1000
        return f"{node} in_flight={sent} load={report.load:.2f} age={age_ms:.0f}ms"

    def record_reachable(self, node: str) -> None:
        """Forget the failures of a node that answers again.

        They say nothing about the node after its recovery.
        """
        self.health.pop(node, None)

    def get_service_times(self) -> dict[str, float]:
        """Return the reported service time in seconds by node."""
        reports = self.reports.items()
        return {node: report.service_time for node, report in reports}

    def begin(self, node: str) -> None:
        """Count a request that is sent to a node."""
        self.in_flight[node] += 1

    def end(self, node: str) -> None:
        """Count the end of a request at a node."""
        self.in_flight[node] -= 1
        if not self.in_flight[node]:
            del self.in_flight[node]

    def record_report(
        self, node: str, load: float, now: float, service_time: float = 0.0
    ) -> None:
        """Record the load that a node reported.

        :param load: running and queued requests per slot.
        :param now: seconds of the monotonic clock.
        :param service_time: mean seconds that a request holds a slot, 0 if unknown.
        """
        self.reports[node] = LoadReport(load, now, service_time)

    def record_success(self, node: str, now: float) -> None:
        """Record a response of a node, which ends its run of failures."""
        self.last_response_at[node] = now
        if node in self.health:
            del self.health[node]

    def record_failure(self, node: str, now: float) -> None:
        """Record a failure of a node; eject it after several in a row."""
        health = self.health.get(node, NodeHealth())
        failures = health.failures + 1
        if failures < EJECT_AFTER_FAILURES:
            self.health[node] = health._replace(failures=failures)
            return
        seconds = min(MAX_EJECT_SECONDS, FIRST_EJECT_SECONDS * 2**health.ejections)
        self.health[node] = NodeHealth(0, health.ejections + 1, now + seconds)

    def _find_candidates(self, pool: str) -> Candidates:
        zone = self.directory.own_record.zone
        serving = self.directory.serving(pool).values()
        candidates = Candidates(
            tuple(record for record in serving if record.zone == zone),
            tuple(record for record in serving if record.zone != zone),
        )
        self.cache[pool] = candidates
        return candidates

    def _choose_cheapest(
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
        if len(group) > MAX_COMPARED_NODES:
            group = tuple(self.rng.sample(group, MAX_COMPARED_NODES))
        if not group:
            return None
        if len(group) == 1:
            return group[0]
        costs = [(self._estimate_cost(record, slots, now), record) for record in group]
        min_cost = min(cost for cost, _ in costs)
        return self.rng.choice([record for cost, record in costs if cost == min_cost])

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

    def _estimate_cost(self, record: MemberRecord, slots: int, now: float) -> float:
        """Return the expected response time in multiples of the pool's mean.

        A server with a long service time gets less load. A server without a report
        counts as average.
        """
        report = self.reports.get(record.node)
        service_time = report.service_time if report is not None else 0.0
        relative_time = service_time / self._mean_service_time(record.pool) or 1.0
        sent = self.in_flight.get(record.node, 0) / max(1, record.slots or slots)
        waiting = max(self._estimate_load(record, slots, now) - 1, 0.0)
        return relative_time * (1 + waiting) + sent

    def _mean_service_time(self, pool: str) -> float:
        """Return the mean reported service time of a pool in seconds, 1 without one."""
        times = [
            report.service_time
            for node in self.directory.serving(pool)
            if (report := self.reports.get(node)) and report.service_time
        ]
        return sum(times) / len(times) if times else 1.0

    def _estimate_load(self, record: MemberRecord, slots: int, now: float) -> float:
        """Return the estimated load of a node in requests per slot.

        The weight of a report falls to zero over :data:`REPORT_LIFETIME_SECONDS`.
        """
        sent = self.in_flight.get(record.node, 0) / max(1, record.slots or slots)
        report = self.reports.get(record.node)
        if report is None:
            return sent
        freshness = max(0.0, 1 - (now - report.at) / REPORT_LIFETIME_SECONDS)
        return max(sent, report.load * freshness)
