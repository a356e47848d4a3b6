"""The versions' side of a node: what is installed, passed on, and held back."""

from datetime import timedelta
from typing import NamedTuple

from daisylink.process._broadcaster import Broadcaster, News, drop_oversized_delta
from daisylink.process._detector import Detector
from daisylink.process._events import Action, VersionInstalled
from daisylink.process._installer import Installer
from daisylink.process._messages import PullReply, Push, VersionUpdate
from daisylink.process._puller import Puller
from daisylink.process._reader import Reader, ReaderResult
from daisylink.version import HeadRecord

MAX_HELD_PUSHES = 16


class HeldPush(NamedTuple):
    """A push whose version this node lacks as yet; passed on once it has it."""

    push: Push
    deadline: float


class Distribution:
    """Installs versions and passes them on.

    :param gap_patience: how long a push waits here for the version it lacks.
    """

    def __init__(
        self,
        installer: Installer,
        broadcaster: Broadcaster,
        detector: Detector,
        pulls: Puller,
        reader: Reader,
        gap_patience: timedelta,
    ):
        self.installer = installer
        self.broadcaster = broadcaster
        self.detector = detector
        self.pulls = pulls
        self.reader = reader
        self.gap_patience = gap_patience.total_seconds()
        self.held: list[HeldPush] = []
        self.second_news: VersionUpdate | None = None
        self.second_due = float("inf")

    @property
    def number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.installer.number

    @property
    def wake_at(self) -> float:
        """Return when something is due."""
        held = min((item.deadline for item in self.held), default=float("inf"))
        return min(held, self.second_due)

    def tick(self, now: float) -> list[Action]:
        """Pass on the pushes whose version has come, or whose time is over."""
        actions: list[Action] = []
        if now >= self.second_due:
            actions += self._spread_second(now)
        if not self.held:
            return actions
        ready = [
            item
            for item in self.held
            if item.push.version.number <= self.number or now >= item.deadline
        ]
        self.held = [item for item in self.held if item not in ready]
        for item in ready:
            actions += self.forward_push(item.push, now)
        return actions

    def handle_push(self, push: Push, now: float, actions: list[Action]) -> bool:
        """Install a pushed version, or ask for what it needs.

        :param actions: where what is to be done is added.
        :returns: whether the push is to be passed on: now, or once it is installed.
        """
        news = push.version
        if news is None:
            return False
        self._drop_second(news)
        if news.number <= self.number:
            return False
        self._offer(news, actions)
        if self.number < news.number:
            deadline = now + self.gap_patience
            self.held.append(HeldPush(push, deadline))
            del self.held[:-MAX_HELD_PUSHES]
            self._want_missing(push.sender, news, now)
        return True

    def forward_push(self, push: Push, now: float) -> list[Action]:
        """Push news on to the part of the zone that it names."""
        news = News(push.version, push.records, push.keepers, push.strikes)
        avoid = tuple(self.detector.suspects)
        return list(
            self.broadcaster.broadcast_in_zone(news, now, push.low, push.high, avoid)
        )

    def handle_pull_reply(self, reply: PullReply, actions: list[Action]) -> None:
        """Install what a pull brought."""
        before = self.number
        for news in reply.news:
            if reply.snapshot:
                self.installer.apply_snapshot(news, reply.snapshot)
            else:
                self.installer.apply_delta(news)
        self._report_install(before, actions)

    def handle_reader_result(self, result: ReaderResult, now: float) -> list[Action]:
        """Install and spread what the reader brought from the platform."""
        actions: list[Action] = []
        before = self.number
        if result.record is not None and result.record.number > before:
            self._take_record(result.record, now, actions)
        if result.snapshot is not None:
            news, packed = result.snapshot
            self.installer.apply_snapshot(news, packed)
            self._report_install(before, actions)
            actions += self._announce(news, before, now)
        return actions

    def broadcast_version(self, news: VersionUpdate, now: float) -> list[Action]:
        """Push a version to the whole zone."""
        avoid = tuple(self.detector.suspects)
        return list(
            self.broadcaster.broadcast_in_zone(
                News(drop_oversized_delta(news)), now, avoid=avoid
            )
        )

    def _offer(self, news: VersionUpdate, actions: list[Action]) -> None:
        before = self.number
        self.installer.apply_delta(news)
        self._report_install(before, actions)

    def _report_install(self, before: int, actions: list[Action]) -> None:
        if self.number > before:
            self.detector.number = self.number
            actions.append(VersionInstalled(self.installer.current))

    def _want_missing(self, sender: str, news: VersionUpdate, now: float) -> None:
        """Pull a version; one whose delta came early may yet be completed."""
        if news.number in self.installer.waiting:
            self.pulls.schedule_version(sender, news.number, now)
        else:
            self.pulls.schedule_version_now(sender, news.number, now)

    def _take_record(
        self, record: HeadRecord, now: float, actions: list[Action]
    ) -> None:
        """Install the version that the head names, or fetch its content."""
        before = self.number
        news = VersionUpdate(
            record.number, record.digest, record.accepted_at, record.delta
        )
        self._offer(news, actions)
        if self.number >= record.number:
            actions += self._announce(news, before, now)
        elif self.reader.has_slot:
            actions += self.reader.fetch(record)

    def _announce(self, news: VersionUpdate, before: int, now: float) -> list[Action]:
        """Spread a version read from the platform; the second reader waits a while."""
        if self.number <= before or not self.reader.has_slot:
            return []
        if self.reader.slot == 0:
            return self.broadcast_version(news, now)
        self.second_news = news
        self.second_due = now + self.reader.settings.second_reader_delay.total_seconds()
        return []

    def _drop_second(self, news: VersionUpdate) -> None:
        """Leave a version to the first reader, whose push has come."""
        if self.second_news is not None and news.number >= self.second_news.number:
            self.second_news = None
            self.second_due = float("inf")

    def _spread_second(self, now: float) -> list[Action]:
        """Spread what the first reader should have spread by now."""
        self.second_due = float("inf")
        news, self.second_news = self.second_news, None
        if news is None or news.number < self.number:
            return []
        return self.broadcast_version(news, now)
