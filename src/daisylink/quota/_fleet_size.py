"""The number of nodes that share each quota.

It is designed for a zone that is cut off: its records disappear from the store while
its nodes go on with their shares, which the other nodes must not use too. A node that
disappeared without leaving is therefore counted for minutes.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from daisylink.quota._loan import CLOCK_MARGIN_SECONDS, LEASE_SECONDS

FLEET_SIZE_KEY = "daisylink/fleet-size"
# A zone that is cut off for longer may exceed its quotas by the share of its nodes.
LOST_NODE_SECONDS = 600.0
# A node that left has no requests any more after this time.
LEFT_NODE_SECONDS = 5.0
# The stored size is written again if it is wrong by more than this share.
WRITE_RATIO = 0.05
WRITE_INTERVAL_SECONDS = 5.0
# A starting node that makes the fleet larger uses its share once the others know it,
# or after this time, within which they must.
START_SECONDS = 2.5


class WriteFleetSize(NamedTuple):
    """Write the size, if the key is unchanged.

    :param revision: revision that was read, None if there was no value.
    """

    value: bytes
    revision: Any


class FleetSize:
    """Counts the nodes that may use a share.

    :param started_at: when the process started, in monotonic seconds.
    """

    def __init__(self, started_at: float):
        self.started_at = started_at
        self.stored = 0
        self.revision: Any = None
        # When each node is no longer counted; infinity for members.
        self.nodes: dict[str, float] = {}
        self.current: frozenset[str] = frozenset()
        self.left: set[str] = set()
        # Nodes that the store's size counts and that were never seen here.
        self.unseen = 0
        self.is_started = False
        self.next_write_at = float("-inf")
        self.is_write_pending = False

    @property
    def size(self) -> int:
        """Return the number of nodes that share each quota."""
        return max(self.stored, len(self.nodes), 1)

    def set_members(self, members: Iterable[str], now: float) -> None:
        """Record the nodes that are members now."""
        current = frozenset(members)
        new = current - self.nodes.keys()
        self.unseen = max(0, self.unseen - len(new))
        for node in self.current - current:
            hold = LEFT_NODE_SECONDS if node in self.left else LOST_NODE_SECONDS
            self.nodes[node] = now + hold
        for node in current:
            self.nodes[node] = float("inf")
        self.left -= current
        self.current = current

    def record_left(self, node: str) -> None:
        """Record that a node left; it uses its share no longer."""
        self.left.add(node)

    def handle_stored(self, value: bytes | None, revision: Any) -> None:
        """Handle the size on the store.

        :param value: None if the store holds none.
        """
        self.revision = revision if value is not None else None
        size = 0
        if value is not None:
            try:
                size = msgspec.json.decode(value, type=int)
            except msgspec.MsgspecError:
                size = 0
        is_first = not self.stored
        self.stored = max(0, size)
        if is_first:
            self.unseen = max(0, self.stored - len(self.nodes))

    def find_share_size(self, now: float) -> int:
        """Return the size for this node's share, 0 while it may not use one."""
        if not self.is_started:
            is_known = 0 < len(self.current) <= self.stored
            self.is_started = is_known or now >= self.started_at + START_SECONDS
        return self.size if self.is_started else 0

    def may_use_lent_part(self, now: float) -> bool:
        """Return whether the part of the share that is lent to others is free here.

        A former process at this address may have lent it until its lease ends. The new
        process lends it at once: the same coordinator counts it once.
        """
        return now >= self.started_at + LEASE_SECONDS + CLOCK_MARGIN_SECONDS

    def tick(self, now: float, is_writer: bool) -> WriteFleetSize | None:
        """Return a write that is due.

        :param is_writer: whether this node is the one that writes.
        """
        for node, until in list(self.nodes.items()):
            if now >= until:
                del self.nodes[node]
                self.left.discard(node)
        if now >= self.started_at + LOST_NODE_SECONDS:
            self.unseen = 0
        if self.is_write_pending or not is_writer or now < self.next_write_at:
            return None
        if not self.is_started or not self.nodes:
            return None
        wanted = len(self.nodes) + self.unseen
        if abs(wanted - self.stored) <= self.stored * WRITE_RATIO:
            return None
        self.is_write_pending = True
        self.next_write_at = now + WRITE_INTERVAL_SECONDS
        return WriteFleetSize(msgspec.json.encode(wanted), self.revision)

    def handle_written(self) -> None:
        """Handle the end of a write; the key itself comes by the change feed."""
        self.is_write_pending = False
