"""One node's part in the fleet: distribution, membership and recovery, without I/O.

:class:`FleetNode` takes events and returns actions. The program, the tests and the
benches drive the same object.
"""

import random
from datetime import datetime, timedelta
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.process._broadcaster import (
    Broadcaster,
    BroadcastSettings,
    News,
)
from daisylink.process._claims import Claims, ClaimSettings
from daisylink.process._detector import Detector, DetectorSettings
from daisylink.process._directory import BUCKET_COUNT, Directory
from daisylink.process._distribution import Distribution
from daisylink.process._events import (
    Action,
    CallStore,
    ClaimEnded,
    ClaimRequested,
    Event,
    MessageReceived,
    PullAnswered,
    PullFailed,
    ReadKey,
    ReplicaAnswered,
    Send,
    ServerChanged,
    ServerCrashed,
    Started,
    StopRequested,
    StoreAnswered,
    StoreFailed,
    SuspectRequestAnswered,
    TimePassed,
)
from daisylink.process._installer import Installer
from daisylink.process._key_records import KeyRecords, KeyRecordSettings
from daisylink.process._membership import Membership
from daisylink.process._messages import (
    Ack,
    Claim,
    ClaimCompletion,
    ClaimReply,
    Message,
    Ping,
    PingRequest,
    PullReply,
    PullRequest,
    Push,
    PushAck,
    Replica,
    ReplicaMap,
    ReplicaReply,
    ReplicaRequest,
    Strike,
)
from daisylink.process._puller import Puller, PullSettings, SyncState
from daisylink.process._reader import Reader, ReaderSettings, reader_key
from daisylink.process._readiness import Readiness, ReadinessSettings
from daisylink.process._replicas import ReplicaManager, ReplicaSettings
from daisylink.process._snapshot_limiter import SnapshotLimiter, SnapshotLimitSettings
from daisylink.process._zone_monitor import ZoneMonitor, ZoneMonitorSettings
from daisylink.request import Fingerprint
from daisylink.serving._quarantine import Quarantine, QuarantineSettings
from daisylink.serving._records import MemberRecord
from daisylink.version import HEAD_KEY

MAX_STRIKES = 16
PURGE_INTERVAL = timedelta(minutes=1)


class FleetSettings(NamedTuple):
    """Settings of a node's part in the fleet.

    :param batch: how long changes of records are collected before they are spread.
    :param gap_patience: how long a push waits here for the version it lacks.
    :param settle: directories are compared only after this time without a change.
    """

    detector: DetectorSettings = DetectorSettings()
    broadcaster: BroadcastSettings = BroadcastSettings()
    pulls: PullSettings = PullSettings()
    reader: ReaderSettings = ReaderSettings()
    zones: ZoneMonitorSettings = ZoneMonitorSettings()
    snapshot_limiter: SnapshotLimitSettings = SnapshotLimitSettings()
    readiness: ReadinessSettings = ReadinessSettings()
    replicas: ReplicaSettings = ReplicaSettings()
    key_records: KeyRecordSettings = KeyRecordSettings()
    claims: ClaimSettings = ClaimSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    batch: timedelta = timedelta(milliseconds=50)
    gap_patience: timedelta = timedelta(seconds=1)
    settle: timedelta = timedelta(seconds=1)


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
        self.broadcaster = Broadcaster(settings.broadcaster, self.directory, rng)
        self.installer = Installer()
        self.pulls = Puller(settings.pulls, record.node, rng)
        self.reader = Reader(settings.reader, record.node, record.zone, rng)
        self.zones = ZoneMonitor(settings.zones, self.directory, rng)
        self.snapshot_limiter = SnapshotLimiter(settings.snapshot_limiter, rng)
        self.readiness = Readiness(settings.readiness)
        self.replica_manager = ReplicaManager(settings.replicas, self.directory, rng)
        self.key_records = KeyRecords(
            settings.key_records, Replica(record.node, record.boot)
        )
        self.quarantine = Quarantine(settings.quarantine)
        self.claims = Claims(settings.claims, record.node, self.replica_manager, rng)
        self.members = Membership(
            self.directory, self.detector, self.broadcaster, settings.batch
        )
        self.versions = Distribution(
            self.installer,
            self.broadcaster,
            self.detector,
            self.pulls,
            self.reader,
            settings.gap_patience,
        )
        self.head_due = float("inf")
        self.purge_due = 0.0
        self.has_joined = False

    @property
    def own_record(self) -> MemberRecord:
        """Return the own record."""
        return self.directory.own_record

    @property
    def wake_at(self) -> float:
        """Return when :class:`TimePassed` is due."""
        return min(
            self.members.wake_at,
            self.versions.wake_at,
            self.broadcaster.wake_at,
            self.pulls.wake_at,
            self.reader.wake_at,
            self.zones.wake_at,
            self.replica_manager.wake_at,
            self.claims.wake_at,
            self.head_due,
        )

    def is_ready(self, now: float) -> bool:
        """Return whether the node may take calls."""
        is_ready = self.readiness.check(self.installer.number, now)
        return is_ready and not self.members.leaving

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
                self.pulls.handle_failure(address, now)
                actions = []
            case StoreAnswered():
                actions = self._take_store_answer(event, now)
            case StoreFailed():
                actions = self._take_store_failure(event, now)
            case ServerChanged(record):
                actions = self.members.update_own_record(record, now)
            case ReplicaAnswered(address, reply):
                actions = list(self.replica_manager.take_reply(address, reply, now))
            case ClaimRequested(ticket, key):
                actions = list(self.claims.ask(ticket, key, now))
            case ServerCrashed(fingerprints):
                actions = self._strike(fingerprints, now)
            case SuspectRequestAnswered(fingerprint):
                pardons = self.quarantine.make_pardons(fingerprint)
                actions = self._spread_strikes(pardons, now)
            case ClaimEnded(ticket, fate, answer):
                actions = list(self.claims.settle(ticket, fate, answer))
            case Started():
                actions = self._start(now)
            case StopRequested():
                actions = self._leave(now)
        return actions + self._tick(now)

    def answer_pull(self, request: PullRequest, now: float) -> PullReply:
        """Return what a node lacks, or when it is to come back."""
        number = self.installer.number
        records = ()
        if len(request.buckets) == BUCKET_COUNT:
            records = tuple(
                self.directory.records_in_differing_buckets(request.buckets)
            )
        behind = request.number < number
        news = self.installer.updates_since(request.number) if behind else ()
        snapshot = b""
        is_large = len(records) > BUCKET_COUNT or (behind and not news)
        if is_large and not self.snapshot_limiter.admit(request.sender, now):
            retry_ms = self.snapshot_limiter.retry_after_ms()
            return PullReply(
                number, retry_ms, self.snapshot_limiter.alternates(request.sender)
            )
        newer_map = self.replica_manager.map.number > request.keepers
        keepers = self.replica_manager.map if newer_map else None
        if behind and not news:
            latest, snapshot = self.installer.snapshot()
            news = (latest,)
        return PullReply(number, 0, (), news, snapshot, records, keepers)

    def answer_replica_request(
        self, request: ReplicaRequest, now: float
    ) -> ReplicaReply:
        """Answer a seal or a copy of key records."""
        return self.key_records.answer_replica_request(request, now)

    def _start(self, now: float) -> list[Action]:
        self.detector.start(now)
        self.reader.start(now)
        self.zones.start(now)
        self.replica_manager.start(now)
        self.readiness.start(now)
        self.head_due = now + self.rng.uniform(
            0, self.settings.reader.poll_interval.total_seconds() / 2
        )
        for peer in self.peers:
            self.pulls.join(peer, now)
        return []

    def _tick(self, now: float) -> list[Action]:
        """Do what is due in each part."""
        actions: list[Action] = []
        self.detector.number = self.installer.number
        self.detector.keepers = self.replica_manager.map.number
        if now >= self.members.wake_at:
            actions += self.members.tick(now)
        if now >= self.broadcaster.wake_at:
            actions += self.broadcaster.tick(now)
        if now >= self.zones.wake_at:
            actions += self.zones.tick(
                now, self.installer.number, self.replica_manager.map.number
            )
        if now >= self.reader.wake_at:
            actions += self._tick_reader(now)
        if now >= self.pulls.wake_at:
            buckets = tuple(self.directory.bucket_digests)
            held = SyncState(
                self.installer.number, self.replica_manager.map.number, buckets
            )
            actions += self.pulls.tick(now, held)
        if now >= self.claims.wake_at:
            actions += self.claims.tick(now)
        if now >= self.replica_manager.wake_at:
            is_first = self.reader.slot == 0
            actions += self.replica_manager.tick(now, is_first)
            if is_first:
                actions += self.replica_manager.propose_initial_map(now)
        if now >= self.head_due:
            self.head_due = float("inf")
            actions += self._read_for_readiness()
        if now >= self.purge_due:
            self.purge_due = now + PURGE_INTERVAL.total_seconds()
            self.directory.purge(now)
            self.quarantine.purge(now)
        return actions + self.versions.tick(now)

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
        if not self.has_joined:
            slot = self.rng.randrange(self.settings.reader.slots)
            key = reader_key(self.own_record.zone, slot)
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
                reply = self.key_records.answer_claim(message, now)
                return [Send(message.sender, reply)]
            case ClaimReply():
                return list(self.claims.take_reply(message))
            case ClaimCompletion():
                self.key_records.complete_claim(message)
                return []
            case PingRequest():
                return [self.detector.relay_ping(message, now)]
            case Push():
                return self._take_push(message, now)
            case PushAck():
                return list(self.broadcaster.take_ack(message, now))

    def _note_peer(self, message: Ping | Ack, now: float) -> None:
        """Note what a peer holds, and pull if it holds more."""
        sender, number, digest = message.sender, message.number, message.digest
        if message.keepers > self.replica_manager.map.number:
            self.pulls.schedule_replica_map(sender, message.keepers, now)
        self.zones.record_contact(sender, now)
        self.readiness.record_peer_version(sender, number)
        if number > self.installer.number:
            self.pulls.schedule_version(sender, number, now)
        settled = now - self.members.changed_at > self.settings.settle.total_seconds()
        if digest != self.directory.digest and settled:
            self.pulls.schedule_directory(sender, now)

    def _take_push(self, push: Push, now: float) -> list[Action]:
        """Take news, confirm it, and pass it on if it was new."""
        actions: list[Action] = []
        fresh = bool(self.members.merge(push.records, now, actions))
        fresh |= self._take_map(push.keepers, now)
        fresh |= bool(self.quarantine.merge_strikes(push.strikes, now))
        fresh |= self.versions.handle_push(push, now, actions)
        own = self.own_record.node
        actions.append(Send(push.sender, PushAck(push.push_id, own, fresh)))
        news = push.version
        is_held = news is not None and self.installer.number < news.number
        if fresh and not is_held:
            actions += self.versions.forward_push(push, now)
        return actions

    def _take_pull(self, address: str, reply: PullReply, now: float) -> list[Action]:
        actions: list[Action] = []
        before = self.installer.number
        self.readiness.record_peer_version(address, reply.number)
        self.zones.record_contact(address, now)
        self.pulls.take_reply(address, reply, now)
        if reply.retry_ms:
            return actions
        self.versions.handle_pull_reply(reply, actions)
        self._take_map(reply.keepers, now)
        fresh = self.members.merge(reply.records, now, actions)
        if not self.has_joined and reply.records:
            self.has_joined = True
            self.members.queue_change(self.own_record, now)
        if self.members.is_in_other_zone(address):
            self.members.rebroadcast(fresh, now)
            if self.installer.number > before:
                actions += self.versions.broadcast_version(reply.news[-1], now)
        return actions

    # Requests

    def _strike(
        self, fingerprints: tuple[Fingerprint, ...], now: float
    ) -> list[Action]:
        """Hold a crash against the requests that were in flight, everywhere."""
        crash = f"{self.own_record.node}/{now:.3f}"
        strikes = tuple(
            Strike(item.head, item.whole, crash) for item in dict.fromkeys(fingerprints)
        )[:MAX_STRIKES]
        return self._spread_strikes(strikes, now)

    def _spread_strikes(self, strikes: tuple[Strike, ...], now: float) -> list[Action]:
        if not self.quarantine.merge_strikes(strikes, now):
            return []
        return list(self.broadcaster.broadcast(News(strikes=strikes), now))

    # The platform

    def _take_store_answer(self, answer: StoreAnswered, now: float) -> list[Action]:
        result = self.reader.take_answer(answer, now)
        actions: list[Action] = list(result.calls)
        for contact in result.contacts:
            if not self.has_joined or contact not in self.directory.records:
                self.pulls.join(contact, now)
        if answer.call == ReadKey(HEAD_KEY):
            number = result.record.number if result.record is not None else 0
            self.readiness.record_platform_version(number)
        actions += self.versions.handle_reader_result(result, now)
        keeper_map = self.replica_manager.take_answer(answer, now)
        if keeper_map is not None:
            self.key_records.apply_map(keeper_map, now)
            news = News(keepers=keeper_map)
            actions += self.broadcaster.broadcast(news, now)
        return actions

    def _take_map(self, keeper_map: ReplicaMap | None, now: float) -> bool:
        """Take a newer keeper map; return whether it was newer."""
        if not self.replica_manager.apply_map(keeper_map):
            return False
        self.key_records.apply_map(keeper_map, now)
        return True

    def _take_store_failure(self, failure: StoreFailed, now: float) -> list[Action]:
        self.reader.handle_failure(failure, now)
        self.replica_manager.handle_failure(failure)
        retries = failure.call == ReadKey(HEAD_KEY) and not self.readiness.was_ready
        if (
            retries
            or failure.code == ResultCode.PLATFORM_LIMITED
            and not self.has_joined
        ):
            self.head_due = now + self.rng.uniform(0.2, 1.0)
        return []

    def _leave(self, now: float) -> list[Action]:
        """Leave the fleet: give up the slot and tell everyone."""
        actions: list[Action] = list(self.reader.stop(now))
        self.replica_manager.stop()
        return actions + self.members.leave(now)


def first_incarnation(started_at: datetime) -> int:
    """Return the incarnation of a process: later starts have higher ones.

    :param started_at: wall-clock time of the start.
    """
    return int(started_at.timestamp() * 1000)
