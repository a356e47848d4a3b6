"""Discrete-event simulator of a fleet: nodes, network and platform in one process.

Runs the real fleet logic on an event queue in simulated time, without sockets.
Messages can be delayed, lost and blocked by partitions.
"""

import heapq
import random
from collections import Counter
from datetime import timedelta
from itertools import count

import msgspec

from daisylink.clock import ManualClock
from daisylink.errors import PlatformError, ResultCode
from daisylink.process import (
    FleetNode,
    FleetSettings,
    MemberRecord,
    ServerState,
    encode_message,
)
from daisylink.process._events import (
    AcquireKey,
    CallStore,
    ClaimDecided,
    CompareAndSwapKey,
    GrantLease,
    MessageReceived,
    Pull,
    PullAnswered,
    PullFailed,
    ReadKey,
    RenewLease,
    ReplicaAnswered,
    ReplicaCall,
    RevokeLease,
    Send,
    Started,
    StoreAnswered,
    StoreFailed,
    TimePassed,
    VersionInstalled,
    WatchKey,
)
from daisylink.standin import MemoryStore
from daisylink.store import Entry

# IPv4 and UDP headers.
HEADER_BYTES = 28
# Overhead of a pull's request, and of its reply.
STREAM_BYTES = 200
STORE_SECONDS = 0.003
PULL_TIMEOUT_SECONDS = 1.0
# One-way delays within a zone, between zones of a region, and between regions.
LOCAL_SECONDS = 0.0005
ZONE_SECONDS = 0.001
REGION_SECONDS = 0.030
ZONES_IN_REGION = 3


class Host:
    """A simulated node.

    :param fleet: the node's fleet logic.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.alive = True
        self.paused_until = 0.0
        self.timer = float("inf")
        self.bytes_out = 0
        self.bytes_in = 0
        self.messages_sent = 0
        self.installed_at = {}
        self.installed_numbers = []
        self.claim_outcomes = {}


class FleetSimulator:
    """Nodes, the platform and the network between them.

    If ``on_action`` is set, it is called with a node and each action that the node
    returns; the action is performed only if the call returns false.

    :param seed: seed of all random numbers.
    :param loss_rate: share of datagrams that are lost.
    """

    def __init__(self, seed=1, loss_rate=0.0):
        self.rng = random.Random(seed)
        self.loss_rate = loss_rate
        self.clock = ManualClock()
        self.now = 0.0
        self.queue = []
        self.sequence = count()
        self.hosts = {}
        self.zones = []
        self.partitions = set()
        self.store = MemoryStore(self.clock, 2000, 300)
        self.store_down = False
        self.lose_answers = 0
        self.watches = []
        self.store_call_counts = Counter()
        self.on_action = None
        self.all_claim_outcomes = []

    # Set-up

    def add(self, zone, settings=None, peers=(), number=None, start=True):
        """Add a node to a zone and return it.

        :param peers: addresses of nodes to contact first.
        :param number: number that the address is made from, the next one by default.
        :param start: whether to start the node.
        """
        if zone not in self.zones:
            self.zones.append(zone)
        number = len(self.hosts) if number is None else number
        name = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8082"
        incarnation = round(self.now * 1000) + 1000
        record = MemberRecord(
            name, zone, incarnation, relay=name[:-1] + "1", pool="p",
            server=ServerState.SERVING, slots=10, boot=incarnation,
        )  # fmt: skip
        rng = random.Random(self.rng.getrandbits(64))
        fleet = FleetNode(settings or FleetSettings(), record, tuple(peers), rng)
        host = Host(fleet)
        self.hosts[name] = host
        if start:
            self.deliver_event(host, Started())
        return host

    def preload(self, version):
        """Make all nodes ready, with the complete directory and a version in force."""
        hosts = list(self.hosts.values())
        first = hosts[0].fleet.directory
        for host in hosts[1:]:
            first.merge(host.fleet.own_record, self.now)
        for host in hosts:
            directory = host.fleet.directory
            directory.records = dict(first.records)
            directory.positions = first.positions
            directory.bucket_digests = list(first.bucket_digests)
            directory.zone_rings = {z: list(r) for z, r in first.zone_rings.items()}
            directory.serving_by_pool = {
                p: dict(m) for p, m in first.serving_by_pool.items()
            }
            host.fleet.installer.current = version
            host.fleet.has_joined = True
            host.fleet.readiness.was_ready = True

    # Faults

    def kill(self, host):
        """Stop a node at once, as in a crash."""
        host.alive = False

    def restart(self, host):
        """Restart a stopped node under the same address, without its state."""
        own_record = host.fleet.own_record
        number = sum(
            int(part) << shift
            for part, shift in zip(
                own_record.node[3:-5].split("."), (16, 8, 0), strict=True
            )
        )
        return self.add(own_record.zone, host.fleet.settings, host.fleet.peers, number)

    def partition(self, first, second):
        """Block traffic between two zones, or between a zone and the platform."""
        self.partitions |= {(first, second), (second, first)}

    def heal_partitions(self):
        """Remove all partitions."""
        self.partitions.clear()

    # Running

    def run(self, seconds, until=None):
        """Run for a simulated time or until a condition holds.

        :returns: whether the condition held.
        """
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, kind, host, payload = heapq.heappop(self.queue)
            self.clock.monotonic_seconds = self.now
            self._dispatch(kind, host, payload)
            if until is not None and until():
                return True
        self.now = self.clock.monotonic_seconds = end
        return until is not None and until()

    def call_later(self, seconds, call):
        """Call a function after a simulated delay."""
        self._push(seconds, "call", None, call)

    def _push(self, delay, kind, host, payload):
        entry = (self.now + delay, next(self.sequence), kind, host, payload)
        heapq.heappush(self.queue, entry)

    def _dispatch(self, kind, host, payload):
        if kind == "call":
            payload()
            return
        if not host.alive:
            return
        if host.paused_until > self.now:
            self._push(host.paused_until - self.now, kind, host, payload)
            return
        if kind == "timer":
            if payload == host.timer:
                host.timer = float("inf")
                self.deliver_event(host, TimePassed())
        elif kind == "pull":
            self._answer_pull(host, *payload)
        elif kind == "keep":
            sender, request = payload
            reply = host.fleet.answer_replica_request(request, self.now)
            event = ReplicaAnswered(host.fleet.own_record.node, reply)
            self._push(self._draw_delay(host, sender), "event", sender, event)
        elif kind == "store":
            self._answer_store(host, payload)
        else:
            if isinstance(payload, MessageReceived):
                host.bytes_in += self._datagram_size(payload.message)
            self.deliver_event(host, payload)

    def deliver_event(self, host, event):
        """Let a node handle an event, and perform the actions that it returns."""
        before = host.fleet.installer.number
        actions = host.fleet.handle(event, self.now)
        after = host.fleet.installer.number
        if after != before:
            host.installed_numbers.append(after)
        for action in actions:
            if self.on_action is None or not self.on_action(host, action):
                self.perform_action(host, action)
        wake = host.fleet.wake_at
        if wake < host.timer:
            host.timer = wake
            self._push(max(0.0, wake - self.now), "timer", host, wake)

    def perform_action(self, host, action):
        """Perform an action of a node without calling ``on_action``."""
        match action:
            case Send(address, message):
                size = self._datagram_size(message)
                host.bytes_out += size
                host.messages_sent += 1
                target = self.hosts.get(address)
                if target is None or self._is_partitioned(host, target):
                    return
                if self.rng.random() < self.loss_rate:
                    return
                event = MessageReceived(message)
                self._push(self._draw_delay(host, target), "event", target, event)
            case Pull(address, request):
                self._send_pull(host, address, request)
            case ReplicaCall(address, request):
                self._send_replica_call(host, address, request)
            case ClaimDecided(ticket, outcome):
                host.claim_outcomes[ticket] = outcome
                self.all_claim_outcomes.append(outcome)
            case CallStore(call):
                self._push(STORE_SECONDS, "store", host, call)
            case VersionInstalled(version):
                host.installed_at[version.number] = self.now

    def _datagram_size(self, message):
        return len(encode_message(message)) + HEADER_BYTES

    def _draw_delay(self, host, target):
        first, second = host.fleet.own_record.zone, target.fleet.own_record.zone
        base = LOCAL_SECONDS
        if first != second:
            regions = [self.zones.index(z) // ZONES_IN_REGION for z in (first, second)]
            base = ZONE_SECONDS if regions[0] == regions[1] else REGION_SECONDS
        return base * self.rng.uniform(0.8, 1.6)

    def _is_partitioned(self, host, target):
        return (
            host.fleet.own_record.zone,
            target.fleet.own_record.zone,
        ) in self.partitions

    def _send_pull(self, host, address, request):
        size = len(msgspec.msgpack.encode(request)) + STREAM_BYTES
        host.bytes_out += size
        host.messages_sent += 1
        target = self.hosts.get(address)
        is_unreachable = (
            target is None or not target.alive or target.paused_until > self.now
        )
        if is_unreachable or self._is_partitioned(host, target):
            self._push(PULL_TIMEOUT_SECONDS, "event", host, PullFailed(address))
            return
        target.bytes_in += size
        self._push(self._draw_delay(host, target), "pull", target, (host, request))

    def _answer_pull(self, target, host, request):
        reply = target.fleet.answer_pull(request, self.now)
        size = len(msgspec.msgpack.encode(reply)) + STREAM_BYTES
        target.bytes_out += size
        target.messages_sent += 1
        host.bytes_in += size
        event = PullAnswered(target.fleet.own_record.node, reply)
        self._push(self._draw_delay(host, target), "event", host, event)

    def _send_replica_call(self, host, address, request):
        target = self.hosts.get(address)
        if (
            target is not None
            and target.alive
            and not self._is_partitioned(host, target)
        ):
            self._push(self._draw_delay(host, target), "keep", target, (host, request))

    # The platform

    def fail_store_call(self, host, call, takes_effect):
        """Fail a store call.

        :param takes_effect: whether the call is done and only its answer is lost.
        """
        code = ResultCode.PLATFORM_UNAVAILABLE
        if takes_effect and not isinstance(call, WatchKey):
            self._perform_store_call(call)
            code = ResultCode.PLATFORM_ANSWER_LOST
        self._push(STORE_SECONDS, "event", host, StoreFailed(call, code))

    def fail_pull(self, host, pull):
        """Fail a pull by a timeout."""
        self._push(PULL_TIMEOUT_SECONDS, "event", host, PullFailed(pull.address))

    def _answer_store(self, host, call):
        self.store_call_counts[type(call).__name__] += 1
        is_cut_off = (host.fleet.own_record.zone, "platform") in self.partitions
        if self.store_down or is_cut_off:
            failure = StoreFailed(call, ResultCode.PLATFORM_UNAVAILABLE)
            self._push(STORE_SECONDS, "event", host, failure)
            return
        if isinstance(call, WatchKey):
            entry = self._read_entry(call.key)
            if entry.index == call.watch_index:
                self.watches.append((host, call))
                seconds = call.wait / timedelta(seconds=1)
                self._push(seconds, "call", None, lambda: self._end_watch(host, call))
                return
        try:
            result = self._perform_store_call(call)
        except PlatformError as error:
            self._push(STORE_SECONDS, "event", host, StoreFailed(call, error.code))
            return
        if self.lose_answers and not isinstance(call, ReadKey | WatchKey):
            self.lose_answers -= 1
            failure = StoreFailed(call, ResultCode.PLATFORM_ANSWER_LOST)
            self._push(STORE_SECONDS, "event", host, failure)
            return
        self._push(STORE_SECONDS, "event", host, StoreAnswered(call, result))

    def _perform_store_call(self, call):
        store = self.store
        match call:
            case ReadKey(key) | WatchKey(key, _, _):
                store.count_read("get")
                return self._read_entry(key)
            case GrantLease(duration):
                store.count_write("lease")
                return store.grant_lease(duration)
            case RenewLease(lease_id):
                store.count_write("lease")
                return store.renew_lease(lease_id)
            case RevokeLease(lease_id):
                store.revoke_lease(lease_id)
                return True
            case AcquireKey(key, value, lease_id):
                store.count_write("put")
                return store.acquire(key, value, lease_id)
            case CompareAndSwapKey(key, value, index):
                store.count_write("put")
                return store.put(key, value, index)

    def _read_entry(self, key):
        entry = self.store.get(key)
        if entry is None:
            return Entry(None, 0, self.store.index)
        return Entry(entry.value, entry.index, entry.index)

    def _end_watch(self, host, call):
        if (host, call) in self.watches:
            self._answer_watch(host, call)

    def _answer_watch(self, host, call):
        """Answer a watch, or fail it if the platform cannot reach the node."""
        self.watches.remove((host, call))
        if (
            self.store_down
            or (host.fleet.own_record.zone, "platform") in self.partitions
        ):
            self.fail_store_call(host, call, takes_effect=False)
            return
        answer = StoreAnswered(call, self._read_entry(call.key))
        self._push(STORE_SECONDS, "event", host, answer)

    def notify_watches(self, key):
        """Answer the open watches of a key that changed."""
        for host, call in [item for item in self.watches if item[1].key == key]:
            self._answer_watch(host, call)
