"""What a node does when the store comes back from an older copy, in a new era."""

from collections.abc import Callable
from datetime import timedelta

from daisylink.logs import get_logger
from daisylink.registry import DepartureLog, EraTracker, MemberTable, Registration

# A lease and a record.
WRITES_PER_NODE = 2
# Share of the store's writes that the fleet uses for this.
WRITE_SHARE = 0.5
# Records have to be back within two seconds of the store's return.
MAX_SPREAD_SECONDS = 1.2
# How long processes that start are told that the store may have lost something: longer
# than a process that was killed meanwhile takes to start.
RECENT_SECONDS = 10.0
MS_PER_SECOND = 1000

log = get_logger("store")


class EraRecovery:
    """Writes again what the store may have lost, spread over the nodes.

    Until the fleet has settled, members whose records are missing or outdated stay.

    :param writes_per_s: writes per second that the store takes from all nodes.
    :param now: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        era_tracker: EraTracker,
        registration: Registration,
        departure_log: DepartureLog,
        members: MemberTable,
        writes_per_s: float,
        now: Callable[[], float],
    ):
        self.era_tracker = era_tracker
        self.registration = registration
        self.departure_log = departure_log
        self.members = members
        self.writes_per_s = writes_per_s
        self.now = now
        self.rose_at = float("-inf")
        self.began_at = float("-inf")
        self.settles_at = float("inf")
        self.is_settling = False
        self.is_written = True

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds."""
        return self.settles_at if self.is_settling else float("inf")

    @property
    def is_recent(self) -> bool:
        """Return whether the era has risen in the last seconds."""
        return self.now() < self.rose_at + RECENT_SECONDS

    def begin(self, previous: int) -> None:
        """Begin to write again what this node keeps in the store.

        :param previous: the era before.
        """
        spread = timedelta(seconds=self._spread_seconds())
        log.bind(
            era=self.era_tracker.current,
            previous=previous,
            spread_ms=round(spread.total_seconds() * MS_PER_SECOND),
            departures=len(self.departure_log.departures),
        ).warning("store came back from an older copy")
        self.registration.begin_era(self.now(), spread)
        self.departure_log.begin_era()
        self.is_written = False
        self.rose_at = self.now()
        self.settle()

    def settle(self) -> None:
        """Wait until all nodes that are alive have written their records again."""
        self.began_at = self.now()
        self.settles_at = self.began_at + self.members.rewrite_seconds
        self.is_settling = True

    def tick(self, now: float) -> bool:
        """Log that everything is written; return whether the fleet has just settled."""
        if not self.is_written and self._has_written():
            self.is_written = True
            log.bind(
                era=self.era_tracker.current,
                ms=round((now - self.began_at) * MS_PER_SECOND),
                departures=len(self.departure_log.departures),
            ).info("record and departures written again")
        if not self.is_settling or now < self.settles_at:
            return False
        self.is_settling = False
        return True

    def _has_written(self) -> bool:
        return self.registration.is_written and self.departure_log.is_complete

    def _spread_seconds(self) -> float:
        writes = WRITES_PER_NODE * len(self.members.records)
        return min(MAX_SPREAD_SECONDS, writes / (self.writes_per_s * WRITE_SHARE))
