"""Pulls what this node lacks from others, one pull at a time."""

import random
from datetime import timedelta
from typing import NamedTuple

from daisylink.process._events import Pull
from daisylink.process._messages import PullReply, PullRequest

MAX_SOURCES = 16
MS_PER_SECOND = 1000


class PullSettings(NamedTuple):
    """Delays of pulls.

    :param spread: a pull for a gap waits up to this long, in case a push comes.
    :param directory_interval: least time between two comparisons of directories.
    :param retry_base: first delay after a failure; doubles with full jitter.
    :param retry_most: longest delay after failures.
    :param timeout: longest wait for an answer.
    """

    spread: timedelta = timedelta(milliseconds=200)
    directory_interval: timedelta = timedelta(seconds=4)
    retry_base: timedelta = timedelta(milliseconds=200)
    retry_most: timedelta = timedelta(seconds=5)
    timeout: timedelta = timedelta(seconds=5)


class SyncState(NamedTuple):
    """What this node holds: numbers of version and keeper map, directory digests."""

    number: int
    keepers: int
    buckets: tuple[int, ...]


class Puller:
    """Decides when to pull and from whom.

    :param own: name of the own node.
    """

    def __init__(self, settings: PullSettings, own: str, rng: random.Random):
        self.spread = settings.spread.total_seconds()
        self.directory_interval = settings.directory_interval.total_seconds()
        self.retry_base = settings.retry_base.total_seconds()
        self.retry_most = settings.retry_most.total_seconds()
        self.timeout = settings.timeout.total_seconds()
        self.own = own
        self.rng = rng
        self.sources: list[str] = []
        self.due = float("inf")
        self.in_flight: str | None = None
        self.sent_at = 0.0
        self.wanted_number = 0
        self.wanted_keepers = 0
        self.wants_directory = False
        self.directory_at = float("-inf")
        self.failures = 0

    @property
    def wake_at(self) -> float:
        """Return when something is due."""
        if self.in_flight is not None:
            return self.sent_at + self.timeout
        return self.due if self.sources else float("inf")

    def schedule_version(self, source: str, number: int, now: float) -> None:
        """Note that a node holds a newer version, which a push may yet bring."""
        self.wanted_number = max(self.wanted_number, number)
        self._add_source(source)
        self.due = min(self.due, now + self.rng.uniform(0, self.spread))

    def schedule_version_now(self, source: str, number: int, now: float) -> None:
        """Note that a node holds a newer version that no push will bring."""
        self.wanted_number = max(self.wanted_number, number)
        self._add_source(source)
        self.due = now

    def schedule_replica_map(self, source: str, number: int, now: float) -> None:
        """Note that a node holds a newer keeper map, which a push may yet bring."""
        self.wanted_keepers = max(self.wanted_keepers, number)
        self._add_source(source)
        self.due = min(self.due, now + self.rng.uniform(0, self.spread))

    def schedule_directory(self, source: str, now: float) -> None:
        """Note that a node's directory differs."""
        if now - self.directory_at < self.directory_interval:
            return
        self.wants_directory = True
        self._add_source(source)
        self.due = min(self.due, now + self.rng.uniform(0, self.spread))

    def join(self, source: str, now: float) -> None:
        """Ask a node for everything it holds."""
        self.wants_directory = True
        self._add_source(source)
        self.due = min(self.due, now)

    def tick(self, now: float, held: SyncState) -> list[Pull]:
        """Return the pull that is due, if any."""
        if self.in_flight is not None and now >= self.sent_at + self.timeout:
            self.handle_failure(self.in_flight, now)
        if self.in_flight is not None or now < self.due:
            return []
        lacks_number = held.number < self.wanted_number
        lacks_keepers = held.keepers < self.wanted_keepers
        if not (lacks_number or lacks_keepers or self.wants_directory):
            self._drop_sources()
        if not self.sources:
            return []
        source = self.sources.pop()
        self.in_flight = source
        self.sent_at = now
        self.due = float("inf")
        asked = held.buckets if self.wants_directory else ()
        request = PullRequest(self.own, held.number, asked, held.keepers)
        return [Pull(source, request)]

    def take_reply(self, address: str, reply: PullReply, now: float) -> None:
        """Note an answer, or the time to come back that it states."""
        if address == self.in_flight:
            self.in_flight = None
        if reply.retry_ms:
            self._add_source(address)
            for alternate in reply.alternates:
                self._add_source(alternate)
            self.due = now + reply.retry_ms / MS_PER_SECOND
            return
        self.failures = 0
        if self.wants_directory:
            self.wants_directory = False
            self.directory_at = now
        if self.sources:
            self.due = min(self.due, now + self.rng.uniform(0, self.spread))

    def handle_failure(self, address: str, now: float) -> None:
        """Note that a node did not answer; the next source is tried after a delay."""
        if address == self.in_flight:
            self.in_flight = None
        self.failures += 1
        most = min(self.retry_most, self.retry_base * 2**self.failures)
        self.due = now + self.rng.uniform(0, most)

    def _drop_sources(self) -> None:
        """Forget the sources: nothing is lacking any more."""
        self.sources.clear()
        self.due = float("inf")

    def _add_source(self, source: str) -> None:
        if source == self.own:
            return
        if source in self.sources:
            self.sources.remove(source)
        self.sources.append(source)
        del self.sources[:-MAX_SOURCES]
