"""Records of a replica: seals, transfers, late and duplicate messages, limits."""

import unittest

from daisylink.process._key_records import KeyRecords, KeyRecordSettings
from daisylink.process._messages import (
    Claim,
    ClaimCompletion,
    KeyRecord,
    Replica,
    ReplicaMap,
    ReplicaRequest,
    ShardPlacement,
    Verdict,
)

OWN = Replica("10.0.0.1:1", 7)
KEY = bytes(16)


def make_map(number, epoch, transfer, replicas=(OWN,)):
    return ReplicaMap(number, (ShardPlacement(epoch, transfer, replicas),))


def claim(claim_id, epoch=1, key=KEY):
    return Claim(claim_id, "10.0.0.2:1", 0, epoch, key)


class KeyRecordsTests(unittest.TestCase):
    def setUp(self):
        self.key_records = KeyRecords(KeyRecordSettings(max_response_bytes=100), OWN)
        self.key_records.apply_map(make_map(1, 1, 0), 0.0)

    def verdict(self, *arguments, now=1.0, **options):
        return self.key_records.answer_claim(claim(*arguments, **options), now).verdict

    def test_a_duplicate_claim_is_granted_again_but_no_other(self):
        self.assertIs(self.verdict(5), Verdict.GRANTED)
        self.assertIs(self.verdict(5), Verdict.GRANTED)
        self.assertIs(self.verdict(6), Verdict.KNOWN)

    def test_a_late_release_of_another_claim_changes_nothing(self):
        self.verdict(5)
        self.key_records.complete_claim(ClaimCompletion(6, 0, KEY, b"", True))
        self.assertIs(self.verdict(6), Verdict.KNOWN)
        self.key_records.complete_claim(ClaimCompletion(5, 0, KEY, b"", True))
        self.assertIs(self.verdict(6), Verdict.GRANTED)

    def test_a_sealed_shard_grants_nothing_and_gives_its_records(self):
        self.verdict(5)
        reply = self.key_records.answer_replica_request(
            ReplicaRequest(0, 1, seal=True), 1.0
        )
        self.assertEqual([record.claim_id for record in reply.records], [5])
        self.assertIs(self.verdict(7, key=bytes(15) + b"x"), Verdict.STALE)
        again = self.key_records.answer_replica_request(
            ReplicaRequest(0, 1, seal=True), 1.0
        )
        self.assertEqual(again, reply)

    def test_only_the_transfer_that_the_map_names_is_served(self):
        self.verdict(5)
        records = self.key_records.answer_replica_request(
            ReplicaRequest(0, 1, seal=True), 1.0
        ).records
        for transfer in (11, 12):
            request = ReplicaRequest(0, 2, transfer=transfer, records=records)
            self.key_records.answer_replica_request(request, 1.0)
        self.key_records.apply_map(make_map(2, 2, 11), 2.0)
        self.assertIs(self.verdict(6, epoch=2), Verdict.STALE)
        self.key_records.apply_map(make_map(3, 3, 12), 2.0)
        self.assertIs(self.verdict(6, epoch=3), Verdict.KNOWN)

    def test_a_restarted_process_holds_no_records(self):
        restarted = KeyRecords(KeyRecordSettings(), Replica(OWN.node, 8))
        restarted.apply_map(make_map(1, 1, 0), 0.0)
        self.assertIs(restarted.answer_claim(claim(5), 1.0).verdict, Verdict.STALE)

    def test_responses_are_dropped_before_records(self):
        for number in range(9):
            key = bytes([0, number]) + bytes(14)
            self.verdict(number, key=key)
            self.key_records.complete_claim(
                ClaimCompletion(number, 0, key, b"x" * 30, False)
            )
        first = self.key_records.answer_claim(claim(99, key=bytes(16)), 1.0)
        self.assertEqual((first.verdict, first.done, first.answer), (1, True, b""))
        last = self.key_records.answer_claim(
            claim(99, key=bytes([0, 8]) + bytes(14)), 1.0
        )
        self.assertEqual(len(last.answer), 30)

    def test_records_expire_after_their_ttl(self):
        self.verdict(5)
        self.assertIs(self.verdict(6, now=599.0), Verdict.KNOWN)
        self.assertIs(self.verdict(6, now=602.0), Verdict.GRANTED)

    def test_a_key_granted_again_after_a_release_has_its_full_ttl(self):
        self.verdict(5)
        self.key_records.complete_claim(ClaimCompletion(5, 0, KEY, b"", True))
        self.assertIs(self.verdict(6, now=599.0), Verdict.GRANTED)
        self.key_records.complete_claim(ClaimCompletion(6, 0, KEY, b"", False))
        self.assertIs(self.verdict(7, now=602.0), Verdict.KNOWN)
        self.assertIs(self.verdict(8, now=1198.0), Verdict.KNOWN)

    def test_expired_responses_leave_room_for_new_ones(self):
        for number, now in ((1, 1.0), (2, 700.0), (3, 1400.0)):
            self.verdict(number, now=now)
            completion = ClaimCompletion(number, 0, KEY, b"x" * 60, False)
            self.key_records.complete_claim(completion)
        reply = self.key_records.answer_claim(claim(99), 1400.0)
        self.assertEqual(len(reply.answer), 60)

    def test_transferred_and_repeated_responses_count_once(self):
        records = tuple(
            KeyRecord(bytes([9, n] * 8), n, True, b"x" * 40) for n in (1, 2)
        )
        request = ReplicaRequest(0, 2, transfer=11, records=records)
        self.key_records.answer_replica_request(request, 1.0)
        self.key_records.apply_map(make_map(2, 2, 11), 2.0)
        self.verdict(5, epoch=2)
        for _ in range(2):
            completion = ClaimCompletion(5, 0, KEY, b"x" * 40, False)
            self.key_records.complete_claim(completion)
        sizes = [
            len(self.key_records.answer_claim(claim(99, 2, key), 3.0).answer)
            for key in (records[0].key, records[1].key, KEY)
        ]
        self.assertEqual(sizes, [0, 40, 40])
