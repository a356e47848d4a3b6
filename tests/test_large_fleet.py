"""Sidecars of a fleet in which only some nodes read the configuration itself."""

import asyncio
import random
import unittest
import unittest.mock
import zlib

import msgspec

from daisylink import platform
from daisylink.http_server import WebRequest
from daisylink.registry import (
    Changes,
    Item,
    Listing,
    StoreRevision,
    WatchCache,
    WatchCacheSettings,
)
from daisylink.sidecar import Sidecar
from daisylink.sidecar._change_feed import ChangeFeed, KeyUpdates, format_revision
from daisylink.sidecar._compressed_version import (
    COMPRESSED_VERSION_KEY,
    CompressedVersion,
)
from daisylink.sidecar._fleet_state import FLEET_PREFIX
from tests.revisions import at
from tests.sidecar_case import ONE_READER, Machine, SidecarTestCase
from tests.test_platform import make_configuration


class LargeFleetTests(SidecarTestCase):
    """Whole configurations filled links of 5 Mbit/s on the calm day of hanbit-grown."""

    def test_the_rest_of_the_fleet_gets_compressed_versions(self):
        async def scenario(store, *machines):
            reader, others = await self.select_reader(machines)
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            await self.wait_for(
                lambda: all(
                    m.sidecar.fleet_state.version_number == 14 for m in machines
                ),
                2,
            )
            self.assertIn(platform.CONFIG_KEY, reader.sidecar.watch_cache.values)
            for machine in others:
                self.assertNotIn(
                    platform.CONFIG_KEY, machine.sidecar.watch_cache.values
                )
            written = [e for e in store.events if e["key"] == COMPRESSED_VERSION_KEY]
            self.assertEqual(len(written), 2, "versions 12 and 14 once each")

        self.run_machines(scenario, count=3)

    def test_the_rest_of_the_fleet_asks_a_reader_and_not_the_store(self):
        """Watches by all nodes were most of 4,157 store calls on hanbit-grown."""

        async def scenario(store, *machines):
            reader, others = await self.select_reader(machines)
            store.watched_prefixes.clear()
            leaving = others[0]
            await leaving.send_heartbeat("draining")
            await self.wait_for(
                lambda: all(
                    len(m.sidecar.members.serving("one")) == 2 for m in machines
                )
            )
            store.end_lease(leaving.sidecar.registration.lease_id)
            await asyncio.sleep(3.0)
            self.assertNotIn(FLEET_PREFIX, store.watched_prefixes)

        self.run_machines(scenario, count=3)

    def test_the_store_is_asked_while_a_reader_does_not_answer(self):
        """Connections to a frozen or cut-off reader hang."""

        async def scenario(store, *machines):
            reader, others = await self.select_reader(machines)
            reader.sidecar.change_feed.handle_request = lambda _: (
                asyncio.get_running_loop().create_future()
            )
            reader.sidecar.watch_cache.pending = "frozen"
            reader.sidecar.store_driver.watch_task.cancel()
            newer = make_configuration().replace(b"r12", b"r14")
            compressed_version = CompressedVersion.from_document(14, newer)
            await asyncio.sleep(0.1)
            store.put(COMPRESSED_VERSION_KEY, compressed_version.to_bytes())
            await self.wait_for(
                lambda: all(m.sidecar.fleet_state.version_number == 14 for m in others),
                2.5,
            )

        self.run_machines(scenario, count=3)

    def test_a_new_era_makes_no_node_read_the_configuration_itself(self):
        """All records are outdated for a moment, as if the fleet were small."""

        async def scenario(store, *machines):
            reader, others = await self.select_reader(machines)
            saved = store.make_copy()
            await asyncio.sleep(1.0)
            await store.come_back(saved)
            for _ in range(4):
                await asyncio.sleep(1.0)
                for machine in machines:
                    await machine.send_heartbeat()
                for machine in others:
                    self.assertEqual(machine.sidecar.watch_cache.prefix, FLEET_PREFIX)
            for machine in machines:
                members = machine.sidecar.members
                self.assertEqual(len(members.serving("one")), len(machines))
                self.assertEqual(machine.sidecar.watch_cache.revision.era, 2)

        self.run_machines(scenario, count=4)

    def test_a_reader_that_is_behind_is_not_asked(self):
        """A reader on a full link served outdated keys (hanbit-grown, trouble-3)."""

        async def scenario(store, *machines):
            reader, others = await self.select_reader(machines)
            reader.sidecar.watch_cache.pending = "slow"
            reader.sidecar.store_driver.watch_task.cancel()
            reader.sidecar.store_driver.end_overdue_read = lambda _: None
            await asyncio.sleep(0.1)
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(
                COMPRESSED_VERSION_KEY,
                CompressedVersion.from_document(14, newer).to_bytes(),
            )
            for machine in others:
                machine.sidecar.fleet_sync.handle_peer_version(14)
            await self.wait_for(
                lambda: all(m.sidecar.fleet_state.version_number == 14 for m in others),
                2.5,
            )
            await self.wait_for(
                lambda: not reader.sidecar.fleet_sync.can_serve_feed, 1.5
            )

        self.run_machines(scenario, count=3)

    def test_a_reader_that_lacks_a_version_of_its_peers_serves_no_keys(self):
        """The store confirms its keys, but what it was sent has not arrived."""

        async def scenario(store, *machines):
            reader, _ = await self.select_reader(machines)
            self.assertTrue(reader.sidecar.fleet_sync.can_serve_feed)
            reader.sidecar.fleet_sync.handle_peer_version(14)
            await self.wait_for(
                lambda: not reader.sidecar.fleet_sync.can_serve_feed, 1.5
            )
            self.assertLess(
                reader.sidecar.watch_cache.count_age(reader.sidecar.now()), 2
            )

        self.run_machines(scenario, count=3)

    def test_another_node_reads_once_the_reader_has_ended(self):
        async def scenario(store, *machines):
            reader, others = await self.select_reader(machines)
            reader.close()
            for lease in list(store.leases):
                store.end_lease(lease)
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            await self.wait_for(
                lambda: all(m.sidecar.fleet_state.version_number == 14 for m in others)
            )

        self.run_machines(scenario, count=3)

    def test_a_starting_node_begins_with_the_compressed_version(self):
        """Otherwise whole configurations fill its narrow link for seconds."""

        async def scenario(store, *machines):
            await self.select_reader(machines)
            await self.wait_for(lambda: COMPRESSED_VERSION_KEY in store.items)
            late = Machine(store, 9)
            name = "daisylink.sidecar._fleet_sync.ReaderSettings"
            with unittest.mock.patch(name, lambda: ONE_READER):
                await late.start()
            await self.wait_for(lambda: late.sidecar.is_ready)
            watch_cache = late.sidecar.watch_cache
            rank = late.sidecar.role.rank
            late.close()
            self.assertEqual(
                platform.CONFIG_KEY in watch_cache.values, rank is not None
            )

        self.run_machines(scenario, count=3)

    def test_a_small_fleet_begins_with_the_configuration_itself(self):
        """A version published when the fleet was larger may be outdated."""

        async def scenario(store, machine):
            older = make_configuration().replace(b"r12", b"r11")
            store.put(
                COMPRESSED_VERSION_KEY,
                CompressedVersion.from_document(11, older).to_bytes(),
            )
            installed = []
            install = Sidecar._install

            def record_version(sidecar, version):
                installed.append(version)
                install(sidecar, version)

            late = Machine(store, 9)
            with unittest.mock.patch.object(Sidecar, "_install", record_version):
                await late.start()
            await self.wait_for(lambda: late.sidecar.is_ready)
            late.close()
            self.assertEqual([version.number for version in installed], [12])

        self.run_machines(scenario)


class ChangeFeedTests(unittest.IsolatedAsyncioTestCase):
    """What a reader serves, depending on the deletions that it knows."""

    def setUp(self):
        self.watch_cache = WatchCache(
            WatchCacheSettings(),
            lambda _: None,
            lambda: None,
            lambda _: None,
            random.Random(1),
        )
        own = [
            Item("own/a", b"1", at(3)),
            Item("own/b", b"2", at(8)),
            Item("op", b"", at(9)),
        ]
        self.watch_cache.tick(0.0)
        self.watch_cache.handle_listing(Listing(own, at(10)), 0.0)
        self.watch_cache.tick(0.0)
        self.watch_cache.handle_changes(
            Changes([Item("own/a", None, at(12))], at(12)), 0.0
        )

    def poll_feed(self, after):
        change_feed = ChangeFeed(self.watch_cache, "own/", lambda: True, lambda: 0.0)
        request = WebRequest(
            "GET", "/v1/changes", {"after": format_revision(at(after))}, b""
        )
        return KeyUpdates.from_bytes(change_feed.handle_request(request).body)

    async def test_deletions_since_the_first_listing_are_served(self):
        updates = self.poll_feed(11)
        self.assertFalse(updates.is_whole)
        self.assertEqual(updates.list_items(), [Item("own/a", None, at(12))])

    async def test_a_node_that_may_have_missed_a_deletion_gets_all_keys(self):
        updates = self.poll_feed(9)
        self.assertTrue(updates.is_whole)
        self.assertEqual(updates.list_items(), [Item("own/b", b"2", at(8))])

    async def test_a_poll_that_outlives_a_pause_of_the_process_is_turned_away(self):
        """A frozen reader said "no changes" first when it went on."""
        is_fresh = True
        change_feed = ChangeFeed(
            self.watch_cache, "own/", lambda: is_fresh, lambda: 0.0
        )
        query = {"after": format_revision(at(12)), "wait_ms": "10"}
        response = change_feed.handle_request(
            WebRequest("GET", "/v1/changes", query, b"")
        )
        is_fresh = False
        self.assertEqual((await response).status, 503)

    async def test_answers_pass_between_this_release_and_the_one_before(self):
        """The age of the keys was added to an answer that both send and read."""

        class EarlierKeyUpdates(msgspec.Struct, array_like=True):
            revision: StoreRevision
            items: list[tuple[str, bytes | None, StoreRevision]]
            is_whole: bool = False
            version: int = 0

        now = KeyUpdates(at(12), [("own/a", None, at(12))], True, 7, age_ms=50)
        body = zlib.decompress(now.to_bytes())
        earlier = msgspec.msgpack.decode(body, type=EarlierKeyUpdates)
        self.assertEqual((earlier.items, earlier.version), (now.items, 7))
        back = zlib.compress(msgspec.msgpack.encode(earlier))
        self.assertEqual(KeyUpdates.from_bytes(back).age_ms, 0)
