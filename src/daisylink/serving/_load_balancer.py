"""Balances load: chooses the node for each attempt of a request."""

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple, Protocol

from daisylink.rollout import RolloutTable, Side
from daisylink.serving._peer_notices import PeerNotices
from daisylink.serving._reachability import ReachabilityMonitor
from daisylink.serving._records import MemberRecord
from daisylink.serving._response_times import ResponseTimes

MAX_COMPARED_NODES = 16
# Nodes drawn from a large group for each one compared, as some cannot be chosen.
MAX_DRAWS_PER_NODE = 2
EJECT_AFTER_FAILURES = 3
FIRST_EJECT_SECONDS = 2.0
MAX_EJECT_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5
# Time for the record of a node that no longer serves a pool to arrive.
SUSPEND_SECONDS = 1.0
# Time that another zone must save, as a share of the objective: its longer round trip
# and its traffic.
OTHER_ZONE_SHARE = 0.2
# The same as a share of the usual response time, for requests without an objective.
OTHER_ZONE_TIME_SHARE = 0.25
# Time that another node of the own zone must save over the own backend server.
HOP_SECONDS = 0.002


class PoolDirectory(Protocol):
    """Directory of the nodes that serve a pool.

    :param own_record: record of this node.
    """

    own_record: MemberRecord

    def serving(self, pool: str) -> dict[str, MemberRecord]:
        """Return the records of the nodes that serve a pool, by node."""


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

    Prefers its own backend server, then nodes in the own zone, unless another one would
    answer sooner by more than the longer way is worth.

    A node that fails several times in a row is ejected for a while. If more than half
    of the candidates would be ejected, the failures are not trusted as a signal and all
    of them stay.

    :param directory: finds the nodes that serve a pool.
    :param rng: breaks ties and samples large groups.
    """

    def __init__(self, directory: PoolDirectory, rng: random.Random):
        self.directory = directory
        self.rng = rng
        self.response_times = ResponseTimes()
        self.in_flight = self.response_times.in_flight
        self.health: dict[str, NodeHealth] = {}
        self.last_response_at: dict[str, float] = {}
        self.reachability = ReachabilityMonitor()
        self.peer_notices = PeerNotices()
        self.rollouts = RolloutTable(rng)
        self.cache: dict[tuple[str, Side], Candidates] = {}

    def invalidate_candidates(self) -> None:
        """Discard the cached candidates because the directory changed."""
        self.cache.clear()

    def choose(
        self,
        pool: str,
        tried: Collection[str],
        slots: int,
        now: float,
        kind: str = "",
        slo_seconds: float = 0.0,
        any_zone: bool = True,
        max_compared: int = MAX_COMPARED_NODES,
        side: Side = Side.ANY,
    ) -> MemberRecord | None:
        """Choose the node for the next attempt.

        :param tried: names of the nodes that earlier attempts went to.
        :param slots: slots of a server whose record states none.
        :param now: seconds of the monotonic clock.
        :param kind: group of requests with about the same service time.
        :param slo_seconds: latency objective, 0 for none.
        :param any_zone: whether nodes of the own zone are candidates too.
        :param max_compared: nodes of each group that are compared, drawn at random.
        :param side: which servers are candidates during a rollout.
        :returns: the node's record, or None if no candidate is left.
        """
        candidates = self.cache.get((pool, side)) or self._find_candidates(pool, side)
        compared = self._sample(candidates.other_zones, tried, now, max_compared)
        far = self._choose_fastest(compared, slots, kind, now)
        if not any_zone:
            return far
        compared = self._sample(candidates.own_zone, tried, now, max_compared)
        near = self._choose_fastest(compared, slots, kind, now)
        if near is None or far is None:
            return near or far
        is_better = self.is_remote_worthwhile(far, near, slots, now, kind, slo_seconds)
        return far if is_better else near

    def is_remote_worthwhile(
        self,
        far: MemberRecord,
        near: MemberRecord,
        slots: int,
        now: float,
        kind: str = "",
        slo_seconds: float = 0.0,
    ) -> bool:
        """Return whether a node of another zone answers sooner by a margin.

        :param far: the node of another zone.
        :param near: the node of the own zone.
        :param slots: slots of a server whose record states none.
        :param now: seconds of the monotonic clock.
        :param kind: kind of the request.
        :param slo_seconds: objective of the request, of which the margin is a share; 0
            for a share of the near node's response time.
        """
        estimate = self.response_times.estimate_seconds
        near_seconds = estimate(near, kind, slots, now)
        margin = slo_seconds * OTHER_ZONE_SHARE or near_seconds * OTHER_ZONE_TIME_SHARE
        return estimate(far, kind, slots, now) + margin < near_seconds

    def count_servers(self, pool: str, side: Side = Side.ANY) -> int:
        """Return the number of nodes that serve a pool, on a side of a rollout."""
        candidates = self.cache.get((pool, side)) or self._find_candidates(pool, side)
        return len(candidates.own_zone) + len(candidates.other_zones)

    def describe(self, node: str, now: float) -> str:
        """Return the figures behind the choice of a node, for the log."""
        report = self.response_times.reports.get(node)
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

    def begin(self, node: str) -> None:
        """Count a request that is sent to a node."""
        self.in_flight[node] += 1

    def end(self, node: str) -> None:
        """Count the end of a request at a node."""
        self.in_flight[node] -= 1
        if not self.in_flight[node]:
            del self.in_flight[node]

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

    def suspend(self, node: str, now: float) -> None:
        """Choose others for a moment, as a node says that it does not serve."""
        health = self.health.get(node, NodeHealth())
        until = max(health.ejected_until, now + SUSPEND_SECONDS)
        self.health[node] = health._replace(ejected_until=until)

    def _find_candidates(self, pool: str, side: Side) -> Candidates:
        zone = self.directory.own_record.zone
        serving = [
            record
            for record in self.directory.serving(pool).values()
            if not self.peer_notices.is_leaving(record)
            and self.rollouts.is_candidate(
                pool, side, record.node, record.software_version
            )
        ]
        candidates = Candidates(
            tuple(record for record in serving if record.zone == zone),
            tuple(record for record in serving if record.zone != zone),
        )
        self.cache[pool, side] = candidates
        return candidates

    def _sample(
        self,
        group: tuple[MemberRecord, ...],
        tried: Collection[str],
        now: float,
        count: int,
    ) -> Sequence[MemberRecord]:
        """Draw nodes that can be chosen from a group, in a time that it does not raise.

        Only if too many of a group's nodes cannot be chosen are all of them looked at.
        """
        ejected = self._find_ejected(now)
        if len(group) > count * MAX_DRAWS_PER_NODE:
            drawn = self.rng.sample(group, count * MAX_DRAWS_PER_NODE)
            found = self._remove_unusable(drawn, tried, ejected)
            if len(found) >= count:
                return found[:count]
        usable = self._remove_unusable(group, tried, ())
        kept = [record for record in usable if record.node not in ejected]
        if len(kept) < len(usable) * (1 - MAX_EJECTED_SHARE):
            kept = usable
        return kept if len(kept) <= count else self.rng.sample(kept, count)

    def _remove_unusable(
        self,
        group: Sequence[MemberRecord],
        tried: Collection[str],
        ejected: Collection[str],
    ) -> list[MemberRecord]:
        unreachable = self.reachability.unreachable
        return [
            record
            for record in group
            if record.node not in tried
            and record.node not in unreachable
            and record.node not in ejected
        ]

    def _find_ejected(self, now: float) -> set[str]:
        return {
            node for node, health in self.health.items() if health.ejected_until > now
        }

    def _choose_fastest(
        self, group: Sequence[MemberRecord], slots: int, kind: str, now: float
    ) -> MemberRecord | None:
        if not group:
            return None
        if len(group) == 1:
            return group[0]
        costs = [
            (self._estimate_cost(record, kind, slots, now), record) for record in group
        ]
        min_cost = min(cost for cost, _ in costs)
        return self.rng.choice([record for cost, record in costs if cost == min_cost])

    def _estimate_cost(
        self, record: MemberRecord, kind: str, slots: int, now: float
    ) -> float:
        """Return the cost by which the nodes of a group are compared, in seconds.

        Own requests in flight count on top of the expected response time, so that
        nodes which know the same reports do not all choose the same server.
        """
        seconds = self.response_times.estimate_seconds(record, kind, slots, now)
        if record.node == self.directory.own_record.node:
            return seconds - HOP_SECONDS
        sent = self.in_flight.get(record.node, 0) / max(1, record.slots or slots)
        return seconds * (1 + sent)
