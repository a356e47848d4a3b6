"""Placement of the replicas that hold the records of keyed requests.

Keys are divided into shards; each shard has up to three replicas in different zones,
and an epoch. The map of all shards is one key of the platform, changed only by
compare-and-swap. To replace a dead replica, the shard is sealed at a majority of its
replicas, their records are copied to the new replicas, and only then is the map
swapped, so that every claim granted before is known after. The change is safe if two
nodes make it at once or one stops half-way: sealing is idempotent, copies are
identified by their transfer, and only one swap succeeds.
"""

import random
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

import msgspec

from daisylink.process._directory import Directory
from daisylink.process._events import (
    CallStore,
    CompareAndSwapKey,
    ReadKey,
    ReplicaCall,
    StoreAnswered,
    StoreFailed,
)
from daisylink.process._messages import (
    KeyRecord,
    Replica,
    ReplicaMap,
    ReplicaReply,
    ReplicaRequest,
    ShardPlacement,
)
from daisylink.serving._records import MemberRecord, compute_ring_position
from daisylink.store import Entry

REPLICA_MAP_KEY = "daisylink/keepers"
SHARD_COUNT = 16
REPLICAS_PER_SHARD = 3
EMPTY_TRANSFER = 0
TRANSFER_BITS = 62


class ReplicaSettings(NamedTuple):
    """Intervals and time limits of replica changes.

    :param check_interval: how often a reader looks for shards with a dead replica.
    :param initial_wait: how long the first map waits for more nodes to appear.
    :param change_timeout: time limit for the change of one shard.
    :param lost_majority_wait: how long a shard that lost its majority refuses claims
        before it starts empty; resends within this time never run twice.
    """

    check_interval: timedelta = timedelta(seconds=1)
    initial_wait: timedelta = timedelta(seconds=3)
    change_timeout: timedelta = timedelta(seconds=3)
    lost_majority_wait: timedelta = timedelta(seconds=60)


class ChangePhase(Enum):
    """Phase of the change of one shard."""

    SEALING = "sealing"
    COPYING = "copying"
    SWAPPING = "swapping"


@dataclass
class ReplicaChange:
    """A change of one shard's replicas in progress."""

    shard: int
    phase: ChangePhase
    deadline: float
    placement: ShardPlacement
    records: dict[bytes, KeyRecord]
    answered: set[str]


def majority(placement: ShardPlacement) -> int:
    """Return how many replicas of a shard must agree."""
    return len(placement.keepers) // 2 + 1


def find_shard(key: bytes) -> int:
    """Return the shard of a key's digest."""
    return key[0] % SHARD_COUNT


def choose_replicas(
    shard: int, candidates: list[MemberRecord], kept: tuple[Replica, ...]
) -> tuple[Replica, ...]:
    """Choose the replicas of a shard, in different zones as far as possible.

    :param candidates: live nodes.
    :param kept: replicas that stay.
    """
    chosen = list(kept)
    nodes = {replica.node for replica in chosen}
    zones = {record.zone for record in candidates if record.node in nodes}
    ranked = sorted(
        (record for record in candidates if record.node not in nodes),
        key=lambda record: compute_ring_position(f"{shard}/{record.node}"),
    )
    for need_new_zone in (True, False):
        for record in ranked:
            if len(chosen) >= REPLICAS_PER_SHARD:
                break
            if record.node in nodes or (need_new_zone and record.zone in zones):
                continue
            chosen.append(Replica(record.node, record.boot))
            nodes.add(record.node)
            zones.add(record.zone)
    return tuple(chosen)


class ReplicaManager:
    """Holds the newest map, and changes it if this node is a zone's first reader.

    The map is changed only after it was read from the platform: ``read_number`` is the
    number that was read, -1 if it must be read again.

    :param directory: directory of the live nodes.
    """

    def __init__(
        self, settings: ReplicaSettings, directory: Directory, rng: random.Random
    ):
        self.settings = settings
        self.directory = directory
        self.rng = rng
        self.map = ReplicaMap(0)
        self.map_index = 0
        self.read_number = -1
        self.due = float("inf")
        self.waiting_since: float | None = None
        self.change: ReplicaChange | None = None
        self.lost_since: dict[int, float] = {}
        self.proposed: ReplicaMap | None = None

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due next."""
        if self.change is not None:
            return min(self.due, self.change.deadline)
        return self.due

    def start(self, now: float) -> None:
        """Schedule the first check at a random time within one interval."""
        self.due = now + self.rng.uniform(
            0, self.settings.check_interval.total_seconds()
        )

    def stop(self) -> None:
        """Stop changing the map."""
        self.due = float("inf")
        self.change = None

    def apply_map(self, replica_map: ReplicaMap | None) -> bool:
        """Apply a map if it is newer; return whether it was."""
        if replica_map is None or replica_map.number <= self.map.number:
            return False
        self.map = replica_map
        return True

    def find_placement(self, shard: int) -> ShardPlacement | None:
        """Return where a shard's records are kept, or None before the first map."""
        return self.map.shards[shard] if self.map.shards else None

    def tick(self, now: float, is_first_reader: bool) -> list[CallStore | ReplicaCall]:
        """Return the calls that are due."""
        if self.change is not None and now >= self.change.deadline:
            self.change = None
        if now < self.due:
            return []
        self.due = now + self.settings.check_interval.total_seconds()
        if not is_first_reader or self.change is not None:
            return []
        if self.read_number != self.map.number or not self.map.number:
            return [CallStore(ReadKey(REPLICA_MAP_KEY))]
        return self._begin_change(now)

    def handle_answer(self, answer: StoreAnswered, now: float) -> ReplicaMap | None:
        """Handle a reply of the platform.

        :returns: a map to broadcast, or None.
        """
        match answer.call, answer.result:
            case ReadKey(key), Entry(value, index, _) if key == REPLICA_MAP_KEY:
                self.map_index = index
                read = decode_map(value)
                self.read_number = read.number
                if self.apply_map(read):
                    return read
            case CompareAndSwapKey(key), bool() as done if key == REPLICA_MAP_KEY:
                self.change = None
                self.read_number = -1
                proposed, self.proposed = self.proposed, None
                if done and proposed is not None and self.apply_map(proposed):
                    return proposed
        return None

    def handle_failure(self, failure: StoreFailed) -> None:
        """Abandon the change if its swap failed; the map is read again later."""
        if (
            isinstance(failure.call, CompareAndSwapKey)
            and failure.call.key == REPLICA_MAP_KEY
        ):
            self.change = None
            self.read_number = -1

    def handle_reply(
        self, node: str, reply: ReplicaReply, now: float
    ) -> list[CallStore | ReplicaCall]:
        """Handle a replica's reply to a seal or a copy."""
        change = self.change
        if change is None or reply.shard != change.shard or not reply.done:
            return []
        match change.phase:
            case ChangePhase.SEALING if reply.epoch == change.placement.epoch - 1:
                for record in reply.records:
                    merge_record(change.records, record)
                change.answered.add(node)
                return self._copy(change)
            case ChangePhase.COPYING if reply.epoch == change.placement.epoch:
                change.answered.add(node)
                return self._swap(change)
        return []

    def _begin_change(self, now: float) -> list[CallStore | ReplicaCall]:
        """Begin to replace the missing replicas of the first shard that lacks any.

        The shard is sealed. One that lost its majority refuses claims for a while and
        then starts empty.
        """
        for shard, placement in enumerate(self.map.shards):
            alive = tuple(
                replica for replica in placement.keepers if self._is_alive(replica)
            )
            new_replicas = choose_replicas(shard, self._candidates(), alive)
            if len(alive) == len(placement.keepers) and len(new_replicas) == len(alive):
                self.lost_since.pop(shard, None)
                continue
            if len(alive) < majority(placement):
                since = self.lost_since.setdefault(shard, now)
                if now - since < self.settings.lost_majority_wait.total_seconds():
                    continue
                return self._start_empty(shard, placement, new_replicas, now)
            return self._seal(shard, placement, alive, new_replicas, now)
        return []

    def _seal(
        self,
        shard: int,
        placement: ShardPlacement,
        alive: tuple[Replica, ...],
        new_replicas: tuple[Replica, ...],
        now: float,
    ) -> list[CallStore | ReplicaCall]:
        transfer = self.rng.getrandbits(TRANSFER_BITS) + 1
        new_placement = ShardPlacement(placement.epoch + 1, transfer, new_replicas)
        deadline = now + self.settings.change_timeout.total_seconds()
        self.change = ReplicaChange(
            shard, ChangePhase.SEALING, deadline, new_placement, {}, set()
        )
        request = ReplicaRequest(shard, placement.epoch, seal=True)
        return [ReplicaCall(replica.node, request) for replica in alive]

    def _copy(self, change: ReplicaChange) -> list[CallStore | ReplicaCall]:
        """Copy the records once a majority of the old replicas is sealed."""
        old_placement = self.map.shards[change.shard]
        if len(change.answered) < majority(old_placement):
            return []
        change.phase = ChangePhase.COPYING
        change.answered = set()
        placement = change.placement
        records = tuple(change.records.values())
        request = ReplicaRequest(
            change.shard, placement.epoch, transfer=placement.transfer, records=records
        )
        return [ReplicaCall(replica.node, request) for replica in placement.keepers]

    def _swap(self, change: ReplicaChange) -> list[CallStore | ReplicaCall]:
        """Swap the map once a majority of the new replicas has the records."""
        if len(change.answered) < majority(change.placement):
            return []
        change.phase = ChangePhase.SWAPPING
        return [self._propose(change.shard, change.placement)]

    def _start_empty(
        self,
        shard: int,
        placement: ShardPlacement,
        new_replicas: tuple[Replica, ...],
        now: float,
    ) -> list[CallStore | ReplicaCall]:
        deadline = now + self.settings.change_timeout.total_seconds()
        empty = ShardPlacement(placement.epoch + 1, EMPTY_TRANSFER, new_replicas)
        self.change = ReplicaChange(
            shard, ChangePhase.SWAPPING, deadline, empty, {}, set()
        )
        del self.lost_since[shard]
        return [self._propose(shard, empty)]

    def _propose(self, shard: int, placement: ShardPlacement) -> CallStore:
        shards = list(self.map.shards)
        shards[shard] = placement
        self.proposed = ReplicaMap(self.map.number + 1, tuple(shards))
        value = msgspec.json.encode(self.proposed)
        return CallStore(CompareAndSwapKey(REPLICA_MAP_KEY, value, self.map_index))

    def propose_initial_map(self, now: float) -> list[CallStore]:
        """Return the call that writes the first map, once there are enough nodes."""
        if self.map.number or self.read_number != 0:
            return []
        if self.waiting_since is None:
            self.waiting_since = now
        waited = now - self.waiting_since >= self.settings.initial_wait.total_seconds()
        candidates = self._candidates()
        if len(candidates) < REPLICAS_PER_SHARD and not waited:
            return []
        shards = tuple(
            ShardPlacement(1, EMPTY_TRANSFER, choose_replicas(shard, candidates, ()))
            for shard in range(SHARD_COUNT)
        )
        self.proposed = ReplicaMap(1, shards)
        self.read_number = -1
        value = msgspec.json.encode(self.proposed)
        return [CallStore(CompareAndSwapKey(REPLICA_MAP_KEY, value, 0))]

    def _candidates(self) -> list[MemberRecord]:
        records = self.directory.records.values()
        return [record for record in records if record.is_alive and record.boot]

    def _is_alive(self, replica: Replica) -> bool:
        record = self.directory.records.get(replica.node)
        return record is not None and record.is_alive and record.boot == replica.boot


def merge_record(records: dict[bytes, KeyRecord], record: KeyRecord) -> None:
    """Add a record; one with a response replaces one without."""
    held = records.get(record.key)
    if held is None or (record.done and not held.done):
        records[record.key] = record


def decode_map(value: bytes | None) -> ReplicaMap:
    """Decode a map of the platform; an absent or damaged one gets number 0."""
    if value is None:
        return ReplicaMap(0)
    try:
        return msgspec.json.decode(value, type=ReplicaMap)
    except msgspec.MsgspecError:
        return ReplicaMap(0)
