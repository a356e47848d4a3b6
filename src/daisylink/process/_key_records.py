"""Records of keyed requests that one replica holds.

A key is granted to one claim and to no other while its record is kept. A full shard
refuses new claims instead of dropping old records.
"""

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from daisylink.process._messages import (
    Claim,
    ClaimCompletion,
    ClaimReply,
    KeyRecord,
    Replica,
    ReplicaMap,
    ReplicaReply,
    ReplicaRequest,
    Verdict,
)
from daisylink.process._replicas import EMPTY_TRANSFER


class KeyRecordSettings(NamedTuple):
    """Limits of the records that a replica holds.

    :param ttl: how long a record is kept after its claim.
    :param max_records: maximum number of records per shard.
    :param max_response_bytes: maximum size of the stored responses per shard; older
        ones are dropped, their records stay.
    """

    ttl: timedelta = timedelta(minutes=10)
    max_records: int = 50_000
    max_response_bytes: int = 4 * 1024 * 1024


class ShardRecords:
    """Records of one shard in one epoch.

    :param now: seconds of the monotonic clock, from which the records' ttl counts.
    """

    def __init__(self, epoch: int, records: dict[bytes, KeyRecord], now: float):
        self.epoch = epoch
        self.records = records
        self.sealed = False
        self.order: deque[tuple[float, bytes]] = deque((now, key) for key in records)
        self.response_keys: deque[bytes] = deque()
        self.response_bytes = 0


class KeyRecords:
    """Records of the shards that this node replicates.

    :param own_replica: the own node and its boot, as the replica map names them.
    """

    def __init__(self, settings: KeyRecordSettings, own_replica: Replica):
        self.settings = settings
        self.own_replica = own_replica
        self.shards: dict[int, ShardRecords] = {}
        self.transfers: dict[int, ReplicaRequest] = {}

    def apply_map(self, replica_map: ReplicaMap, now: float) -> None:
        """Start and stop replicating shards as a map says."""
        for shard, placement in enumerate(replica_map.shards):
            if self.own_replica not in placement.keepers:
                self.shards.pop(shard, None)
                continue
            held = self.shards.get(shard)
            if held is not None and held.epoch >= placement.epoch:
                continue
            transfer = self.transfers.get(shard)
            if placement.transfer == EMPTY_TRANSFER:
                self.shards[shard] = ShardRecords(placement.epoch, {}, now)
            elif transfer is not None and transfer.transfer == placement.transfer:
                records = {record.key: record for record in transfer.records}
                self.shards[shard] = ShardRecords(placement.epoch, records, now)
                del self.transfers[shard]
            else:
                self.shards.pop(shard, None)

    def answer_claim(self, claim: Claim, now: float) -> ClaimReply:
        """Grant a claim, or return the reason against it."""
        shard_records = self.shards.get(claim.shard)
        stale = (
            shard_records is None
            or shard_records.sealed
            or shard_records.epoch != claim.epoch
        )
        if stale:
            return self._reply(claim, Verdict.STALE)
        self._expire(shard_records, now)
        record = shard_records.records.get(claim.key)
        if record is None:
            if len(shard_records.records) >= self.settings.max_records:
                return self._reply(claim, Verdict.FULL)
            shard_records.records[claim.key] = KeyRecord(claim.key, claim.claim_id)
            shard_records.order.append((now, claim.key))
            return self._reply(claim, Verdict.GRANTED)
        if record.claim_id == claim.claim_id:
            return self._reply(claim, Verdict.GRANTED)
        return self._reply(claim, Verdict.KNOWN, record)

    def complete_claim(self, completion: ClaimCompletion) -> None:
        """Store a request's response, or drop a claim whose request did not run."""
        shard_records = self.shards.get(completion.shard)
        if shard_records is None or shard_records.sealed:
            return
        record = shard_records.records.get(completion.key)
        if record is None or record.claim_id != completion.claim_id:
            return
        if completion.released:
            del shard_records.records[completion.key]
            return
        shard_records.records[completion.key] = KeyRecord(
            completion.key, completion.claim_id, True, completion.answer
        )
        shard_records.response_keys.append(completion.key)
        shard_records.response_bytes += len(completion.answer)
        self._drop_responses(shard_records)

    def answer_replica_request(
        self, request: ReplicaRequest, now: float
    ) -> ReplicaReply:
        """Seal a shard and return its records, or store the records of a transfer."""
        if not request.seal:
            self.transfers[request.shard] = request
            return ReplicaReply(request.shard, request.epoch, True)
        shard_records = self.shards.get(request.shard)
        if shard_records is None or shard_records.epoch != request.epoch:
            return ReplicaReply(request.shard, request.epoch, False)
        shard_records.sealed = True
        self._expire(shard_records, now)
        records = tuple(shard_records.records.values())
        return ReplicaReply(request.shard, request.epoch, True, records)

    def _reply(
        self, claim: Claim, verdict: Verdict, record: KeyRecord | None = None
    ) -> ClaimReply:
        done = record is not None and record.done
        answer = record.answer if record is not None else b""
        return ClaimReply(claim.claim_id, self.own_replica.node, verdict, done, answer)

    def _expire(self, shard_records: ShardRecords, now: float) -> None:
        oldest = now - self.settings.ttl.total_seconds()
        while shard_records.order and shard_records.order[0][0] < oldest:
            _, key = shard_records.order.popleft()
            shard_records.records.pop(key, None)

    def _drop_responses(self, shard_records: ShardRecords) -> None:
        while shard_records.response_bytes > self.settings.max_response_bytes:
            key = shard_records.response_keys.popleft()
            record = shard_records.records.get(key)
            if record is None:
                continue
            shard_records.response_bytes -= len(record.answer)
            shard_records.records[key] = KeyRecord(key, record.claim_id, True)
