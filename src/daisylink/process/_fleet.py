"""One node's part in the fleet: distribution, membership and recovery, without I/O.

:class:`FleetNode` takes events and returns actions. The program, the tests and the
benches drive the same object.
"""

import random
from datetime import datetime, timedelta
from typing import NamedTuple

from msgspec.structs import replace

from daisylink.errors import ResultCode
from daisylink.process._claims import Claims, ClaimSettings
from daisylink.process._detector import Detector, DetectorSettings
from daisylink.process._directory import BUCKETS, Directory
from daisylink.process._events import (
    Action,
    CallStore,
    ClaimAsked,
    ClaimEnded,
    DirectoryChanged,
    Event,
    KeepAnswered,
    MessageReceived,
    PullAnswered,
    PullFailed,
    ReadKey,
    Send,
    ServerChanged,
    ServerCrashed,
    Started,
    StopAsked,
    StoreAnswered,
    StoreFailed,
    SuspectAnswered,
    TimePassed,
    VersionInstalled,
)
from daisylink.process._installer import Installer, Offer
from daisylink.process._keepers import Keepers, KeeperSettings
from daisylink.process._ledger import Ledger, LedgerSettings
from daisylink.process._messages import (
    Ack,
    Claim,
    ClaimReply,
    Keeper,
    KeeperMap,
    KeepReply,
    KeepRequest,
    Message,
    Ping,
    PingRequest,
    PullReply,
    PullRequest,
    Push,
    PushAck,
    Settle,
    Strike,
    VersionNews,
)
from daisylink.process._pulls import Holdings, Pulls, PullSettings
from daisylink.process._quarantine import Quarantine, QuarantineSettings
from daisylink.process._ration import Ration, RationSettings
from daisylink.process._reader import Reader, ReaderResult, ReaderSettings, reader_key
from daisylink.process._readiness import Readiness, ReadinessSettings
from daisylink.process._records import MemberRecord, MemberState, ServerState
from daisylink.process._spreader import (
    News,
    Spreader,
    SpreaderSettings,
    batch_records,
    fit_news,
)
from daisylink.process._zones import ZoneSettings, ZoneWatch
from daisylink.request import Fingerprint
from daisylink.version import HEAD_KEY, HeadRecord

MAX_HELD_PUSHES = 16
MAX_STRIKES = 16
MAX_RESPREAD_RECORDS = 64
PURGE_INTERVAL = timedelta(minutes=1)


class FleetSettings(NamedTuple):
    """Settings of a node's part in the fleet.

    :param batch: how long changes of records are collected before they are spread.
    :param gap_patience: how long a push waits here for the version it lacks.
    :param settle: directories are compared only after this time without a change.
    """

    detector: DetectorSettings = DetectorSettings()
    spreader: SpreaderSettings = SpreaderSettings()
    pulls: PullSettings = PullSettings()
    reader: ReaderSettings = ReaderSettings()
    zones: ZoneSettings = ZoneSettings()
    ration: RationSettings = RationSettings()
    readiness: ReadinessSettings = ReadinessSettings()
    keepers: KeeperSettings = KeeperSettings()
    ledger: LedgerSettings = LedgerSettings()
    claims: ClaimSettings = ClaimSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    batch: timedelta = timedelta(milliseconds=50)
    gap_patience: timedelta = timedelta(seconds=1)
    settle: timedelta = timedelta(seconds=1)


class HeldPush(NamedTuple):
    """A push whose version this node lacks as yet; passed on once it has it."""

    push: Push
    deadline: float


class FleetNode:
    """One node's part in the fleet.

    :param record: the node's own record.
    :param peers: control addresses of nodes to ask first.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        settings: FleetSettings,
        record: MemberRecord,
        peers: tuple[str, ...],
        rng: random.Random,
    ):
        self.settings = settings
        self.peers = peers
        self.rng = rng
        self.directory = Directory(record)
        self.detector = Detector(settings.detector, self.directory, rng)
        self.spreader = Spreader(settings.spreader, self.directory, rng)
        self.installer = Installer()
        self.pulls = Pulls(settings.pulls, record.node, rng)
        self.reader = Reader(settings.reader, record.node, record.zone, rng)
        self.zones = ZoneWatch(settings.zones, self.directory, rng)
        self.ration = Ration(settings.ration, rng)
        self.readiness = Readiness(settings.readiness)
        self.keepers = Keepers(settings.keepers, self.directory, rng)
        self.ledger = Ledger(settings.ledger, Keeper(record.node, record.boot))
        self.quarantine = Quarantine(settings.quarantine)
        self.claims = Claims(settings.claims, record.node, self.keepers, rng)
        self.changes: dict[str, MemberRecord] = {}
        self.changes_due = float("inf")
        self.changed_at = float("-inf")
        self.held: list[HeldPush] = []
        self.second_news: VersionNews | None = None
        self.second_due = float("inf")
        self.head_due = float("inf")
        self.purge_due = 0.0
        self.joined = False
        self.leaving = False

    @property
    def own(self) -> MemberRecord:
        """Return the own record."""
        return self.directory.own

    @property
    def wake_at(self) -> float:
        """Return when :class:`TimePassed` is due."""
        held = min((item.deadline for item in self.held), default=float("inf"))
        return min(
            self.detector.wake_at,
            self.spreader.wake_at,
            self.pulls.wake_at,
            self.reader.wake_at,
            self.zones.wake_at,
            self.keepers.wake_at,
            self.claims.wake_at,
            self.changes_due,
            self.second_due,
            self.head_due,
            held,
        )

    def is_ready(self, now: float) -> bool:
        """Return whether the node may take calls."""
        return self.readiness.check(self.installer.number, now) and not self.leaving

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event and return what is to be done.

        :param now: seconds of the monotonic clock.
        """
        match event:
            case MessageReceived(message):
                actions = self._take_message(message, now)
            case TimePassed():
                actions = []
            case PullAnswered(address, reply):
                actions = self._take_pull(address, reply, now)
            case PullFailed(address):
                self.pulls.take_failure(address, now)
                actions = []
            case StoreAnswered():
                actions = self._take_store_answer(event, now)
            case StoreFailed():
                actions = self._take_store_failure(event, now)
            case ServerChanged(record):
                actions = self._change_own(record, now)
            case KeepAnswered(address, reply):
                actions = list(self.keepers.take_reply(address, reply, now))
            case ClaimAsked(ticket, key):
                actions = list(self.claims.ask(ticket, key, now))
            case ServerCrashed(fingerprints):
                actions = self._strike(fingerprints, now)
            case SuspectAnswered(fingerprint):
                pardons = self.quarantine.make_pardons(fingerprint)
                actions = self._spread_strikes(pardons, now)
            case ClaimEnded(ticket, fate, answer):
                actions = list(self.claims.settle(ticket, fate, answer))
            case Started():
                actions = self._start(now)
            case StopAsked():
                actions = self._leave(now)
        return actions + self._tick(now)

    def answer_pull(self, request: PullRequest, now: float) -> PullReply:
        """Return what a node lacks, or when it is to come back."""
        number = self.installer.number
        records = ()
        if len(request.buckets) == BUCKETS:
            records = tuple(self.directory.differing(request.buckets))
        behind = request.number < number
        news = self.installer.news_since(request.number) if behind else ()
        snapshot = b""
        is_large = len(records) > BUCKETS or (behind and not news)
        if is_large and not self.ration.admit(request.sender, now):
            retry_ms = self.ration.retry_after_ms()
            return PullReply(number, retry_ms, self.ration.alternates(request.sender))
        newer_map = self.keepers.map.number > request.keepers
        keepers = self.keepers.map if newer_map else None
        if behind and not news:
            latest, snapshot = self.installer.snapshot()
            news = (latest,)
        return PullReply(number, 0, (), news, snapshot, records, keepers)

    def answer_keep(self, request: KeepRequest, now: float) -> KeepReply:
        """Answer a seal or a copy of key records."""
        return self.ledger.answer_keep(request, now)

    def _start(self, now: float) -> list[Action]:
        self.detector.start(now)
        self.reader.start(now)
        self.zones.start(now)
        self.keepers.start(now)
        self.readiness.start(now)
        self.head_due = now + self.rng.uniform(
            0, self.settings.reader.poll.total_seconds() / 2
        )
        for peer in self.peers:
            self.pulls.join(peer, now)
        return []

    def _tick(self, now: float) -> list[Action]:
        """Do what is due in each part."""
        actions: list[Action] = []
        self.detector.number = self.installer.number
        self.detector.keepers = self.keepers.map.number
        if now >= self.detector.wake_at:
            sends, dead = self.detector.tick(now)
            actions += sends
            for node in dead:
                actions += self._declare_dead(node, now)
        if now >= self.spreader.wake_at:
            actions += self.spreader.tick(now)
        if now >= self.zones.wake_at:
            actions += self.zones.tick(
                now, self.installer.number, self.keepers.map.number
            )
        if now >= self.reader.wake_at:
            actions += self._tick_reader(now)
        if now >= self.pulls.wake_at:
            buckets = tuple(self.directory.digests)
            held = Holdings(self.installer.number, self.keepers.map.number, buckets)
            actions += self.pulls.tick(now, held)
        if now >= self.claims.wake_at:
            actions += self.claims.tick(now)
        if now >= self.keepers.wake_at:
            is_first = self.reader.slot == 0
            actions += self.keepers.tick(now, is_first)
            if is_first:
                actions += self.keepers.propose_first(now)
        if now >= self.second_due:
            actions += self._spread_second(now)
        if now >= self.head_due:
            self.head_due = float("inf")
            actions += self._read_for_readiness()
        if now >= self.purge_due:
            self.purge_due = now + PURGE_INTERVAL.total_seconds()
            self.directory.purge(now)
            self.quarantine.purge(now)
        actions += self._pass_on_held(now)
        if now >= self.changes_due:
            actions += self._spread_changes(now)
        return actions

    def _tick_reader(self, now: float) -> list[Action]:
        return list(
            self.reader.tick(
                now,
                self.directory.rank(),
                self.detector.is_isolated,
                frozenset(self.directory.zones()),
            )
        )

    def _read_for_readiness(self) -> list[Action]:
        """Read the head once, and look for a reader to join."""
        actions: list[Action] = [CallStore(ReadKey(HEAD_KEY))]
        if not self.joined:
            slot = self.rng.randrange(self.settings.reader.slots)
            key = reader_key(self.own.zone, slot)
            actions.append(CallStore(ReadKey(key)))
        return actions

    # Messages

    def _take_message(self, message: Message, now: float) -> list[Action]:
        match message:
            case Ping():
                self._note_peer(message, now)
                return [self.detector.answer_ping(message)]
            case Ack():
                self._note_peer(message, now)
                return list(self.detector.take_ack(message))
            case Claim():
                reply = self.ledger.answer_claim(message, now)
                return [Send(message.sender, reply)]
            case ClaimReply():
                return list(self.claims.take_reply(message))
            case Settle():
                self.ledger.settle(message)
                return []
            case PingRequest():
                return [self.detector.relay_ping(message, now)]
            case Push():
                return self._take_push(message, now)
            case PushAck():
                return list(self.spreader.take_ack(message, now))

    def _note_peer(self, message: Ping | Ack, now: float) -> None:
        """Note what a peer holds, and pull if it holds more."""
        sender, number, digest = message.sender, message.number, message.digest
        if message.keepers > self.keepers.map.number:
            self.pulls.want_keepers(sender, message.keepers, now)
        self.zones.note_heard(sender, now)
        self.readiness.note_peer(sender, number)
        if number > self.installer.number:
            self.pulls.want_version(sender, number, now)
        settled = now - self.changed_at > self.settings.settle.total_seconds()
        if digest != self.directory.digest and settled:
            self.pulls.want_directory(sender, now)

    def _take_push(self, push: Push, now: float) -> list[Action]:
        actions: list[Action] = []
        fresh = bool(self._merge(push.records, now, actions))
        fresh |= self._take_map(push.keepers, now)
        fresh |= bool(self.quarantine.take(push.strikes, now))
        news = push.version
        if news is not None and self.second_news is not None:
            self._drop_second(news)
        if news is not None and news.number > self.installer.number:
            fresh = True
            self._offer(news, now, actions)
            if self.installer.number < news.number:
                self._hold(push, now)
        own = self.own.node
        actions.append(Send(push.sender, PushAck(push.push_id, own, fresh)))
        if news is not None and self.installer.number < news.number:
            self._want_missing(push.sender, news, now)
        elif fresh:
            actions += self._pass_on(push, now)
        return actions

    def _want_missing(self, sender: str, news: VersionNews, now: float) -> None:
        """Pull a version; one whose delta came early may yet be completed."""
        if news.number in self.installer.waiting:
            self.pulls.want_version(sender, news.number, now)
        else:
            self.pulls.want_version_now(sender, news.number, now)

    def _pass_on(self, push: Push, now: float) -> list[Action]:
        news = News(push.version, push.records, push.keepers, push.strikes)
        avoid = tuple(self.detector.suspects)
        return list(self.spreader.spread(news, now, push.low, push.high, avoid))

    def _hold(self, push: Push, now: float) -> None:
        deadline = now + self.settings.gap_patience.total_seconds()
        self.held.append(HeldPush(push, deadline))
        del self.held[:-MAX_HELD_PUSHES]

    def _pass_on_held(self, now: float) -> list[Action]:
        """Pass on the pushes whose version has come, or whose time is over."""
        if not self.held:
            return []
        ready = [
            item
            for item in self.held
            if item.push.version.number <= self.installer.number or now >= item.deadline
        ]
        self.held = [item for item in self.held if item not in ready]
        actions: list[Action] = []
        for item in ready:
            actions += self._pass_on(item.push, now)
        return actions

    # Versions

    def _offer(self, news: VersionNews, now: float, actions: list[Action]) -> Offer:
        before = self.installer.number
        offer = self.installer.offer(news)
        self._report_install(before, actions)
        return offer

    def _report_install(self, before: int, actions: list[Action]) -> None:
        if self.installer.number > before:
            self.detector.number = self.installer.number
            actions.append(VersionInstalled(self.installer.current))

    def _take_pull(self, address: str, reply: PullReply, now: float) -> list[Action]:
        actions: list[Action] = []
        before = self.installer.number
        self.readiness.note_peer(address, reply.number)
        self.zones.note_heard(address, now)
        self.pulls.take_reply(address, reply, now)
        if reply.retry_ms:
            return actions
        for news in reply.news:
            if reply.snapshot:
                self.installer.offer_snapshot(news, reply.snapshot)
            else:
                self.installer.offer(news)
        self._report_install(before, actions)
        self._take_map(reply.keepers, now)
        fresh = self._merge(reply.records, now, actions)
        if not self.joined and reply.records:
            self.joined = True
            self._note_change(self.own, now)
        if self._is_abroad(address):
            self._spread_foreign(fresh, now)
            if self.installer.number > before:
                actions += self._spread_version(reply.news[-1], now)
        return actions

    def _spread_foreign(self, fresh: list[MemberRecord], now: float) -> None:
        """Tell the own zone what another zone told, unless it is a great deal."""
        if len(fresh) <= MAX_RESPREAD_RECORDS:
            for record in fresh:
                self._note_change(record, now)

    def _is_abroad(self, node: str) -> bool:
        record = self.directory.records.get(node)
        return record is not None and record.zone != self.own.zone

    def _spread_version(self, news: VersionNews, now: float) -> list[Action]:
        avoid = tuple(self.detector.suspects)
        return list(self.spreader.spread(News(fit_news(news)), now, avoid=avoid))

    # Requests

    def _strike(
        self, fingerprints: tuple[Fingerprint, ...], now: float
    ) -> list[Action]:
        """Hold a crash against the requests that were in flight, everywhere."""
        crash = f"{self.own.node}/{now:.3f}"
        strikes = tuple(
            Strike(item.head, item.whole, crash) for item in dict.fromkeys(fingerprints)
        )[:MAX_STRIKES]
        return self._spread_strikes(strikes, now)

    def _spread_strikes(self, strikes: tuple[Strike, ...], now: float) -> list[Action]:
        if not self.quarantine.take(strikes, now):
            return []
        news = News(strikes=strikes)
        return [
            *self.spreader.spread(news, now),
            *self.spreader.spread_abroad(news, now),
        ]

    # The platform

    def _take_store_answer(self, answer: StoreAnswered, now: float) -> list[Action]:
        result = self.reader.take_answer(answer, now)
        actions: list[Action] = list(result.calls)
        for contact in result.contacts:
            if not self.joined or contact not in self.directory.records:
                self.pulls.join(contact, now)
        if answer.call == ReadKey(HEAD_KEY):
            number = result.record.number if result.record is not None else 0
            self.readiness.note_platform(number)
        actions += self._take_reader_result(result, now)
        keeper_map = self.keepers.take_answer(answer, now)
        if keeper_map is not None:
            self.ledger.take_map(keeper_map, now)
            actions += self._spread_map(keeper_map, now)
        return actions

    def _take_map(self, keeper_map: KeeperMap | None, now: float) -> bool:
        """Take a newer keeper map; return whether it was newer."""
        if not self.keepers.take_map(keeper_map):
            return False
        self.ledger.take_map(keeper_map, now)
        return True

    def _spread_map(self, keeper_map: KeeperMap, now: float) -> list[Action]:
        """Tell all zones of a map read from or written to the platform."""
        news = News(keepers=keeper_map)
        return [
            *self.spreader.spread(news, now),
            *self.spreader.spread_abroad(news, now),
        ]

    def _take_reader_result(self, result: ReaderResult, now: float) -> list[Action]:
        actions: list[Action] = []
        before = self.installer.number
        if result.record is not None and result.record.number > before:
            self._take_record(result.record, now, actions)
        if result.snapshot is not None:
            news, packed = result.snapshot
            self.installer.offer_snapshot(news, packed)
            self._report_install(before, actions)
            actions += self._announce_version(news, before, now)
        return actions

    def _take_record(
        self, record: HeadRecord, now: float, actions: list[Action]
    ) -> None:
        """Install the version that the head names, or fetch its content."""
        before = self.installer.number
        news = VersionNews(
            record.number, record.digest, record.accepted_at, record.delta
        )
        self._offer(news, now, actions)
        if self.installer.number >= record.number:
            actions += self._announce_version(news, before, now)
        elif self.reader.is_holding:
            actions += self.reader.fetch(record)

    def _announce_version(
        self, news: VersionNews, before: int, now: float
    ) -> list[Action]:
        """Spread a version read from the platform; the second reader waits a while."""
        if self.installer.number <= before or not self.reader.is_holding:
            return []
        if self.reader.slot == 0:
            return self._spread_version(news, now)
        self.second_news = news
        self.second_due = now + self.settings.reader.second_delay.total_seconds()
        return []

    def _drop_second(self, news: VersionNews) -> None:
        """Leave a version to the first reader, whose push has come."""
        if news.number >= self.second_news.number:
            self.second_news = None
            self.second_due = float("inf")

    def _spread_second(self, now: float) -> list[Action]:
        """Spread what the first reader should have spread by now."""
        self.second_due = float("inf")
        news, self.second_news = self.second_news, None
        if news is None or news.number < self.installer.number:
            return []
        return self._spread_version(news, now)

    def _take_store_failure(self, failure: StoreFailed, now: float) -> list[Action]:
        self.reader.take_failure(failure, now)
        self.keepers.take_failure(failure)
        retries = failure.call == ReadKey(HEAD_KEY) and not self.readiness.was_ready
        if retries or failure.code == ResultCode.PLATFORM_LIMITED and not self.joined:
            self.head_due = now + self.rng.uniform(0.2, 1.0)
        return []

    # Members

    def _merge(
        self, records: tuple[MemberRecord, ...], now: float, actions: list[Action]
    ) -> list[MemberRecord]:
        """Take records and return those that were new."""
        fresh: list[MemberRecord] = []
        for record in records:
            if record.node == self.own.node:
                refuted = self.directory.refute(record, now)
                if refuted is not None and not self.leaving:
                    self._note_change(refuted, now)
                continue
            if self.directory.merge(record, now):
                fresh.append(record)
        if fresh:
            self.changed_at = now
            actions.append(DirectoryChanged())
        return fresh

    def _declare_dead(self, node: str, now: float) -> list[Action]:
        record = self.directory.records[node]
        dead = replace(record, state=MemberState.DEAD)
        if not self.directory.merge(dead, now):
            return []
        self._note_change(dead, now)
        push = Push(0, self.own.node, 1, 0, records=(dead,))
        return [DirectoryChanged(), Send(node, push)]

    def _change_own(self, record: MemberRecord, now: float) -> list[Action]:
        self.changed_at = now
        own = self.directory.change_own(record, now)
        self._note_change(own, now)
        return [DirectoryChanged(), *self._spread_changes(now)]

    def _leave(self, now: float) -> list[Action]:
        """Leave the fleet: give up the slot and tell everyone."""
        self.leaving = True
        own = self.own
        left = replace(own, state=MemberState.LEFT, server=ServerState.ABSENT)
        actions: list[Action] = list(self.reader.stop(now))
        self.keepers.stop()
        actions += self._change_own(left, now)
        return actions

    def _note_change(self, record: MemberRecord, now: float) -> None:
        self.changes[record.node] = record
        due = now + self.settings.batch.total_seconds()
        self.changes_due = min(self.changes_due, due)

    def _spread_changes(self, now: float) -> list[Action]:
        records = list(self.changes.values())
        self.changes.clear()
        self.changes_due = float("inf")
        avoid = tuple(self.detector.suspects)
        actions: list[Action] = []
        for news in batch_records(records):
            actions += self.spreader.spread(news, now, avoid=avoid)
            actions += self.spreader.spread_abroad(news, now)
        return actions


def first_incarnation(started_at: datetime) -> int:
    """Return the incarnation of a process: later starts have higher ones.

    :param started_at: wall-clock time of the start.
    """
    return int(started_at.timestamp() * 1000)
