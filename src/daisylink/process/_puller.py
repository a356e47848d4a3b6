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

    :param max_jitter: a pull for a gap waits up to this long, in case a push comes.
    :param min_directory_interval: least time between two comparisons of directories.
    :param base_retry_delay: first delay after a failure; doubles with full jitter.
    :param max_retry_delay: longest delay after failures.
    :param timeout: longest wait for an answer.
    """

    max_jitter: timedelta = timedelta(milliseconds=200)
    min_directory_interval: timedelta = timedelta(seconds=4)
    base_retry_delay: timedelta = timedelta(milliseconds=200)
    max_retry_delay: timedelta = timedelta(seconds=5)
    timeout: timedelta = timedelta(seconds=5)


class SyncState(NamedTuple):
    """What this node holds: numbers of version and keeper map, directory digests."""

    number: int
    replica_map_number: int
    buckets: tuple[int, ...]


class Puller:
    """Decides when to pull and from whom.

    :param own_node: name of the own node.
    """

    def __init__(self, settings: PullSettings, own_node: str, rng: random.Random):
        self.max_jitter = settings.max_jitter.total_seconds()
        self.min_directory_interval = settings.min_directory_interval.total_seconds()
        self.base_retry_delay = settings.base_retry_delay.total_seconds()
        self.max_retry_delay = settings.max_retry_delay.total_seconds()
        self.timeout = settings.timeout.total_seconds()
        self.own_node = own_node
        self.rng = rng
        self.sources: list[str] = []
        self.due = float("inf")
        self.in_flight: str | None = None
        self.sent_at = 0.0
        self.wanted_number = 0
        self.wanted_replica_map = 0
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
        self.due = min(self.due, now + self.rng.uniform(0, self.max_jitter))

    def schedule_version_now(self, source: str, number: int, now: float) -> None:
        """Note that a node holds a newer version that no push will bring."""
        self.wanted_number = max(self.wanted_number, number)
        self._add_source(source)
        self.due = now

    def schedule_replica_map(self, source: str, number: int, now: float) -> None:
        """Note that a node holds a newer keeper map, which a push may yet bring."""
        self.wanted_replica_map = max(self.wanted_replica_map, number)
        self._add_source(source)
        self.due = min(self.due, now + self.rng.uniform(0, self.max_jitter))

    def schedule_directory(self, source: str, now: float) -> None:
        """Note that a node's directory differs."""
        if now - self.directory_at < self.min_directory_interval:
            return
        self.wants_directory = True
        self._add_source(source)
        self.due = min(self.due, now + self.rng.uniform(0, self.max_jitter))

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
        lacks_replica_map = held.replica_map_number < self.wanted_replica_map
        if not (lacks_number or lacks_replica_map or self.wants_directory):
            self._drop_sources()
        if not self.sources:
            return []
        source = self.sources.pop()
        self.in_flight = source
        self.sent_at = now
        self.due = float("inf")
        asked = held.buckets if self.wants_directory else ()
        request = PullRequest(
            self.own_node, held.number, asked, held.replica_map_number
        )
        return [Pull(source, request)]

    def handle_reply(self, address: str, reply: PullReply, now: float) -> None:
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
            self.due = min(self.due, now + self.rng.uniform(0, self.max_jitter))

    def handle_failure(self, address: str, now: float) -> None:
        """Note that a node did not answer; the next source is tried after a delay."""
        if address == self.in_flight:
            self.in_flight = None
        self.failures += 1
        max_delay = min(self.max_retry_delay, self.base_retry_delay * 2**self.failures)
        self.due = now + self.rng.uniform(0, max_delay)

    def _drop_sources(self) -> None:
        """Forget the sources: nothing is lacking any more."""
        self.sources.clear()
        self.due = float("inf")

    def _add_source(self, source: str) -> None:
        if source == self.own_node:
            return
        if source in self.sources:
            self.sources.remove(source)
        self.sources.append(source)
        del self.sources[:-MAX_SOURCES]
