"""Decisions of one node on distribution, membership and recovery, without I/O.

:class:`FleetNode` handles events and returns actions. The program, the tests and the
benchmarks drive the same class.
"""

import random
from datetime import datetime, timedelta

from daisylink.errors import ResultCode
from daisylink.process._broadcaster import (
    Broadcaster,
    PushPayload,
)
from daisylink.process._claims import Claims
from daisylink.process._detector import Detector
from daisylink.process._directory import Directory
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
from daisylink.process._fleet_settings import FleetSettings
from daisylink.process._installer import Installer
from daisylink.process._key_records import KeyRecords
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
)
from daisylink.process._pull_server import PullServer
from daisylink.process._puller import Puller, SyncState
from daisylink.process._reader import Reader, reader_key
from daisylink.process._readiness import Readiness
from daisylink.process._replicas import ReplicaManager
from daisylink.process._snapshot_limiter import SnapshotLimiter
from daisylink.process._strike_broadcaster import StrikeBroadcaster
from daisylink.process._zone_monitor import ZoneMonitor
from daisylink.serving._quarantine import Quarantine
from daisylink.serving._records import MemberRecord
from daisylink.version import HEAD_KEY

PURGE_INTERVAL = timedelta(minutes=1)


class FleetNode:
    """Makes the decisions of one node.

    :param record: the node's own record.
    :param peers: control addresses of the nodes to join through.
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
        self.puller = Puller(settings.puller, record.node, rng)
        self.reader = Reader(settings.reader, record.node, record.zone, rng)
        self.zone_monitor = ZoneMonitor(settings.zone_monitor, self.directory, rng)
        self.snapshot_limiter = SnapshotLimiter(settings.snapshot_limiter, rng)
        self.readiness = Readiness(settings.readiness)
        self.replica_manager = ReplicaManager(settings.replicas, self.directory, rng)
        self.key_records = KeyRecords(
            settings.key_records, Replica(record.node, record.boot)
        )
        self.quarantine = Quarantine(settings.quarantine)
        self.strike_broadcaster = StrikeBroadcaster(
            self.quarantine, self.broadcaster, record.node
        )
        self.claims = Claims(settings.claims, record.node, self.replica_manager, rng)
        self.membership = Membership(
            self.directory, self.detector, self.broadcaster, settings.batch_interval
        )
        self.distribution = Distribution(
            self.installer,
            self.broadcaster,
            self.detector,
            self.puller,
            self.reader,
            settings.gap_timeout,
        )
        self.pull_server = PullServer(
            self.installer, self.directory, self.replica_manager, self.snapshot_limiter
        )
        self.head_due = float("inf")
        self.purge_due = 0.0
        self.has_joined = False

    @property
    def own_record(self) -> MemberRecord:
        """Return the record of the own node."""
        return self.directory.own_record

    @property
    def wake_at(self) -> float:
        """Return when :class:`TimePassed` is due."""
        return min(
            self.membership.wake_at,
            self.distribution.wake_at,
            self.broadcaster.wake_at,
            self.puller.wake_at,
            self.reader.wake_at,
            self.zone_monitor.wake_at,
            self.replica_manager.wake_at,
            self.claims.wake_at,
            self.head_due,
        )

    def is_ready(self, now: float) -> bool:
        """Return whether the node may accept requests."""
        is_ready = self.readiness.check(self.installer.number, now)
        return is_ready and not self.membership.is_leaving

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions.

        :param now: time of the monotonic clock in seconds.
        """
        match event:
            case MessageReceived(message):
                actions = self._handle_message(message, now)
            case TimePassed():
                actions = []
            case PullAnswered(address, reply):
                actions = self._handle_pull_reply(address, reply, now)
            case PullFailed(address):
                self.puller.handle_failure(address, now)
                actions = []
            case StoreAnswered():
                actions = self._handle_store_answer(event, now)
            case StoreFailed():
                actions = self._handle_store_failure(event, now)
            case ServerChanged(record):
                actions = self.membership.update_own_record(record, now)
            case ReplicaAnswered(address, reply):
                actions = list(self.replica_manager.handle_reply(address, reply, now))
            case ClaimRequested(ticket, key):
                actions = list(self.claims.request(ticket, key, now))
            case ServerCrashed(fingerprints):
                actions = self.strike_broadcaster.record_crash(fingerprints, now)
            case SuspectRequestAnswered(fingerprint):
                actions = self.strike_broadcaster.pardon(fingerprint, now)
            case ClaimEnded(ticket, run_result, response):
                actions = list(self.claims.complete(ticket, run_result, response))
            case Started():
                actions = self._start(now)
            case StopRequested():
                actions = self._leave(now)
        return actions + self._tick(now)

    def answer_pull(self, request: PullRequest, now: float) -> PullReply:
        """Return the data that a node lacks, or the delay before it may ask again."""
        return self.pull_server.answer(request, now)

    def answer_replica_request(
        self, request: ReplicaRequest, now: float
    ) -> ReplicaReply:
        """Seal a shard of key records, or store copied records."""
        return self.key_records.answer_replica_request(request, now)

    def _start(self, now: float) -> list[Action]:
        self.detector.start(now)
        self.reader.start(now)
        self.zone_monitor.start(now)
        self.replica_manager.start(now)
        self.readiness.start(now)
        self.head_due = now + self.rng.uniform(
            0, self.settings.reader.poll_interval.total_seconds() / 2
        )
        for peer in self.peers:
            self.puller.join(peer, now)
        return []

    def _tick(self, now: float) -> list[Action]:
        """Run each component that is due."""
        actions: list[Action] = []
        self.detector.version_number = self.installer.number
        self.detector.replica_map_number = self.replica_manager.map.number
        if now >= self.membership.wake_at:
            actions += self.membership.tick(now)
        if now >= self.broadcaster.wake_at:
            actions += self.broadcaster.tick(now)
        if now >= self.zone_monitor.wake_at:
            actions += self.zone_monitor.tick(
                now, self.installer.number, self.replica_manager.map.number
            )
        if now >= self.reader.wake_at:
            actions += self._tick_reader(now)
        if now >= self.puller.wake_at:
            buckets = tuple(self.directory.bucket_digests)
            state = SyncState(
                self.installer.number, self.replica_manager.map.number, buckets
            )
            actions += self.puller.tick(now, state)
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
        return actions + self.distribution.tick(now)

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
        """Read the head, and a reader's address if this node has not joined."""
        actions: list[Action] = [CallStore(ReadKey(HEAD_KEY))]
        if not self.has_joined:
            slot = self.rng.randrange(self.settings.reader.slots)
            key = reader_key(self.own_record.zone, slot)
            actions.append(CallStore(ReadKey(key)))
        return actions

    # Messages

    def _handle_message(self, message: Message, now: float) -> list[Action]:
        match message:
            case Ping():
                self._record_peer(message, now)
                return [self.detector.answer_ping(message)]
            case Ack():
                self._record_peer(message, now)
                return list(self.detector.handle_ack(message))
            case Claim():
                reply = self.key_records.answer_claim(message, now)
                return [Send(message.sender, reply)]
            case ClaimReply():
                return list(self.claims.handle_reply(message))
            case ClaimCompletion():
                self.key_records.complete_claim(message)
                return []
            case PingRequest():
                return [self.detector.relay_ping(message, now)]
            case Push():
                return self._handle_push(message, now)
            case PushAck():
                return list(self.broadcaster.handle_ack(message, now))

    def _record_peer(self, message: Ping | Ack, now: float) -> None:
        """Record a peer's state, and schedule a pull of what is newer there."""
        sender, number, digest = message.sender, message.number, message.digest
        if message.keepers > self.replica_manager.map.number:
            self.puller.schedule_replica_map(sender, message.keepers, now)
        self.zone_monitor.record_contact(sender, now)
        self.readiness.record_peer_version(sender, number)
        if number > self.installer.number:
            self.puller.schedule_version(sender, number, now)
        is_quiet = (
            now - self.membership.changed_at
            > self.settings.directory_quiet_period.total_seconds()
        )
        if digest != self.directory.digest and is_quiet:
            self.puller.schedule_directory(sender, now)

    def _handle_push(self, push: Push, now: float) -> list[Action]:
        """Apply a push, acknowledge it, and forward it if it was new."""
        actions: list[Action] = []
        is_new = bool(self.membership.merge(push.records, now, actions))
        is_new |= self._apply_map(push.keepers, now)
        is_new |= bool(self.quarantine.merge_strikes(push.strikes, now))
        is_new |= self.distribution.handle_push(push, now, actions)
        own = self.own_record.node
        actions.append(Send(push.sender, PushAck(push.push_id, own, is_new)))
        update = push.version
        is_held = update is not None and self.installer.number < update.number
        if is_new and not is_held:
            actions += self.distribution.forward_push(push, now)
        return actions

    def _handle_pull_reply(
        self, address: str, reply: PullReply, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        before = self.installer.number
        self.readiness.record_peer_version(address, reply.number)
        self.zone_monitor.record_contact(address, now)
        self.puller.handle_reply(address, reply, now)
        if reply.retry_ms:
            return actions
        self.distribution.handle_pull_reply(reply, actions)
        self._apply_map(reply.keepers, now)
        new_records = self.membership.merge(reply.records, now, actions)
        if not self.has_joined and reply.records:
            self.has_joined = True
            self.membership.queue_change(self.own_record, now)
        if self.membership.is_in_other_zone(address):
            self.membership.rebroadcast(new_records, now)
            if self.installer.number > before:
                actions += self.distribution.broadcast_version(reply.news[-1], now)
        return actions

    # The platform

    def _handle_store_answer(self, answer: StoreAnswered, now: float) -> list[Action]:
        result = self.reader.handle_answer(answer, now)
        actions: list[Action] = list(result.calls)
        for contact in result.contacts:
            if not self.has_joined or contact not in self.directory.records:
                self.puller.join(contact, now)
        if answer.call == ReadKey(HEAD_KEY):
            number = result.record.number if result.record is not None else 0
            self.readiness.record_platform_version(number)
        actions += self.distribution.handle_reader_result(result, now)
        new_map = self.replica_manager.handle_answer(answer, now)
        if new_map is not None:
            self.key_records.apply_map(new_map, now)
            payload = PushPayload(replica_map=new_map)
            actions += self.broadcaster.broadcast(payload, now)
        return actions

    def _apply_map(self, new_map: ReplicaMap | None, now: float) -> bool:
        """Apply a replica map if it is newer; return whether it was."""
        if not self.replica_manager.apply_map(new_map):
            return False
        self.key_records.apply_map(new_map, now)
        return True

    def _handle_store_failure(self, failure: StoreFailed, now: float) -> list[Action]:
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
        """Leave the fleet: release the reader slot and notify all nodes."""
        actions: list[Action] = list(self.reader.stop(now))
        self.replica_manager.stop()
        return actions + self.membership.leave(now)


def first_incarnation(started_at: datetime) -> int:
    """Return the first incarnation of a process; later starts have higher ones.

    :param started_at: wall-clock time of the start.
    :returns: milliseconds since the epoch.
    """
    return int(started_at.timestamp() * 1000)
