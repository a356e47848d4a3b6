"""Counts requests against service-level objectives, by time window.

Each node counts the requests of its own callers by service. Once a minute it saves a
snapshot of the counts, so that it can report any window of the last six hours. A survey
merges the counts of many nodes along its tree.
"""

from collections import deque
from datetime import timedelta

import msgspec

from daisylink.version import Service

HISTORY_INTERVAL = timedelta(minutes=1)
WINDOWS = (timedelta(minutes=5), timedelta(hours=1), timedelta(hours=6))
LOST_CODES = frozenset({"5012", "5013", "cut"})


class ServiceCounts(msgspec.Struct, array_like=True):
    """Numbers of requests of one service, by result.

    :param total: all that ended, except those whose caller disconnected.
    :param late: succeeded, but later than the objective.
    :param failed: refused, lost or ended in a server error.
    :param lost: of the failed, those that may have run although no response arrived.
    :param resent: resends that were answered from the record of the first run.
    :param codes: failed and late requests by code.
    """

    total: int = 0
    late: int = 0
    failed: int = 0
    lost: int = 0
    resent: int = 0
    codes: dict[str, int] = {}

    def add(self, other: "ServiceCounts", sign: int = 1) -> None:
        """Add other counts, or subtract them with ``sign=-1``."""
        self.total += sign * other.total
        self.late += sign * other.late
        self.failed += sign * other.failed
        self.lost += sign * other.lost
        self.resent += sign * other.resent
        for code, count in other.codes.items():
            self.codes[code] = self.codes.get(code, 0) + sign * count

    def copy(self) -> "ServiceCounts":
        """Return an independent copy."""
        return ServiceCounts(
            self.total, self.late, self.failed, self.lost, self.resent, {**self.codes}
        )


class ServiceBurn(msgspec.Struct, array_like=True):
    """Counts of one service in one availability zone.

    :param slo_ms: latency objective in milliseconds.
    :param slo_percent: percentage of requests that must meet the objective.
    :param windows: counts for each of :data:`WINDOWS`, in order.
    :param latency: number of requests by upper bound of the latency in seconds.
    """

    zone: str
    service: str
    slo_ms: int
    slo_percent: float
    windows: list[ServiceCounts]
    latency: dict[float, int]


class BurnReply(msgspec.Struct, array_like=True):
    """Counts of some nodes.

    :param nodes: number of nodes that are included.
    :param services: counts by zone and service.
    """

    nodes: int
    services: list[ServiceBurn]


class BurnTracker:
    """Counts of one node, with the snapshots that the windows need."""

    def __init__(self):
        self.counts: dict[str, ServiceCounts] = {}
        kept = round(WINDOWS[-1] / HISTORY_INTERVAL)
        self.history: deque[dict[str, ServiceCounts]] = deque(maxlen=kept)

    def record(
        self, service: str, code: str, seconds: float, slo_ms: int, resent: bool
    ) -> None:
        """Count a request that ended.

        :param code: as in :meth:`Metrics.record_request`; ``cancelled`` is not counted.
        :param seconds: time from the request's head to its end.
        :param resent: whether the response came from the record of an earlier run.
        """
        if code == "cancelled":
            return
        counts = self.counts.get(service)
        if counts is None:
            counts = self.counts[service] = ServiceCounts()
        counts.total += 1
        counts.resent += resent
        if code != "ok":
            counts.failed += 1
            counts.lost += code in LOST_CODES
            counts.codes[code] = counts.codes.get(code, 0) + 1
        elif seconds * 1000 > slo_ms:
            counts.late += 1
            counts.codes["late"] = counts.codes.get("late", 0) + 1

    def save_snapshot(self) -> None:
        """Save a snapshot of the counts; called once per :data:`HISTORY_INTERVAL`."""
        kept = {service: counts.copy() for service, counts in self.counts.items()}
        self.history.append(kept)

    def windows(self, service: str) -> list[ServiceCounts]:
        """Return a service's counts for each of :data:`WINDOWS`."""
        found = []
        for window in WINDOWS:
            steps = round(window / HISTORY_INTERVAL)
            counts = self.counts.get(service, ServiceCounts()).copy()
            if len(self.history) >= steps:
                before = self.history[-steps].get(service)
                if before is not None:
                    counts.add(before, -1)
            found.append(counts)
        return found

    def build_reply(
        self,
        zone: str,
        services: dict[str, Service],
        latency: dict[str, dict[float, int]],
    ) -> BurnReply:
        """Return the counts of this node.

        :param services: services of the version in force, by name.
        :param latency: latency histograms by service.
        """
        burns = []
        for name in self.counts:
            service = services.get(name)
            if service is None:
                continue
            burns.append(
                ServiceBurn(
                    zone,
                    name,
                    service.slo_ms,
                    service.slo_percent,
                    self.windows(name),
                    latency.get(name, {}),
                )
            )
        return BurnReply(1, burns)


def merge_burns(replies: list[BurnReply]) -> BurnReply:
    """Add up the counts of several nodes by zone and service."""
    merged: dict[tuple[str, str], ServiceBurn] = {}
    for reply in replies:
        for burn in reply.services:
            held = merged.get((burn.zone, burn.service))
            if held is None:
                merged[burn.zone, burn.service] = burn
                continue
            for mine, theirs in zip(held.windows, burn.windows, strict=True):
                mine.add(theirs)
            for bound, count in burn.latency.items():
                held.latency[bound] = held.latency.get(bound, 0) + count
    services = [merged[key] for key in sorted(merged)]
    return BurnReply(sum(reply.nodes for reply in replies), services)
