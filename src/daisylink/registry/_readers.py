"""Which nodes read the configuration itself, and when they publish it compressed.

If each node of a fleet of 86 read configurations of 130 KB that change ten times a
second, links of 2.5 Mbit/s could not carry them. So only some nodes, the readers, read
the configuration; one of them writes it back to the store in compressed form, and the
other nodes read that. A small fleet is better off without the second write.

If all readers end at once, nobody would read the configuration until their leases have
run out, so a few other nodes, the standbys, then take their place.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from math import ceil
from typing import NamedTuple

from daisylink.registry._apply_budget import ApplyBudget
from daisylink.registry._store import NO_REVISION, StoreRevision
from daisylink.serving._records import MemberRecord, compute_ring_position


class ReaderSettings(NamedTuple):
    """Selection of the nodes that read the configuration itself.

    :param max_small_fleet: number of nodes up to which every node is a reader.
    :param max_readers: readers of the fleet, as far as each zone has its share. If 60 %
        of all nodes are killed at once, all twelve are among them with a probability of
        0.002. Each of them makes a call to the store for each batch of changes.
    :param max_readers_per_zone: readers of each availability zone.
    :param min_readers_per_zone: the same, however many zones there are, so that one may
        end.
    :param min_readers: readers of the fleet even if their links are narrow. One would
        be enough, but a reader shares its link with the nodes that ask it.
    :param narrow_link_ratio: a link is narrow below this share of the widest one.
    :param max_standbys: nodes that read the configuration while they find no reader
        that answers.
    """

    max_small_fleet: int = 16
    max_readers: int = 12
    max_readers_per_zone: int = 3
    min_readers_per_zone: int = 2
    min_readers: int = 4
    narrow_link_ratio: float = 0.25
    max_standbys: int = 4


def rank_readers(
    records: Mapping[str, MemberRecord], settings: ReaderSettings, fleet_size: int = 0
) -> list[str]:
    """Return the nodes that read the configuration itself, in publishing order.

    Nodes with wide links come first. Two nodes that know different members may return
    different readers; then there are a few readers more or fewer.

    :param records: records of the running nodes, by node.
    :param fleet_size: number of known nodes, if some of them may not be running.
    """
    if max(len(records), fleet_size) <= settings.max_small_fleet:
        return list(records)
    members = _sort(records.values())
    min_wide_mbps = members[0].link_mbps * settings.narrow_link_ratio
    max_per_zone = _count_readers_per_zone(records, settings)
    zones: Counter[str] = Counter()
    readers: list[str] = []
    for record in members:
        is_narrow = record.link_mbps < min_wide_mbps
        if zones[record.zone] >= max_per_zone:
            continue
        if is_narrow and len(readers) >= settings.min_readers:
            break
        zones[record.zone] += 1
        readers.append(record.node)
    return readers


def rank_standbys(
    records: Mapping[str, MemberRecord],
    readers: Collection[str],
    settings: ReaderSettings,
) -> list[str]:
    """Return the nodes that take the readers' place if none answers, in order.

    They come from as many zones as there are.

    :param records: records of the running nodes, by node.
    """
    max_per_zone = ceil(settings.max_standbys / len({r.zone for r in records.values()}))
    zones: Counter[str] = Counter()
    standbys: list[str] = []
    for record in _sort(records.values()):
        if record.node in readers or zones[record.zone] >= max_per_zone:
            continue
        zones[record.zone] += 1
        standbys.append(record.node)
    return standbys[: settings.max_standbys]


def _count_readers_per_zone(
    records: Mapping[str, MemberRecord], settings: ReaderSettings
) -> int:
    zones = len({record.zone for record in records.values()})
    share = max(settings.min_readers_per_zone, ceil(settings.max_readers / zones))
    return min(settings.max_readers_per_zone, share)


def _sort(records: Iterable[MemberRecord]) -> list[MemberRecord]:
    return sorted(
        records,
        key=lambda record: (-record.link_mbps, compute_ring_position(record.node)),
    )


@dataclass(frozen=True)
class Publish:
    """A call that writes a compressed version to the store.

    :param number: version number.
    :param document: the configuration as it was read, uncompressed.
    :param revision: last known revision of the key, with number 0 if it does not exist.
    """

    number: int
    document: bytes
    revision: StoreRevision


class PublisherSettings(NamedTuple):
    """Delays of a :class:`Publisher`.

    :param rank_delay: how much longer each reader waits than the one ranked before it,
        enough for the earlier reader's write to arrive with the next watch.
    :param max_rank_delay: longest such wait; if the first readers have ended, the rest
        publish at once, and the store accepts one of them.
    :param min_interval: minimum time between two published versions. At 20 KB each they
        take a quarter of a link of 2.5 Mbit/s. Versions in between are skipped.
    """

    rank_delay: timedelta = timedelta(milliseconds=400)
    max_rank_delay: timedelta = timedelta(milliseconds=1200)
    min_interval: timedelta = timedelta(milliseconds=300)

    @classmethod
    def from_budget(cls, budget: ApplyBudget) -> "PublisherSettings":
        """Return the settings that keep the operator's bound."""
        return cls(budget.rank_delay, budget.max_rank_delay)


class Publisher:
    """Decides when this node publishes a version that it has read."""

    def __init__(self, settings: PublisherSettings):
        self.rank_delay_seconds = settings.rank_delay.total_seconds()
        self.max_rank_delay_seconds = settings.max_rank_delay.total_seconds()
        self.min_interval_seconds = settings.min_interval.total_seconds()
        self.read_number = 0
        self.document = b""
        self.read_at = 0.0
        self.published_number = 0
        self.published_at = float("-inf")
        self.revision = NO_REVISION
        self.pending: Publish | None = None
        # Revision of the key that the store no longer has: another node wrote it.
        self.refused_revision: StoreRevision | None = None

    def handle_version(self, number: int, document: bytes, now: float) -> None:
        """Handle a version that was read.

        The delay runs from the first version that is not published yet.
        """
        if self.read_number <= self.published_number:
            self.read_at = now
        self.read_number = number
        self.document = document

    def record_published(
        self, number: int, revision: StoreRevision, now: float
    ) -> None:
        """Record which compressed version the store holds, whoever wrote it.

        After the store has come back from an older copy, that may be an older one.

        :param number: version number, 0 for a value that cannot be read.
        """
        if revision < self.revision:
            return
        self.revision = revision
        self.published_at = now
        self.published_number = number

    def record_deleted(self, revision: StoreRevision) -> None:
        """Record that the store holds no compressed version any more."""
        if revision < self.revision:
            return
        self.revision = revision._replace(number=0)
        self.published_number = 0

    def wake_at(self, rank: int | None) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds.

        :param rank: rank among the readers, None if this node is not a reader.
        """
        if rank is None or self.pending or self.read_number <= self.published_number:
            return float("inf")
        if self.revision == self.refused_revision:
            return float("inf")
        rank_delay = rank * self.rank_delay_seconds
        due = self.read_at + min(rank_delay, self.max_rank_delay_seconds)
        return max(due, self.published_at + self.min_interval_seconds)

    def tick(self, rank: int | None, now: float) -> Publish | None:
        """Return the call to make now, if any."""
        if now < self.wake_at(rank):
            return None
        self.pending = Publish(self.read_number, self.document, self.revision)
        return self.pending

    def handle_success(self, revision: StoreRevision, now: float) -> None:
        """Handle the success of the pending call."""
        call, self.pending = self.pending, None
        self.record_published(call.number, revision, now)

    def handle_conflict(self) -> None:
        """Handle an earlier write by another node.

        Nothing is published until the watch tells what the store holds now.
        """
        self.refused_revision, self.pending = self.pending.revision, None

    def handle_failure(self, now: float) -> None:
        """Handle the failure of the pending call.

        The call is repeated if the store still holds an older version after the
        minimum interval.
        """
        self.pending = None
        self.published_at = now
