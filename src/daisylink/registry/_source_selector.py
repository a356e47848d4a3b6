"""Whom a node that is no reader asks for changes: a reader, or the store itself.

The load it answers: 86 nodes that each watch the store make some fifty calls a minute
each, which are priced and limited; readers answer the same without the store.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from daisylink.serving._records import MemberRecord, compute_ring_position


class SourceSelectorSettings(NamedTuple):
    """Times of the choice.

    :param reader_backoff: how long the store is asked after a reader did not answer;
        longer than the lease of a reader that has gone.
    """

    reader_backoff: timedelta = timedelta(seconds=5)


class SourceSelector:
    """The readers that a node may ask.

    :param node: name of this node.
    :param zone: availability zone of this node, whose readers go first.
    """

    def __init__(self, settings: SourceSelectorSettings, node: str, zone: str):
        self.reader_backoff_seconds = settings.reader_backoff.total_seconds()
        self.node = node
        self.zone = zone
        self.readers: list[str] = []
        self.use_store_until = float("-inf")

    def set_readers(self, readers: Iterable[MemberRecord]) -> None:
        """Set the nodes that read; each node of a zone has an order of its own."""
        ordered = sorted(
            readers,
            key=lambda record: (
                record.zone != self.zone,
                compute_ring_position(self.node + record.node),
            ),
        )
        self.readers = [record.node for record in ordered]

    def choose(self, now: float) -> str | None:
        """Return the reader to ask, None for the store."""
        if now < self.use_store_until or not self.readers:
            return None
        return self.readers[0]

    def record_failure(self, now: float) -> None:
        """Note that a reader did not answer: the store is sure to know more."""
        self.use_store_until = now + self.reader_backoff_seconds
