"""Which nodes read the configuration itself, and when they publish it in brief.

The load it answers: a fleet of 86 nodes, each told of a configuration of 130 KB by the
store, while configurations come ten times a second and links carry 2.5 Mbit/s. Only
some nodes read it; one of them writes it to the store once more, compressed, and the
others read that. A small fleet is better off without the second write.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.serving._records import MemberRecord, compute_ring_position


class ReaderSettings(NamedTuple):
    """Who reads the configuration itself.

    :param max_small_fleet: nodes of a fleet in which every node does.
    :param max_readers_per_zone: nodes of each zone that do; with 0.6 of all nodes
        killed at once, all twelve of four zones are among them twice in a thousand
        times.
    :param min_readers: nodes of the fleet that do although their links are narrow: one
        would be enough, a reader and those that ask it share its link.
    :param narrow_link_ratio: a narrow link is under this share of the widest one.
    """

    max_small_fleet: int = 16
    max_readers_per_zone: int = 3
    min_readers: int = 4
    narrow_link_ratio: float = 0.25


def rank_readers(
    records: Mapping[str, MemberRecord], settings: ReaderSettings
) -> list[str]:
    """Return the nodes that read the configuration itself, the first to publish first.

    Nodes with wide links go first. Nodes that do not know the same members may differ;
    then a node more or less reads.

    :param records: the nodes that are known to run, by name.
    """
    if len(records) <= settings.max_small_fleet:
        return list(records)
    members = _sort(records.values())
    min_wide_mbps = members[0].link_mbps * settings.narrow_link_ratio
    zones: Counter[str] = Counter()
    readers: list[str] = []
    for record in members:
        is_narrow = record.link_mbps < min_wide_mbps
        if zones[record.zone] >= settings.max_readers_per_zone:
            continue
        if is_narrow and len(readers) >= settings.min_readers:
            break
        zones[record.zone] += 1
        readers.append(record.node)
    return readers


def _sort(records: Iterable[MemberRecord]) -> list[MemberRecord]:
    return sorted(
        records,
        key=lambda record: (-record.link_mbps, compute_ring_position(record.node)),
    )


@dataclass(frozen=True)
class Publish:
    """Call: write a version to the store in brief.

    :param number: number of the version.
    :param revision: revision of the key as it is known, 0 if it does not exist.
    """

    number: int
    document: bytes
    revision: int


class PublisherSettings(NamedTuple):
    """Times of a publisher.

    :param rank_delay: how much longer each reader waits than the one before it: enough
        for word of the first one's write to come back by the next watch.
    :param min_interval: least time between two versions; at 20 KB each, a quarter of a
        link of 2.5 Mbit/s. What came in between is left out.
    """

    rank_delay: timedelta = timedelta(milliseconds=400)
    min_interval: timedelta = timedelta(milliseconds=300)


class Publisher:
    """Decides when this node publishes the version that it read."""

    def __init__(self, settings: PublisherSettings):
        self.rank_delay_seconds = settings.rank_delay.total_seconds()
        self.min_interval_seconds = settings.min_interval.total_seconds()
        self.read_number = 0
        self.document = b""
        self.read_at = 0.0
        self.published_number = 0
        self.published_at = float("-inf")
        self.revision = 0
        self.pending: Publish | None = None

    def handle_version(self, number: int, document: bytes, now: float) -> None:
        """Take a version that was read; it waits since the first unpublished one."""
        if self.read_number <= self.published_number:
            self.read_at = now
        self.read_number = number
        self.document = document

    def record_published(self, number: int, revision: int, now: float) -> None:
        """Note what the store holds in brief, whoever wrote it."""
        self.revision = revision
        self.published_at = now
        self.published_number = max(self.published_number, number)

    def wake_at(self, rank: int | None) -> float:
        """Return when :meth:`tick` is due.

        :param rank: place among the readers, None if this node is none of them.
        """
        if rank is None or self.pending or self.read_number <= self.published_number:
            return float("inf")
        due = self.read_at + rank * self.rank_delay_seconds
        return max(due, self.published_at + self.min_interval_seconds)

    def tick(self, rank: int | None, now: float) -> Publish | None:
        """Return the call to make now, if any."""
        if now < self.wake_at(rank):
            return None
        self.pending = Publish(self.read_number, self.document, self.revision)
        return self.pending

    def handle_success(self, revision: int, now: float) -> None:
        """Note that the call under way succeeded."""
        call, self.pending = self.pending, None
        self.record_published(call.number, revision, now)

    def handle_failure(self, now: float) -> None:
        """Note that the call under way failed, or that another node was first.

        It is made again if the store still holds an older version after the interval.
        """
        self.pending = None
        self.published_at = now
