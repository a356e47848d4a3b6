"""Pulls missing data from other nodes, one pull at a time."""

import random
from datetime import timedelta
from typing import NamedTuple

from daisylink.process._events import Pull
from daisylink.process._messages import PullReply, PullRequest

MAX_SOURCES = 16
MS_PER_SECOND = 1000


class PullSettings(NamedTuple):
    """Delays and intervals of pulls.

    :param max_jitter: maximum random delay of a pull, in which a push may arrive.
    :param min_directory_interval: minimum time between two comparisons of
        directories.
    :param base_retry_delay: base of the maximum delay after a failure, doubled with
        each one; the delay is random from 0 to the maximum (full jitter).
    :param max_retry_delay: upper bound of that maximum.
    :param timeout: maximum wait for a reply.
    """

    max_jitter: timedelta = timedelta(milliseconds=200)
    min_directory_interval: timedelta = timedelta(seconds=4)
    base_retry_delay: timedelta = timedelta(milliseconds=200)
    max_retry_delay: timedelta = timedelta(seconds=5)
    timeout: timedelta = timedelta(seconds=5)


class SyncState(NamedTuple):
    """What the node holds, as reported in a pull request.

    :param number: number of the version in force, 0 for none.
    :param replica_map_number: number of the replica map.
    :param buckets: directory digest by bucket.
    """

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
        self.needed_version = 0
        self.needed_replica_map = 0
        self.needs_directory = False
        self.directory_at = float("-inf")
        self.failures = 0

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due next."""
        if self.in_flight is not None:
            return self.sent_at + self.timeout
        return self.due if self.sources else float("inf")

    def schedule_version(self, source: str, number: int, now: float) -> None:
        """Schedule a pull of a newer version, delayed in case a push brings it."""
        self.needed_version = max(self.needed_version, number)
        self._add_source(source)
        self.due = min(self.due, now + self.rng.uniform(0, self.max_jitter))

    def schedule_version_now(self, source: str, number: int, now: float) -> None:
        """Schedule an immediate pull of a version that no push will bring."""
        self.needed_version = max(self.needed_version, number)
        self._add_source(source)
        self.due = now

    def schedule_replica_map(self, source: str, number: int, now: float) -> None:
        """Schedule a pull of a newer replica map, delayed in case a push brings it."""
        self.needed_replica_map = max(self.needed_replica_map, number)
        self._add_source(source)
        self.due = min(self.due, now + self.rng.uniform(0, self.max_jitter))

    def schedule_directory(self, source: str, now: float) -> None:
        """Schedule a pull from a node whose directory differs."""
        if now - self.directory_at < self.min_directory_interval:
            return
        self.needs_directory = True
        self._add_source(source)
        self.due = min(self.due, now + self.rng.uniform(0, self.max_jitter))

    def join(self, source: str, now: float) -> None:
        """Schedule an immediate pull of everything that a node holds."""
        self.needs_directory = True
        self._add_source(source)
        self.due = min(self.due, now)

    def tick(self, now: float, state: SyncState) -> list[Pull]:
        """Return the pull that is due, if any."""
        if self.in_flight is not None and now >= self.sent_at + self.timeout:
            self.handle_failure(self.in_flight, now)
        if self.in_flight is not None or now < self.due:
            return []
        lacks_version = state.number < self.needed_version
        lacks_replica_map = state.replica_map_number < self.needed_replica_map
        if not (lacks_version or lacks_replica_map or self.needs_directory):
            self._drop_sources()
        if not self.sources:
            return []
        source = self.sources.pop()
        self.in_flight = source
        self.sent_at = now
        self.due = float("inf")
        requested = state.buckets if self.needs_directory else ()
        request = PullRequest(
            self.own_node, state.number, requested, state.replica_map_number
        )
        return [Pull(source, request)]

    def handle_reply(self, address: str, reply: PullReply, now: float) -> None:
        """Handle a reply, which may only ask to try again after a delay."""
        if address == self.in_flight:
            self.in_flight = None
        if reply.retry_ms:
            self._add_source(address)
            for alternate in reply.alternates:
                self._add_source(alternate)
            self.due = now + reply.retry_ms / MS_PER_SECOND
            return
        self.failures = 0
        if self.needs_directory:
            self.needs_directory = False
            self.directory_at = now
        if self.sources:
            self.due = min(self.due, now + self.rng.uniform(0, self.max_jitter))

    def handle_failure(self, address: str, now: float) -> None:
        """Handle a failed pull; the next source is tried after a delay."""
        if address == self.in_flight:
            self.in_flight = None
        self.failures += 1
        max_delay = min(self.max_retry_delay, self.base_retry_delay * 2**self.failures)
        self.due = now + self.rng.uniform(0, max_delay)

    def _drop_sources(self) -> None:
        """Remove all sources, because no data is missing any more."""
        self.sources.clear()
        self.due = float("inf")

    def _add_source(self, source: str) -> None:
        if source == self.own_node:
            return
        if source in self.sources:
            self.sources.remove(source)
        self.sources.append(source)
        del self.sources[:-MAX_SOURCES]
