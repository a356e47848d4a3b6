"""Membership at one node: its directory, and the changes that it broadcasts."""

from datetime import timedelta

from msgspec.structs import replace

from daisylink.process._broadcaster import Broadcaster, batch_records
from daisylink.process._detector import Detector
from daisylink.process._directory import Directory
from daisylink.process._events import Action, DirectoryChanged, Send
from daisylink.process._messages import Push
from daisylink.serving._records import MemberRecord, MemberState, ServerState

MAX_REBROADCAST_RECORDS = 64


class Membership:
    """Merges member records and broadcasts the changes.

    :param batch_interval: how long changes are collected before they are broadcast.
    """

    def __init__(
        self,
        directory: Directory,
        detector: Detector,
        broadcaster: Broadcaster,
        batch_interval: timedelta,
    ):
        self.directory = directory
        self.detector = detector
        self.broadcaster = broadcaster
        self.batch_interval = batch_interval.total_seconds()
        self.changes: dict[str, MemberRecord] = {}
        self.changes_due = float("inf")
        self.changed_at = float("-inf")
        self.is_leaving = False

    @property
    def own_record(self) -> MemberRecord:
        """Return the record of the own node."""
        return self.directory.own_record

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due next."""
        return min(self.detector.wake_at, self.changes_due)

    def tick(self, now: float) -> list[Action]:
        """Send pings, declare nodes dead and broadcast collected changes."""
        actions: list[Action] = []
        if now >= self.detector.wake_at:
            sends, dead = self.detector.tick(now)
            actions += sends
            for node in dead:
                actions += self._declare_dead(node, now)
        if now >= self.changes_due:
            actions += self._broadcast_changes(now)
        return actions

    def merge(
        self, records: tuple[MemberRecord, ...], now: float, actions: list[Action]
    ) -> list[MemberRecord]:
        """Merge records into the directory; return those that were new.

        A record of the own node that this node did not make is refuted.

        :param actions: list to which the resulting actions are appended.
        """
        new_records: list[MemberRecord] = []
        for record in records:
            if record.node == self.own_record.node:
                refuted = self.directory.refute(record, now)
                if refuted is not None and not self.is_leaving:
                    self.queue_change(refuted, now)
            elif self.directory.merge(record, now):
                new_records.append(record)
        if new_records:
            self.changed_at = now
            actions.append(DirectoryChanged())
        return new_records

    def rebroadcast(self, new_records: list[MemberRecord], now: float) -> None:
        """Queue records from another zone for broadcast, unless there are too many."""
        if len(new_records) <= MAX_REBROADCAST_RECORDS:
            for record in new_records:
                self.queue_change(record, now)

    def is_in_other_zone(self, node: str) -> bool:
        """Return whether a node is known to be in another zone."""
        record = self.directory.records.get(node)
        return record is not None and record.zone != self.own_record.zone

    def update_own_record(self, record: MemberRecord, now: float) -> list[Action]:
        """Replace the own record and broadcast it at once."""
        self.changed_at = now
        own_record = self.directory.update_own_record(record, now)
        self.queue_change(own_record, now)
        return [DirectoryChanged(), *self._broadcast_changes(now)]

    def leave(self, now: float) -> list[Action]:
        """Broadcast that this node leaves."""
        self.is_leaving = True
        left = replace(
            self.own_record, state=MemberState.LEFT, server=ServerState.ABSENT
        )
        return self.update_own_record(left, now)

    def queue_change(self, record: MemberRecord, now: float) -> None:
        """Queue a change for the next broadcast."""
        self.changes[record.node] = record
        self.changes_due = min(self.changes_due, now + self.batch_interval)

    def _declare_dead(self, node: str, now: float) -> list[Action]:
        """Mark a node dead, and notify it.

        A node that is still running refutes the record. The push names an empty
        segment, so that the node does not forward it.
        """
        record = self.directory.records[node]
        dead = replace(record, state=MemberState.DEAD)
        if not self.directory.merge(dead, now):
            return []
        self.queue_change(dead, now)
        push = Push(0, self.own_record.node, 1, 0, records=(dead,))
        return [DirectoryChanged(), Send(node, push)]

    def _broadcast_changes(self, now: float) -> list[Action]:
        records = list(self.changes.values())
        self.changes.clear()
        self.changes_due = float("inf")
        avoid = tuple(self.detector.suspects)
        actions: list[Action] = []
        for payload in batch_records(records):
            actions += self.broadcaster.broadcast(payload, now, avoid)
        return actions
