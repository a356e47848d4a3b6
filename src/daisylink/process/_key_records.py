"""Records of keyed requests, as one keeper holds them.

A record is granted to one claim and never to a second one while it is kept. When the
ledger is full it refuses new claims rather than forget old ones.
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
    """Bounds of a keeper's memory.

    :param ttl: how long a record is kept after its claim.
    :param max_records: most records of one shard.
    :param max_answer_bytes: most bytes of answers of one shard; older ones are dropped,
        their records stay.
    """

    ttl: timedelta = timedelta(minutes=10)
    max_records: int = 50_000
    max_answer_bytes: int = 4 * 1024 * 1024


class ShardRecords:
    """Records of one shard in one epoch."""

    def __init__(self, epoch: int, records: dict[bytes, KeyRecord], now: float):
        self.epoch = epoch
        self.records = records
        self.sealed = False
        self.order: deque[tuple[float, bytes]] = deque((now, key) for key in records)
        self.answers: deque[bytes] = deque()
        self.answer_bytes = 0


class KeyRecords:
    """The shards that this node keeps.

    :param own_replica: the node and its boot, as the map names it.
    """

    def __init__(self, settings: KeyRecordSettings, own_replica: Replica):
        self.settings = settings
        self.own_replica = own_replica
        self.shards: dict[int, ShardRecords] = {}
        self.transfers: dict[int, ReplicaRequest] = {}

    def apply_map(self, replica_map: ReplicaMap, now: float) -> None:
        """Begin and end keeping shards as a map says."""
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
        """Grant a claim, or say why not."""
        ledger = self.shards.get(claim.shard)
        stale = ledger is None or ledger.sealed or ledger.epoch != claim.epoch
        if stale:
            return self._reply(claim, Verdict.STALE)
        self._expire(ledger, now)
        record = ledger.records.get(claim.key)
        if record is None:
            if len(ledger.records) >= self.settings.max_records:
                return self._reply(claim, Verdict.FULL)
            ledger.records[claim.key] = KeyRecord(claim.key, claim.claim_id)
            ledger.order.append((now, claim.key))
            return self._reply(claim, Verdict.GRANTED)
        if record.claim_id == claim.claim_id:
            return self._reply(claim, Verdict.GRANTED)
        return self._reply(claim, Verdict.KNOWN, record)

    def complete_claim(self, settle: ClaimCompletion) -> None:
        """Note a claim's answer, or forget a claim that was certainly not run."""
        ledger = self.shards.get(settle.shard)
        if ledger is None or ledger.sealed:
            return
        record = ledger.records.get(settle.key)
        if record is None or record.claim_id != settle.claim_id:
            return
        if settle.released:
            del ledger.records[settle.key]
            return
        ledger.records[settle.key] = KeyRecord(
            settle.key, settle.claim_id, True, settle.answer
        )
        ledger.answers.append(settle.key)
        ledger.answer_bytes += len(settle.answer)
        self._drop_answers(ledger)

    def answer_replica_request(
        self, request: ReplicaRequest, now: float
    ) -> ReplicaReply:
        """Seal a shard and give its records, or take the records of a transfer."""
        if not request.seal:
            self.transfers[request.shard] = request
            return ReplicaReply(request.shard, request.epoch, True)
        ledger = self.shards.get(request.shard)
        if ledger is None or ledger.epoch != request.epoch:
            return ReplicaReply(request.shard, request.epoch, False)
        ledger.sealed = True
        self._expire(ledger, now)
        records = tuple(ledger.records.values())
        return ReplicaReply(request.shard, request.epoch, True, records)

    def _reply(
        self, claim: Claim, verdict: Verdict, record: KeyRecord | None = None
    ) -> ClaimReply:
        done = record is not None and record.done
        answer = record.answer if record is not None else b""
        return ClaimReply(claim.claim_id, self.own_replica.node, verdict, done, answer)

    def _expire(self, ledger: ShardRecords, now: float) -> None:
        oldest = now - self.settings.ttl.total_seconds()
        while ledger.order and ledger.order[0][0] < oldest:
            _, key = ledger.order.popleft()
            ledger.records.pop(key, None)

    def _drop_answers(self, ledger: ShardRecords) -> None:
        while ledger.answer_bytes > self.settings.max_answer_bytes:
            key = ledger.answers.popleft()
            record = ledger.records.get(key)
            if record is None:
                continue
            ledger.answer_bytes -= len(record.answer)
            ledger.records[key] = KeyRecord(key, record.claim_id, True)
