"""Which nodes serve, according to their records and to their responses.

A record that disappears without the state ``LEFT`` may have expired because the store
was unavailable or its owner could not reach it. Its node stays a member for as long as
it responds, or until it has had time to write the record again. When many records are
missing at once, that says more about the store than about their nodes.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from daisylink.serving._records import MemberRecord, MemberState


class MemberSettings(NamedTuple):
    """Timeouts of the member table.

    :param rewrite_timeout: how long a node has to write an expired record again.
    :param response_window: a node with an expired record stays if it responded within
        this time.
    :param lapse_share: share of the records that are missing when the store, not their
        nodes, is the likely cause. Until each of them is back or dropped, all known
        members count as running.
    """

    rewrite_timeout: timedelta = timedelta(seconds=2.5)
    response_window: timedelta = timedelta(seconds=2)
    lapse_share: float = 0.1


class MemberTable:
    """Records of the known nodes, and which of them serve each pool.

    :param own_record: record of this node.
    :param last_response_at: returns when a node last responded, in monotonic seconds.
    """

    def __init__(
        self,
        settings: MemberSettings,
        own_record: MemberRecord,
        last_response_at: Callable[[str], float],
    ):
        self.rewrite_seconds = settings.rewrite_timeout.total_seconds()
        self.response_window_seconds = settings.response_window.total_seconds()
        self.own_record = own_record
        self.last_response_at = last_response_at
        self.records: dict[str, MemberRecord] = {own_record.node: own_record}
        self.expired: dict[str, float] = {}
        self.lapse_share = settings.lapse_share
        self.is_lapse = False
        self.pools: dict[str, dict[str, MemberRecord]] = {}

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds."""
        return min(self.expired.values(), default=float("inf"))

    def serving(self, pool: str) -> dict[str, MemberRecord]:
        """Return the records of the nodes that serve a pool, by node."""
        return self.pools.get(pool, {})

    def list_current(self) -> dict[str, MemberRecord]:
        """Return the records in the store, or all known ones during a lapse."""
        if self.is_lapse:
            return dict(self.records)
        return {
            node: record
            for node, record in self.records.items()
            if node not in self.expired
        }

    def set_own_record(self, record: MemberRecord) -> bool:
        """Set this node's record; return whether it changed."""
        if record == self.own_record:
            return False
        self.own_record = record
        self._put(record)
        return True

    def put(self, record: MemberRecord) -> bool:
        """Store the record of another node; return whether it changed or is back.

        A record of this node is ignored, because the node itself sets its record.
        """
        if record.node == self.own_record.node:
            return False
        was_expired = self.expired.pop(record.node, None) is not None
        self._end_lapse()
        if record == self.records.get(record.node):
            return was_expired
        if record.state is MemberState.ALIVE:
            self._put(record)
        else:
            self._drop(record.node)
        return True

    def mark_expired(self, node: str, now: float) -> bool:
        """Mark a node whose record left the store; return whether it is a member."""
        if node == self.own_record.node or node not in self.records:
            return False
        self.expired.setdefault(node, now + self.rewrite_seconds)
        if len(self.expired) > len(self.records) * self.lapse_share:
            self.is_lapse = True
        return True

    def tick(self, now: float) -> list[str]:
        """Drop the nodes whose expired records did not return in time; return them."""
        dropped = []
        for node, due in list(self.expired.items()):
            if now < due:
                continue
            responsive_until = (
                self.last_response_at(node) + self.response_window_seconds
            )
            if responsive_until > now:
                self.expired[node] = responsive_until
                continue
            del self.expired[node]
            self._drop(node)
            dropped.append(node)
        self._end_lapse()
        return dropped

    def _end_lapse(self) -> None:
        """End the lapse once no record is missing any more."""
        if not self.expired:
            self.is_lapse = False

    def _put(self, record: MemberRecord) -> None:
        self._drop(record.node)
        self.records[record.node] = record
        if record.is_serving:
            self.pools.setdefault(record.pool, {})[record.node] = record

    def _drop(self, node: str) -> None:
        record = self.records.pop(node, None)
        if record is not None:
            self.pools.get(record.pool, {}).pop(node, None)
