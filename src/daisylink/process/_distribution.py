"""Distribution of versions at one node: installing, holding and forwarding them."""

from datetime import timedelta
from typing import NamedTuple

from daisylink.process._broadcaster import (
    Broadcaster,
    PushPayload,
    drop_oversized_delta,
)
from daisylink.process._detector import Detector
from daisylink.process._events import Action, VersionInstalled
from daisylink.process._installer import Installer
from daisylink.process._messages import PullReply, Push, VersionUpdate
from daisylink.process._puller import Puller
from daisylink.process._reader import Reader, ReaderResult
from daisylink.version import HeadRecord

MAX_HELD_PUSHES = 16


class HeldPush(NamedTuple):
    """A push to forward once its version is installed, or at its deadline."""

    push: Push
    deadline: float


class Distribution:
    """Installs versions and forwards them to other nodes.

    :param gap_timeout: how long a push is held while its version is missing.
    """

    def __init__(
        self,
        installer: Installer,
        broadcaster: Broadcaster,
        detector: Detector,
        puller: Puller,
        reader: Reader,
        gap_timeout: timedelta,
    ):
        self.installer = installer
        self.broadcaster = broadcaster
        self.detector = detector
        self.puller = puller
        self.reader = reader
        self.gap_timeout = gap_timeout.total_seconds()
        self.held_pushes: list[HeldPush] = []
        self.delayed_update: VersionUpdate | None = None
        self.delayed_due = float("inf")

    @property
    def number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.installer.number

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due next."""
        next_deadline = min(
            (item.deadline for item in self.held_pushes), default=float("inf")
        )
        return min(next_deadline, self.delayed_due)

    def tick(self, now: float) -> list[Action]:
        """Forward the held pushes that are ready, and start a delayed broadcast."""
        actions: list[Action] = []
        if now >= self.delayed_due:
            actions += self._broadcast_delayed(now)
        if not self.held_pushes:
            return actions
        ready = [
            item
            for item in self.held_pushes
            if item.push.version.number <= self.number or now >= item.deadline
        ]
        self.held_pushes = [item for item in self.held_pushes if item not in ready]
        for item in ready:
            actions += self.forward_push(item.push, now)
        return actions

    def handle_push(self, push: Push, now: float, actions: list[Action]) -> bool:
        """Install a pushed version, or schedule a pull of what it needs.

        :param actions: list to which the resulting actions are appended.
        :returns: whether the push is to be forwarded, now or once it is installed.
        """
        update = push.version
        if update is None:
            return False
        self._cancel_delayed(update)
        if update.number <= self.number:
            return False
        self._apply_delta(update, actions)
        if self.number < update.number:
            deadline = now + self.gap_timeout
            self.held_pushes.append(HeldPush(push, deadline))
            del self.held_pushes[:-MAX_HELD_PUSHES]
            self._schedule_missing(push.sender, update, now)
        return True

    def forward_push(self, push: Push, now: float) -> list[Action]:
        """Forward a push to the ring segment that it names."""
        payload = PushPayload(push.version, push.records, push.keepers, push.strikes)
        avoid = tuple(self.detector.suspects)
        return list(
            self.broadcaster.broadcast_in_zone(payload, now, push.low, push.high, avoid)
        )

    def handle_pull_reply(self, reply: PullReply, actions: list[Action]) -> None:
        """Install the versions of a pull reply."""
        before = self.number
        for update in reply.news:
            if reply.snapshot:
                self.installer.apply_snapshot(update, reply.snapshot)
            else:
                self.installer.apply_delta(update)
        self._report_install(before, actions)

    def handle_reader_result(self, result: ReaderResult, now: float) -> list[Action]:
        """Install and broadcast what the reader read from the platform."""
        actions: list[Action] = []
        before = self.number
        if result.record is not None and result.record.number > before:
            self._handle_head_record(result.record, now, actions)
        if result.snapshot is not None:
            update, packed = result.snapshot
            self.installer.apply_snapshot(update, packed)
            self._report_install(before, actions)
            actions += self._broadcast_if_reader(update, before, now)
        return actions

    def broadcast_version(self, update: VersionUpdate, now: float) -> list[Action]:
        """Broadcast a version to the own zone."""
        avoid = tuple(self.detector.suspects)
        return list(
            self.broadcaster.broadcast_in_zone(
                PushPayload(drop_oversized_delta(update)), now, avoid=avoid
            )
        )

    def _apply_delta(self, update: VersionUpdate, actions: list[Action]) -> None:
        before = self.number
        self.installer.apply_delta(update)
        self._report_install(before, actions)

    def _report_install(self, before: int, actions: list[Action]) -> None:
        if self.number > before:
            self.detector.version_number = self.number
            actions.append(VersionInstalled(self.installer.current))

    def _schedule_missing(self, sender: str, update: VersionUpdate, now: float) -> None:
        """Schedule a pull of a version.

        If its delta has arrived early, the delta before it may follow by a push, so the
        pull is delayed.
        """
        if update.number in self.installer.pending_updates:
            self.puller.schedule_version(sender, update.number, now)
        else:
            self.puller.schedule_version_now(sender, update.number, now)

    def _handle_head_record(
        self, record: HeadRecord, now: float, actions: list[Action]
    ) -> None:
        """Install the version that the head names, or fetch its content."""
        before = self.number
        update = VersionUpdate(
            record.number, record.digest, record.accepted_at, record.delta
        )
        self._apply_delta(update, actions)
        if self.number >= record.number:
            actions += self._broadcast_if_reader(update, before, now)
        elif self.reader.has_slot:
            actions += self.reader.fetch_content(record)

    def _broadcast_if_reader(
        self, update: VersionUpdate, before: int, now: float
    ) -> list[Action]:
        """Broadcast a version read from the platform.

        The second reader waits, so that only one of them broadcasts it.
        """
        if self.number <= before or not self.reader.has_slot:
            return []
        if self.reader.slot == 0:
            return self.broadcast_version(update, now)
        self.delayed_update = update
        self.delayed_due = (
            now + self.reader.settings.second_reader_delay.total_seconds()
        )
        return []

    def _cancel_delayed(self, update: VersionUpdate) -> None:
        """Cancel the delayed broadcast if the version has arrived by a push."""
        if (
            self.delayed_update is not None
            and update.number >= self.delayed_update.number
        ):
            self.delayed_update = None
            self.delayed_due = float("inf")

    def _broadcast_delayed(self, now: float) -> list[Action]:
        """Broadcast the version that the first reader has not broadcast in time."""
        self.delayed_due = float("inf")
        update, self.delayed_update = self.delayed_update, None
        if update is None or update.number < self.number:
            return []
        return self.broadcast_version(update, now)
