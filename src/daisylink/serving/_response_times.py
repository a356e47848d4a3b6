"""Estimates how soon a backend server would answer a request, from what nodes report.

It is designed for servers of unequal speed, some slowed or just started, whose slots
are shared by many nodes that do not know of each other's requests. A report says how
long the server takes for one kind of request, so a server that happens to run long
requests does not look slow.
"""

from collections import Counter
from collections.abc import Iterable

from daisylink.serving._records import MemberRecord
from daisylink.serving._slowness import Slowness

LOAD_LIFETIME_SECONDS = 1.0
# A server that nobody used for so long counts as an average one and is tried again.
SPEED_LIFETIME_SECONDS = 10.0
MEAN_WEIGHT = 0.1
MAX_KINDS = 200
# Service time in seconds of a server of which nothing is known.
DEFAULT_SERVICE_SECONDS = 0.1


class ServiceTime:
    """How long a server takes for a kind of request.

    :param seconds: as its node reported it.
    :param at: when the report arrived, in seconds of the monotonic clock.
    """

    __slots__ = ("at", "seconds")

    def __init__(self, seconds: float, at: float):
        self.seconds = seconds
        self.at = at


class NodeReport:
    """The last report of a node.

    :param load: running and queued requests per slot.
    :param at: when the report arrived, in seconds of the monotonic clock.
    :param in_flight: requests of this node that were in flight there at that time.
    :param slowness: what the node has told of its machine's slowness, None for nothing.
    :param is_cold: whether its server says that it is still slow after its start.
    :param limit: requests that its server is given at once, 0 for its slots.
    """

    __slots__ = (
        "at",
        "in_flight",
        "is_cold",
        "limit",
        "load",
        "mean_seconds",
        "service_times",
        "slowness",
    )

    def __init__(self):
        self.load = 0.0
        self.at = float("-inf")
        self.in_flight = 0
        self.mean_seconds = 0.0
        self.service_times: dict[str, ServiceTime] = {}
        self.slowness: Slowness | None = None
        self.is_cold = False
        self.limit = 0


class ResponseTimes:
    """Reports of all nodes and the response times to expect."""

    def __init__(self):
        self.in_flight: Counter[str] = Counter()
        self.reports: dict[str, NodeReport] = {}
        self.usual_seconds: dict[str, float] = {}

    def record_report(
        self, node: str, load: float, now: float, seconds: float, kind: str
    ) -> None:
        """Record what a node reported with a response.

        :param load: running and queued requests per slot.
        :param now: seconds of the monotonic clock.
        :param seconds: usual service time of a kind of request, 0 if unknown.
        """
        report = self.reports.setdefault(node, NodeReport())
        report.load = load
        report.at = now
        report.in_flight = self.in_flight.get(node, 0)
        if seconds <= 0:
            return
        report.mean_seconds = _update_mean(report.mean_seconds, seconds)
        if len(self.usual_seconds) >= MAX_KINDS:
            self.usual_seconds.clear()
        if not report.is_cold or kind not in self.usual_seconds:
            usual = self.usual_seconds.get(kind, 0.0)
            self.usual_seconds[kind] = _update_mean(usual, seconds)
        if len(report.service_times) >= MAX_KINDS:
            report.service_times.clear()
        report.service_times[kind] = ServiceTime(seconds, now)

    def record_pace(self, node: str, is_cold: bool = False, limit: int = 0) -> None:
        """Record the pace of a node's server, which its next report relies on.

        :param is_cold: whether it says that it is still slow after its start.
        :param limit: requests that it is given at once, 0 for its slots.
        """
        report = self.reports.setdefault(node, NodeReport())
        report.is_cold = is_cold
        report.limit = limit

    def record_slowness(self, node: str, slowness: float, at: float) -> None:
        """Record how slow a node's machine is.

        :param slowness: relative to its usual time.
        :param at: when its server stated it, in seconds of the monotonic clock.
        """
        report = self.reports.setdefault(node, NodeReport())
        if report.slowness is None:
            report.slowness = Slowness()
        if at >= report.slowness.at:
            report.slowness.record(slowness, at)

    def forget(self, node: str) -> None:
        """Forget the report of a node that is no longer a member."""
        self.reports.pop(node, None)

    def get_mean_seconds(self, nodes: Iterable[str]) -> dict[str, float]:
        """Return the mean service time of those nodes that have reported one."""
        return {
            node: self.reports[node].mean_seconds
            for node in nodes
            if node in self.reports
        }

    def estimate_load(self, record: MemberRecord, slots: int, now: float) -> float:
        """Return the running and queued requests per slot of a node.

        A report is corrected by what this node sent and got back since. Its weight
        falls to zero over :data:`LOAD_LIFETIME_SECONDS`.

        :param slots: slots of a server whose record states none.
        """
        report = self.reports.get(record.node)
        slots = _count_slots(record, slots, report)
        in_flight = self.in_flight.get(record.node, 0)
        if report is None:
            return in_flight / slots
        freshness = max(0.0, 1 - (now - report.at) / LOAD_LIFETIME_SECONDS)
        changed = max(0.0, report.load + (in_flight - report.in_flight) / slots)
        return max(in_flight / slots, changed * freshness)

    def estimate_seconds(
        self, record: MemberRecord, kind: str, slots: int, now: float
    ) -> float:
        """Return the expected wait and service time of a request at a node."""
        service = self._estimate_service(record.node, kind, now)
        report = self.reports.get(record.node)
        slots = _count_slots(record, slots, report)
        excess = self.estimate_load(record, slots, now) + 1 / slots - 1
        if excess > 0:
            mean = (report.mean_seconds if report is not None else 0.0) or service
            service += excess * mean
        if report is None or report.slowness is None:
            return service
        return report.slowness.expect_seconds(service, now)

    def _estimate_service(self, node: str, kind: str, now: float) -> float:
        usual = self.usual_seconds.get(kind, DEFAULT_SERVICE_SECONDS)
        report = self.reports.get(node)
        known = report.service_times.get(kind) if report is not None else None
        if known is None:
            return usual
        freshness = max(0.0, 1 - (now - known.at) / SPEED_LIFETIME_SECONDS)
        return usual + (known.seconds - usual) * freshness


def _count_slots(record: MemberRecord, slots: int, report: NodeReport | None) -> int:
    """Return the requests that a node's server runs at once, at least 1."""
    slots = max(1, record.slots or slots)
    return min(slots, report.limit) if report is not None and report.limit else slots


def _update_mean(mean: float, value: float) -> float:
    """Return a moving mean after one more value; the first value sets it."""
    return mean + MEAN_WEIGHT * (value - mean) if mean else value
