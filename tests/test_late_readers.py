"""Every node has a version in time, whatever some readers hear and answer."""

import asyncio
import random
import unittest
import unittest.mock
from base64 import b64decode
from datetime import timedelta

from daisylink import platform
from daisylink.errors import ResultCode
from daisylink.registry import (
    ApplyBudget,
    Changes,
    Listing,
    MemberSettings,
    MemberTable,
    Publisher,
    PublisherSettings,
    ReaderSettings,
    WatchCache,
    WatchCacheSettings,
)
from daisylink.registry._apply_budget import TRANSFER
from daisylink.serving import MemberRecord
from daisylink.sidecar._fleet_state import FLEET_PREFIX, member_key
from daisylink.sidecar._peer_exchange import PeerExchange
from daisylink.sidecar._peer_versions import PeerVersions
from tests.revisions import at
from tests.sidecar_case import SidecarTestCase
from tests.test_platform import make_configuration

# The users' bound for fleets of this kind, from the store's acknowledgement on.
APPLY_SECONDS = 2.5
THREE_READERS = ReaderSettings(max_small_fleet=1, max_readers_per_zone=3, min_readers=3)
TWO_READERS_PER_ZONE = ReaderSettings(
    max_small_fleet=1, max_readers=4, max_readers_per_zone=2, min_readers=4
)
FLEET_SIZE = 9


def make_version(number):
    return make_configuration().replace(b"r12", b"r%d" % number)


def make_watch_cache():
    return WatchCache(
        WatchCacheSettings(),
        lambda _: None,
        lambda: None,
        lambda _: None,
        random.Random(1),
    )


class LateReaderTestCase(SidecarTestCase):
    async def select_readers(self, machines, settings=THREE_READERS):
        """Return the readers by rank, and the other machines."""
        for machine in machines:
            machine.sidecar.role.settings = settings
            machine.sidecar._handle_members_change()
            machine.sidecar.step()
        readers = [m for m in machines if m.sidecar.role.is_reader]
        readers.sort(key=lambda machine: machine.sidecar.role.rank)
        others = [machine for machine in machines if machine not in readers]
        await self.wait_for(
            lambda: all(m.sidecar.watch_cache.prefix == FLEET_PREFIX for m in others)
        )
        await asyncio.sleep(1.5)
        return readers, others

    async def change_version(self, store, machines):
        """Write a version; it must be in force on the machines in time."""
        store.put(platform.CONFIG_KEY, make_version(14))
        await self.wait_for(
            lambda: all(m.sidecar.fleet_state.version_number == 14 for m in machines),
            APPLY_SECONDS,
        )


def silence_watch(machine):
    """Put the machine's watch on a connection that went silent; new ones work."""
    driver = machine.sidecar.store_driver
    real_watch = driver.store.watch

    async def watch(_prefix, _revision, _wait):
        driver.store.watch = real_watch
        await asyncio.get_running_loop().create_future()

    driver.store.watch = watch
    driver.restart_watch("test", is_urgent=True)
    machine.sidecar.step()


def freeze(machine):
    """Let the machine neither read, publish nor answer the nodes that ask it."""
    sidecar = machine.sidecar
    sidecar.change_feed.handle_request = lambda _: (
        asyncio.get_running_loop().create_future()
    )
    if sidecar.store_driver.watch_task is not None:
        sidecar.store_driver.watch_task.cancel()
    sidecar.step = lambda: None
    sidecar.timer.cancel()


class LateReaderTests(LateReaderTestCase):
    def check(self, make_late):
        """Make none, some and all of the readers late; the followers must not be."""
        for count in range(4):
            with self.subTest(count):

                async def scenario(store, *machines, count=count):
                    readers, others = await self.select_readers(machines)
                    for machine in readers[:count]:
                        make_late(machine)
                    await asyncio.sleep(0.1)
                    await self.change_version(store, others)

                self.run_machines(scenario, FLEET_SIZE)

    def test_followers_of_readers_whose_watch_hears_nothing_are_not_late(self):
        """Such readers answered "no changes" for 9.4 s beside a calm store."""
        self.check(silence_watch)

    def test_followers_of_frozen_readers_are_not_late(self):
        """Two in a row took 3 s; without any reader nobody published."""
        self.check(freeze)

    def test_followers_of_readers_that_lose_the_store_are_not_late(self):
        """Its failing lease told a reader, but polls that were waiting went on."""
        self.check(cut_off_store)

    def test_a_node_of_a_small_fleet_whose_watch_hears_nothing_is_not_late(self):
        """Nobody but its own watch tells it, unless a request comes by."""

        async def scenario(store, *machines):
            silence_watch(machines[0])
            await asyncio.sleep(0.1)
            await self.change_version(store, machines)

        self.run_machines(scenario, 2)

    def test_a_restart_that_comes_too_soon_after_another_is_not_forgotten(self):
        """The one when the store answers again was dropped; the watch stayed dead."""

        async def scenario(store, machine):
            sidecar = machine.sidecar
            sidecar.store_driver.end_overdue_read = lambda _: None
            silence_watch(machine)
            await asyncio.sleep(0.05)
            before = sidecar.watch_cache.pending
            sidecar.store_driver.restart_watch("store answers again")
            await self.wait_for(
                lambda: sidecar.watch_cache.pending not in (before, None), 2.2
            )

        self.run_machines(scenario)


class LateZoneTests(LateReaderTestCase):
    zones = ("a", "b")

    def test_a_zone_whose_readers_both_hear_nothing_is_not_late(self):
        """Its nodes answered 404 for 3.9 s; no request came from elsewhere."""

        async def scenario(store, *machines):
            readers, others = await self.select_readers(machines, TWO_READERS_PER_ZONE)
            late = [machine for machine in readers if machine.zone == "b"]
            self.assertEqual(len(late), 2)
            for machine in late:
                silence_watch(machine)
            await asyncio.sleep(0.1)
            await self.change_version(store, others)

        self.run_machines(scenario, FLEET_SIZE)


def cut_off_store(machine):
    """Let all calls of the machine to the store go unanswered."""
    store = machine.sidecar.store_driver.store

    async def call(*_, **__):
        await asyncio.get_running_loop().create_future()

    for name in ("list", "watch", "write", "compare_and_swap", "renew_lease"):
        setattr(store, name, call)
    machine.sidecar.store_driver.restart_watch("test", is_urgent=True)
    machine.sidecar.step()


class PublishOrderTests(unittest.TestCase):
    def test_a_version_is_published_in_time_though_all_but_the_last_reader_end(self):
        """Each of eighteen readers waited 0.4 s longer than the one before it."""
        publisher = Publisher(PublisherSettings())
        publisher.handle_version(5, b"five", 10.0)
        self.assertLessEqual(publisher.wake_at(17), 10.0 + 0.6 * APPLY_SECONDS)


class ApplyBudgetTests(unittest.TestCase):
    def test_the_steps_of_no_way_add_up_to_more_than_the_bound(self):
        """Two silent readers in a row, each within its own timeout, took 3 s."""
        for seconds in (2.0, 2.5, 16.0):
            bound = timedelta(seconds=seconds)
            budget = ApplyBudget(bound)
            for way, taken in budget.longest_ways.items():
                with self.subTest(way, bound=bound):
                    self.assertLessEqual(taken, bound * (1 - TRANSFER))

    def test_a_call_to_a_source_that_has_not_answered_yet_does_not_wait(self):
        """The wait of the second silent reader came on top of the first one's."""
        watch_cache = make_watch_cache()
        full_wait = WatchCacheSettings().watch_timeout
        watch_cache.tick(0.0)
        watch_cache.handle_listing(Listing([], at(5)), 0.0)
        self.assertEqual(watch_cache.tick(0.0).wait, full_wait)
        watch_cache.restart_watch()
        self.assertEqual(watch_cache.tick(1.0).wait, timedelta())
        watch_cache.handle_changes(Changes([], at(5)), 1.0)
        self.assertEqual(watch_cache.tick(1.0).wait, full_wait)

    def test_a_store_that_is_away_for_long_is_called_as_before(self):
        """The time allowed for its answer doubled until it could not be computed."""
        watch_cache = make_watch_cache()
        now = 0.0
        for _ in range(2000):
            now = max(now, watch_cache.wake_at)
            watch_cache.tick(now)
            self.assertLessEqual(watch_cache.overdue_at(float("-inf")), now + 7.0)
            watch_cache.handle_failure(ResultCode.PLATFORM_UNAVAILABLE, now)


class KnowingPeerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_missing_version_is_fetched_from_the_peer_that_has_it(self):
        """A random peer was asked, which followed the same late reader."""
        asked = []
        for seed in range(20):
            own = MemberRecord("10.0.0.1:70", "z", 0)
            members = MemberTable(MemberSettings(), own, lambda _: 0.0)
            for number in range(2, 86):
                members.put(MemberRecord(f"10.0.0.{number}:70", "z", 0))
            peer_exchange = PeerExchange(
                unittest.mock.Mock(),
                members,
                unittest.mock.Mock(),
                unittest.mock.Mock(),
                unittest.mock.Mock(),
                unittest.mock.Mock(),
                random.Random(seed),
                lambda: 0.0,
                lambda work: work.close(),
                lambda: None,
            )
            peer_versions = PeerVersions(
                asyncio.get_running_loop(), lambda: 12, lambda _: False
            )
            peer_versions.handle_number(14, "10.0.0.33")
            peer_exchange.fetch_from_host(peer_versions.newest_host)
            asked += peer_exchange.transfers
        self.assertEqual(set(asked), {"10.0.0.33:70"})


class LateWriteTests(SidecarTestCase):
    def test_a_write_that_was_given_up_and_lands_later_does_not_stay(self):
        """The fleet believed an older record of a node until its next change."""

        async def scenario(store, machine, other):
            key = member_key(machine.sidecar.members.own_record.node)
            older = b64decode(store.items[key]["value"])
            await machine.send_heartbeat("draining")
            await self.wait_for(lambda: len(other.sidecar.members.serving("one")) == 1)
            await asyncio.sleep(0.5)
            store.put(key, older, store.items[key]["lease"])
            await self.wait_for(
                lambda: b64decode(store.items[key]["value"]) != older, APPLY_SECONDS
            )
            await self.wait_for(lambda: len(other.sidecar.members.serving("one")) == 1)

        self.run_machines(scenario, 2)
