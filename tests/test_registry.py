"""This node's record, the watch cache and the members while the store fails."""

import random
import unittest
from datetime import timedelta

from daisylink.errors import ResultCode
from daisylink.registry import (
    Changes,
    EndLease,
    GrantLease,
    Item,
    Lease,
    Listing,
    ListKeys,
    MemberSettings,
    MemberTable,
    Registration,
    RegistrationSettings,
    RenewLease,
    WatchCache,
    WatchCacheSettings,
    WatchKeys,
    WriteRecord,
)
from daisylink.serving import MemberRecord, MemberState, ServerState
from tests.revisions import at

LEASE = Lease(7, timedelta(seconds=3))


def make_registration():
    registration = Registration(RegistrationSettings(), random.Random(1))
    registration.set_record(b"one")
    return registration


def register(registration, now=0.0):
    """Run a registration until its record is written."""
    assert isinstance(registration.tick(now), GrantLease)
    registration.handle_result(LEASE, now)
    assert registration.tick(now) == WriteRecord(7, registration.desired_record)
    registration.handle_result(at(5), now)


class RegistrationTests(unittest.TestCase):
    def test_a_store_down_for_an_hour_ends_no_task(self):
        """The delay after a thousand failures in a row was too large for a float."""
        registration = make_registration()
        now = 0.0
        for _ in range(6000):
            registration.tick(now)
            registration.handle_failure(ResultCode.PLATFORM_UNAVAILABLE, now)
            self.assertLessEqual(registration.wake_at - now, 0.8)
            now = registration.wake_at
        self.assertIsInstance(registration.tick(now), GrantLease)

    def test_a_lease_is_renewed_by_the_time_granted(self):
        """The store grants less than was asked for."""
        registration = make_registration()
        registration.tick(0.0)
        registration.handle_result(Lease(7, timedelta(seconds=1.2)), 0.0)
        registration.tick(0.0)
        registration.handle_result(at(5), 0.0)
        self.assertEqual(registration.tick(0.41), RenewLease(7))
        registration.handle_result(True, 0.41)
        self.assertEqual(registration.tick(0.82), RenewLease(7))

    def test_the_record_is_written_and_its_lease_renewed(self):
        registration = make_registration()
        register(registration)
        self.assertIsNone(registration.tick(0.9))
        self.assertEqual(registration.tick(1.1), RenewLease(7))

    def test_a_change_is_written_while_the_lease_lasts(self):
        registration = make_registration()
        register(registration)
        registration.set_record(b"two")
        self.assertEqual(registration.tick(0.1), WriteRecord(7, b"two"))

    def test_an_expired_lease_is_replaced_at_once(self):
        registration = make_registration()
        register(registration)
        registration.tick(1.1)
        registration.handle_result(False, 1.1)
        register(registration, 1.1)

    def test_a_write_whose_response_was_lost_is_repeated(self):
        registration = make_registration()
        registration.tick(0.0)
        registration.handle_result(LEASE, 0.0)
        registration.tick(0.0)
        registration.handle_failure(ResultCode.PLATFORM_ANSWER_LOST, 0.0)
        self.assertIsNone(registration.tick(0.0))
        self.assertEqual(registration.tick(1.0), WriteRecord(7, b"one"))

    def test_an_unavailable_store_is_called_again_within_a_second(self):
        registration = make_registration()
        now = 0.0
        for _ in range(20):
            now = max(now, registration.wake_at)
            self.assertIsNotNone(registration.tick(now))
            registration.handle_failure(ResultCode.PLATFORM_UNAVAILABLE, now)
            self.assertLessEqual(registration.wake_at - now, 0.8)

    def test_a_record_lost_without_notice_is_written_again(self):
        registration = make_registration()
        register(registration)
        registration.mark_unwritten()
        self.assertEqual(registration.tick(0.1), WriteRecord(7, b"one"))

    def test_leaving_writes_a_last_record_and_ends_the_lease(self):
        registration = make_registration()
        register(registration)
        registration.leave(b"left")
        self.assertEqual(registration.tick(0.1), WriteRecord(7, b"left"))
        registration.handle_result(at(5), 0.1)
        self.assertEqual(registration.tick(0.1), EndLease(7))


class WatchCacheTests(unittest.TestCase):
    def setUp(self):
        self.reported_items = []
        self.watch_cache = WatchCache(
            WatchCacheSettings(),
            self.reported_items.append,
            lambda: None,
            lambda _: None,
            random.Random(1),
        )

    def list(self, items, revision, now=0.0):
        self.assertEqual(self.watch_cache.tick(now), ListKeys())
        self.watch_cache.handle_listing(Listing(items, at(revision)), now)

    def test_the_watch_begins_where_the_listing_ended(self):
        self.list([Item("a", b"1", at(3))], 5)
        call = self.watch_cache.tick(0.0)
        self.assertEqual(call, WatchKeys(at(5), WatchCacheSettings().watch_timeout))

    def test_a_compacted_history_leads_to_a_listing_at_once(self):
        self.list([Item("a", b"1", at(3))], 5)
        self.watch_cache.tick(0.0)
        self.watch_cache.handle_failure(ResultCode.PLATFORM_HISTORY_GONE, 0.0)
        self.list([Item("b", b"2", at(9))], 9)
        self.assertEqual(
            self.reported_items[1:], [Item("a", None, at(9)), Item("b", b"2", at(9))]
        )

    def test_an_older_update_from_a_peer_is_ignored(self):
        self.list([Item("a", b"new", at(8))], 8)
        self.watch_cache.handle_updates([Item("a", b"old", at(4))])
        self.assertEqual(self.watch_cache.values["a"], b"new")

    def test_a_late_update_does_not_restore_a_deleted_key(self):
        self.list([Item("a", b"1", at(3))], 5)
        self.watch_cache.tick(0.0)
        self.watch_cache.handle_changes(Changes([Item("a", None, at(6))], at(6)), 0.0)
        self.watch_cache.handle_updates([Item("a", b"1", at(3))])
        self.assertNotIn("a", self.watch_cache.values)

    def count_watches(self, members, is_reader=False):
        """Count the watches of ten seconds in which a member changes every 50 ms."""
        keys = [Item(f"n{number}", b"", at(1)) for number in range(members)]
        self.watch_cache.set_prefix("n", is_reader)
        self.watch_cache.tick(0.0)
        self.watch_cache.handle_listing(Listing(keys, at(1)), 0.0)
        watches = 0
        for step in range(200):
            if self.watch_cache.tick(step / 20) is not None:
                watches += 1
                changes = Changes([Item("n0", b"", at(2 + step))], at(2 + step))
                self.watch_cache.handle_changes(changes, step / 20)
        return watches

    def test_calls_of_a_changing_fleet_do_not_grow_with_the_square_of_its_nodes(self):
        """Watches that returned one change were most of 6,082 calls on hanbit-grown."""
        self.assertLessEqual(self.count_watches(86), 11)

    def test_readers_batch_changes_for_a_shorter_time(self):
        watches = self.count_watches(86, is_reader=True)
        self.assertGreater(watches, 20)
        self.assertLessEqual(watches, 35)

    def test_an_unavailable_store_is_called_again_within_a_second(self):
        now = 0.0
        for _ in range(20):
            now = max(now, self.watch_cache.wake_at)
            self.assertIsNotNone(self.watch_cache.tick(now))
            self.watch_cache.handle_failure(ResultCode.PLATFORM_UNAVAILABLE, now)
            self.assertLessEqual(self.watch_cache.wake_at - now, 0.8)


class MemberTableTests(unittest.TestCase):
    def setUp(self):
        self.last_response_at = {}
        own_record = MemberRecord("own", "x", 0)
        self.members = MemberTable(
            MemberSettings(),
            own_record,
            lambda node: self.last_response_at.get(node, float("-inf")),
        )
        self.record = MemberRecord("n", "x", 0, pool="p", server=ServerState.SERVING)
        self.members.put(self.record)

    def test_an_expired_record_may_be_written_again_in_time(self):
        self.members.mark_expired("n", 10.0)
        self.assertEqual(self.members.tick(12.0), [])
        self.members.put(self.record)
        self.assertEqual(self.members.tick(20.0), [])
        self.assertIn("n", self.members.serving("p"))

    def test_a_member_whose_record_stays_expired_is_dropped(self):
        self.members.mark_expired("n", 10.0)
        self.assertEqual(self.members.tick(13.0), ["n"])
        self.assertNotIn("n", self.members.serving("p"))

    def test_a_node_that_responds_stays_though_its_record_expired(self):
        """platform_down with revoke deletes keys while their owners cannot write."""
        self.members.mark_expired("n", 10.0)
        self.last_response_at["n"] = 12.4
        self.assertEqual(self.members.tick(12.6), [])
        self.assertEqual(self.members.tick(14.5), ["n"])

    def test_a_node_that_leaves_is_dropped_at_once(self):
        left = MemberRecord("n", "x", 0, MemberState.LEFT, pool="p")
        self.members.put(left)
        self.assertNotIn("n", self.members.serving("p"))

    def test_a_record_of_this_node_from_the_store_is_ignored(self):
        stored = MemberRecord("own", "x", 0, pool="p", server=ServerState.SERVING)
        self.assertFalse(self.members.put(stored))
        self.assertNotIn("own", self.members.serving("p"))
