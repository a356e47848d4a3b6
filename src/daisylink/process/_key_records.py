"""Records of keyed requests that one replica holds.

A key is granted to one claim and to no other while its record is kept. A full shard
refuses new claims instead of dropping old records.
"""

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
    """Records of one shard in one epoch, with the times and sizes that bound them.

    :param now: seconds of the monotonic clock, from which the records' ttl counts.
    """

    def __init__(self, epoch: int, records: dict[bytes, KeyRecord], now: float):
        self.epoch = epoch
        self.records: dict[bytes, KeyRecord] = {}
        self.sealed = False
        # Both in the order in which they were added.
        self.granted_at: dict[bytes, float] = {}
        self.response_sizes: dict[bytes, int] = {}
        self.response_bytes = 0
        for key, record in records.items():
            self.grant(key, record, now)
            self.store_response(record)

    def grant(self, key: bytes, record: KeyRecord, now: float) -> None:
        """Add the record of a granted claim."""
        self.records[key] = record
        self.granted_at[key] = now

    def remove(self, key: bytes) -> None:
        """Remove a record with its response."""
        del self.records[key]
        del self.granted_at[key]
        self._forget_response(key)

    def store_response(self, record: KeyRecord) -> None:
        """Replace a record by one with a response."""
        self._forget_response(record.key)
        self.records[record.key] = record
        if record.answer:
            self.response_sizes[record.key] = len(record.answer)
            self.response_bytes += len(record.answer)

    def expire(self, oldest: float) -> None:
        """Remove the records granted before a time."""
        while self.granted_at:
            key, granted_at = next(iter(self.granted_at.items()))
            if granted_at >= oldest:
                return
            self.remove(key)

    def drop_responses(self, max_bytes: int) -> None:
        """Drop the oldest responses beyond a size; their records stay."""
        while self.response_bytes > max_bytes:
            key = next(iter(self.response_sizes))
            self._forget_response(key)
            self.records[key] = KeyRecord(key, self.records[key].claim_id, True)

    def _forget_response(self, key: bytes) -> None:
        self.response_bytes -= self.response_sizes.pop(key, 0)


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
            shard_records.grant(claim.key, KeyRecord(claim.key, claim.claim_id), now)
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
            shard_records.remove(completion.key)
            return
        shard_records.store_response(
            KeyRecord(completion.key, completion.claim_id, True, completion.answer)
        )
        shard_records.drop_responses(self.settings.max_response_bytes)

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
        shard_records.expire(now - self.settings.ttl.total_seconds())
