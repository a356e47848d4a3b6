"""Servers that one request was offered to, and what became of the offers."""

from collections.abc import Set as AbstractSet
from typing import Any


class SlotSearch:
    """The search of one request for a backend server with a free slot.

    :param may_ask: whether a server may decline the request, which is then sent to
        another one.
    """

    def __init__(self, may_ask: bool):
        self.may_ask = may_ask
        self.is_new = True
        # The :class:`~daisylink.rollout.Side` of the next attempt.
        self.side: Any = None
        self.tried: set[str] = set()
        self.declined: dict[str, Any] = {}

    @property
    def excluded(self) -> AbstractSet[str]:
        """Return the nodes that were tried or have declined."""
        return self.tried | self.declined.keys()

    def record_declined(self, record: Any) -> None:
        """Record that no slot was free at a node's server.

        :param record: the node's :class:`~daisylink.serving.MemberRecord`.
        """
        self.declined[record.node] = record

    def record_tried(self, node: str) -> None:
        """Record that the request is not sent to a node again."""
        self.tried.add(node)
        self.declined.pop(node, None)
