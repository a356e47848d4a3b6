"""Where a node that is not a reader gets changes: from a reader or from the store.

In a fleet of 86 nodes, each node that watches the store makes about fifty calls a
minute, and the store's calls are priced and rate-limited. Readers return the same
changes without a call to the store.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from daisylink.serving._records import MemberRecord, compute_ring_position


class SourceSelectorSettings(NamedTuple):
    """Settings of a :class:`SourceSelector`.

    :param reader_backoff: how long a reader that failed to respond is not asked;
        longer than the lease of a reader that has ended.
    :param max_failed_readers: once so many readers have failed, the store is asked.
    """

    reader_backoff: timedelta = timedelta(seconds=5)
    max_failed_readers: int = 2


class SourceSelector:
    """The readers that a node may ask, in order of preference.

    :param node: name of this node.
    :param zone: availability zone of this node, whose readers come first.
    """

    def __init__(self, settings: SourceSelectorSettings, node: str, zone: str):
        self.reader_backoff_seconds = settings.reader_backoff.total_seconds()
        self.node = node
        self.zone = zone
        self.max_failed_readers = settings.max_failed_readers
        self.readers: list[str] = []
        self.avoided_until: dict[str, float] = {}
        self.use_store_until = float("-inf")

    def set_readers(self, readers: Iterable[MemberRecord]) -> None:
        """Set the readers, ordered differently on each node to distribute the load."""
        ordered = sorted(
            readers,
            key=lambda record: (
                record.zone != self.zone,
                compute_ring_position(self.node + record.node),
            ),
        )
        self.readers = [record.node for record in ordered]

    def choose(self, now: float) -> str | None:
        """Return the reader to ask, or None for the store."""
        if now < self.use_store_until:
            return None
        for reader in self.readers:
            if self.avoided_until.get(reader, now) <= now:
                return reader
        return None

    def uses_store(self, now: float) -> bool:
        """Return whether the store is asked because no reader that was asked served."""
        return bool(self.readers) and now < self.use_store_until

    def record_failure(self, reader: str, now: float) -> None:
        """Record that a reader failed; the next one is asked, or the store.

        When several have failed, all may be late: the store has all changes.
        """
        self.avoided_until[reader] = now + self.reader_backoff_seconds
        avoided = {
            name: until for name, until in self.avoided_until.items() if until > now
        }
        self.avoided_until = avoided
        if len(avoided) >= self.max_failed_readers:
            self.avoid_readers(now)

    def avoid_readers(self, now: float) -> None:
        """Ask the store for a while: the readers may be behind."""
        self.use_store_until = now + self.reader_backoff_seconds
