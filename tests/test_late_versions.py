"""Accepted versions reach every node while leases lapse and links are full."""

import asyncio
import random
import unittest
import unittest.mock

from daisylink import platform
from daisylink.http_server import WebRequest
from daisylink.registry import (
    NO_REVISION,
    Item,
    ListKeys,
    MemberSettings,
    MemberTable,
    ReaderRole,
    ReaderSettings,
    SourceSelector,
    SourceSelectorSettings,
    WatchCache,
    WatchCacheSettings,
)
from daisylink.serving import MemberRecord
from daisylink.sidecar._change_feed import KeyUpdates
from daisylink.sidecar._compressed_version import (
    COMPRESSED_VERSION_KEY,
    CompressedVersion,
)
from daisylink.sidecar._fleet_state import FLEET_PREFIX
from tests.sidecar_case import ONE_READER, Machine, SidecarTestCase
from tests.test_platform import make_configuration

FLEET_SIZE = 85
# A configuration passes this link in more than the timeout of a read.
NARROW_BYTES_PER_SECOND = 200
NARROW_SECONDS = 30.0


def make_version(number):
    return make_configuration().replace(b"r12", b"r%d" % number)


class LapsedLeaseTests(SidecarTestCase):
    def test_a_lapse_of_all_leases_makes_no_follower_read_the_configuration(self):
        """All records are gone for a moment, as if the fleet were small."""

        async def scenario(store, *machines):
            _, others = await self.select_reader(machines)
            for lease in list(store.leases):
                store.end_lease(lease)
            prefixes = set()
            for step in range(40):
                await asyncio.sleep(0.1)
                prefixes.update(m.sidecar.watch_cache.prefix for m in others)
                if step % 10 == 0:
                    for machine in machines:
                        await machine.send_heartbeat()
            self.assertEqual(prefixes, {FLEET_PREFIX})

        self.run_machines(scenario, count=4)


class LapsedRankTests(unittest.TestCase):
    def setUp(self):
        own = MemberRecord("n84", "z0", 0, link_mbps=50.0)
        self.members = MemberTable(MemberSettings(), own, lambda _: float("-inf"))
        for number in range(FLEET_SIZE - 1):
            self.members.put(
                MemberRecord(f"n{number}", f"z{number % 4}", 0, link_mbps=100.0)
            )
        selector = SourceSelector(SourceSelectorSettings(), "n84", "z0")
        self.role = ReaderRole(ReaderSettings(), self.members, selector, FLEET_PREFIX)
        self.role.update_rank()

    def test_no_follower_is_a_reader_while_records_leave_and_return_one_by_one(self):
        ranks = [self.role.rank]
        names = [f"n{number}" for number in range(FLEET_SIZE - 1)]
        for name in names:
            self.members.mark_expired(name, 10.0)
            self.role.update_rank()
        ranks.append(self.role.rank)
        for name in names:
            self.members.put(self.members.records[name])
            self.role.update_rank()
            ranks.append(self.role.rank)
        self.assertEqual(set(ranks), {None})

    def test_no_follower_is_a_reader_while_a_third_of_the_records_is_missing(self):
        """The readers were among them, and slow writers took longer than others."""
        readers = list(self.role.source_selector.readers)
        names = readers + [f"n{number}" for number in range(0, FLEET_SIZE - 1, 3)]
        ranks = []
        for number, name in enumerate(names):
            self.members.mark_expired(name, 10.0 + number * 0.01)
            self.role.update_rank()
            ranks.append(self.role.rank)
        answering = unittest.mock.patch.object(
            self.members, "last_response_at", lambda _: 15.0
        )
        with answering:
            self.members.tick(16.0)
        for name in reversed(names):
            self.role.update_rank()
            ranks.append(self.role.rank)
            self.assertEqual(list(self.role.source_selector.readers), readers)
            self.members.put(self.members.records[name])
        self.assertEqual(set(ranks), {None})

    def test_another_node_reads_once_a_few_readers_have_expired(self):
        readers = list(self.role.source_selector.readers)
        for name in readers[:2]:
            self.members.mark_expired(name, 10.0)
        self.role.update_rank()
        replaced = set(self.role.source_selector.readers)
        self.assertEqual(len(replaced), len(readers))
        self.assertFalse(replaced & set(readers[:2]))

    def test_a_fleet_whose_nodes_are_gone_is_a_small_one(self):
        for number in range(FLEET_SIZE - 1):
            self.members.mark_expired(f"n{number}", 10.0)
        self.members.tick(20.0)
        self.role.update_rank()
        self.assertEqual(self.role.rank, 0)


class FirstVersionTests(unittest.TestCase):
    """When 194 nodes started at once, each of them read the whole configuration."""

    def setUp(self):
        case = LapsedRankTests()
        case.setUp()
        self.role = case.role
        self.role.handle_listing()

    def test_a_follower_waits_for_the_readers_to_publish_the_first_version(self):
        self.assertEqual(self.role.choose_prefix(False, 10.0), FLEET_PREFIX)
        self.assertEqual(self.role.choose_prefix(False, 11.9), FLEET_PREFIX)

    def test_a_follower_reads_the_configuration_if_nobody_publishes_it(self):
        self.role.choose_prefix(False, 10.0)
        self.assertEqual(self.role.choose_prefix(False, 12.0), "")


class FirstStartTests(unittest.TestCase):
    def test_the_first_listing_waits_for_the_other_nodes_records(self):
        cache = WatchCache(WatchCacheSettings(), *[None] * 3, random.Random(1))
        cache.delay_first_list(1.5, now=10.0)
        self.assertIsNone(cache.tick(11.4))
        self.assertEqual(cache.tick(11.5), ListKeys())


class NarrowLinkTests(SidecarTestCase):
    def test_a_watch_that_receives_bytes_is_not_begun_anew_for_a_newer_version(self):
        """Versions came faster than one passed the link, and none ever arrived."""

        async def scenario(store, machine):
            sidecar = machine.sidecar
            store.bytes_per_second = NARROW_BYTES_PER_SECOND
            store.put(platform.CONFIG_KEY, make_version(14))

            async def announce_newer_versions():
                for number in range(14, 100):
                    sidecar.fleet_sync.handle_peer_version(number)
                    await asyncio.sleep(0.5)

            announcing = asyncio.ensure_future(announce_newer_versions())
            await self.wait_for(
                lambda: sidecar.fleet_state.version_number == 14, NARROW_SECONDS
            )
            announcing.cancel()

        self.run_machines(scenario)

    def test_changes_that_are_too_many_for_one_response_are_listed(self):
        """The watch would be cut off at the same place again and again."""

        async def scenario(store, machine):
            sidecar = machine.sidecar
            sidecar.watch_cache.pending = "stuck"
            sidecar.store_driver.watch_task.cancel()
            for number in range(13, 60):
                store.put(platform.CONFIG_KEY, make_version(number))
            with unittest.mock.patch("daisylink.http_client.MAX_RESPONSE_BYTES", 9_000):
                sidecar.watch_cache.restart_watch()
                sidecar.step()
                await self.wait_for(lambda: sidecar.fleet_state.version_number == 59)

        self.run_machines(scenario)

    def test_a_listing_that_takes_longer_than_its_timeout_is_not_begun_anew(self):
        async def scenario(store, machine):
            store.bytes_per_second = NARROW_BYTES_PER_SECOND
            late = Machine(store, 9)
            await late.start()
            try:
                await self.wait_for(
                    lambda: late.sidecar.fleet_state.version_number == 12,
                    NARROW_SECONDS,
                )
            finally:
                late.close()

        self.run_machines(scenario)

    def test_a_node_behind_a_stuck_watch_gets_the_version_from_a_slow_peer(self):
        """The peer's answer waits for other traffic of its link."""

        async def scenario(store, first, second):
            behind = second.sidecar
            behind.watch_cache.pending = "stuck"
            behind.store_driver.watch_task.cancel()
            behind.store_driver.restart_watch = lambda *_, **__: None
            answer_at_once = first.sidecar.peer_exchange.handle_request

            def answer_late(request):
                loop = asyncio.get_running_loop()
                response = loop.create_future()
                loop.call_later(1.0, response.set_result, answer_at_once(request))
                return response

            (listener,) = [
                server
                for server in first.sidecar.listeners.auxiliary_listeners
                if server.handler == answer_at_once
            ]
            listener.handler = answer_late
            store.put(platform.CONFIG_KEY, make_version(14))
            await self.wait_for(lambda: first.sidecar.fleet_state.version_number == 14)
            behind.fleet_sync.handle_peer_version(14)
            await self.wait_for(lambda: behind.fleet_state.version_number == 14, 3.0)

        self.run_machines(scenario, count=2)

    def test_a_peer_sends_a_version_once_and_compressed(self):
        """A whole configuration, and its copy, did not pass a narrow link in time."""

        async def scenario(store, first, second):
            store.put(platform.CONFIG_KEY, make_version(14))
            await self.wait_for(lambda: first.sidecar.fleet_state.version_number == 14)
            store.put(
                COMPRESSED_VERSION_KEY,
                CompressedVersion.from_document(14, make_version(14)).to_bytes(),
            )
            await asyncio.sleep(0.5)
            request = WebRequest("GET", "/v1/news", {"version": "12"}, b"")
            response = first.sidecar.peer_exchange.handle_request(request)
            updates = KeyUpdates.from_bytes(response.body)
            keys = [key for key, _, _ in updates.items]
            self.assertNotIn(platform.CONFIG_KEY, keys)
            self.assertEqual(keys.count(COMPRESSED_VERSION_KEY), 1)

        self.run_machines(scenario, count=2)


class UnpublishedVersionTests(SidecarTestCase):
    def test_a_version_known_from_a_peer_is_published_once_it_is_read(self):
        """Followers waited: the reader ignored its configuration as not newer."""

        async def scenario(store, *machines):
            reader, _ = await self.select_reader(machines)
            await self.wait_for(lambda: COMPRESSED_VERSION_KEY in store.items)
            compressed = CompressedVersion.from_document(14, make_version(14))
            reader.sidecar.fleet_state.handle_older_item(
                Item(COMPRESSED_VERSION_KEY, compressed.to_bytes(), NO_REVISION)
            )
            self.assertEqual(reader.sidecar.fleet_state.version_number, 14)
            store.put(platform.CONFIG_KEY, make_version(14))
            await self.wait_for(
                lambda: all(
                    m.sidecar.fleet_state.version_number == 14 for m in machines
                )
            )

        self.run_machines(scenario, count=3)

    def test_an_unreadable_published_version_is_replaced(self):
        """Its revision was not noted, so every write over it was refused."""

        async def scenario(store, *machines):
            await self.select_reader(machines)
            await self.wait_for(lambda: COMPRESSED_VERSION_KEY in store.items)
            store.put(COMPRESSED_VERSION_KEY, b"unreadable")
            store.put(platform.CONFIG_KEY, make_version(14))
            await self.wait_for(
                lambda: all(
                    m.sidecar.fleet_state.version_number == 14 for m in machines
                )
            )

        self.run_machines(scenario, count=3)


class RefusedPublishTests(SidecarTestCase):
    def test_a_publish_that_the_store_refused_is_not_sent_again_unchanged(self):
        """An outdated version was sent every 0.3 s over a full link."""

        async def scenario(store, machine):
            sidecar = machine.sidecar
            sidecar.role.settings = ONE_READER._replace(max_small_fleet=0)
            sidecar.step()
            await self.wait_for(lambda: COMPRESSED_VERSION_KEY in store.items)
            await asyncio.sleep(0.5)
            sidecar.watch_cache.pending = "stuck"
            sidecar.store_driver.watch_task.cancel()
            sidecar.store_driver.end_overdue_read = lambda _: None
            other = CompressedVersion.from_document(13, make_version(13))
            store.put(COMPRESSED_VERSION_KEY, other.to_bytes())
            sidecar.fleet_sync.publisher.handle_version(
                14, make_version(14), sidecar.now()
            )
            before = len(store.write_times)
            sidecar.step()
            await asyncio.sleep(3.0)
            self.assertEqual(len(store.write_times) - before, 1)
            sidecar.watch_cache.restart_watch()
            sidecar.step()
            await self.wait_for(
                lambda: sidecar.fleet_sync.publisher.published_number == 14
            )

        self.run_machines(scenario)
