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

    :param reader_backoff: how long the store is asked after a reader failed to respond;
        longer than the lease of a reader that has ended.
    """

    reader_backoff: timedelta = timedelta(seconds=5)


class SourceSelector:
    """The readers that a node may ask, in order of preference.

    :param node: name of this node.
    :param zone: availability zone of this node, whose readers come first.
    """

    def __init__(self, settings: SourceSelectorSettings, node: str, zone: str):
        self.reader_backoff_seconds = settings.reader_backoff.total_seconds()
        self.node = node
        self.zone = zone
        self.readers: list[str] = []
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
        if now < self.use_store_until or not self.readers:
            return None
        return self.readers[0]

    def record_failure(self, now: float) -> None:
        """Record a failed reader; the store, which has all changes, is asked next."""
        self.use_store_until = now + self.reader_backoff_seconds
