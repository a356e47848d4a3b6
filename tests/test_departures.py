"""Leaves of servers while the store fails, loses the key, or the node starts."""

import asyncio
import random
import unittest
from base64 import b64decode

import msgspec

from daisylink.registry import (
    BackoffSettings,
    DeleteDepartures,
    DepartureLog,
    DepartureSweeper,
    DepartureSweeperSettings,
    Item,
    MemberSettings,
    MemberTable,
)
from daisylink.serving import MemberRecord, ServerStart
from tests.platform_standin import Fault
from tests.revisions import at
from tests.sidecar_case import SidecarTestCase

FIRST = ServerStart("i-1", 1000)
SECOND = ServerStart("i-1", 2000)
KEY = "departures"


class AcknowledgementTests(SidecarTestCase):
    def test_a_leave_is_acknowledged_only_once_the_store_holds_it(self):
        for fault in (Fault.UNAVAILABLE, Fault.UNRESPONSIVE, Fault.LOSE_ANSWERS):

            async def scenario(store, machine, fault=fault):
                store.fault = fault
                store.abort_connections()
                self.assertEqual(await machine.send_leave(), 503)
                self.assertEqual((await machine.request("r1")).status, 503)
                store.fault = Fault.NONE
                store.abort_connections()
                async with asyncio.timeout(8):
                    while await machine.send_leave() != 200:
                        pass
                self.assertEqual(machine.server.runs, [])
                (key,) = [key for key in store.items if "departures" in key]
                self.assertIn(b"i-0", b64decode(store.items[key]["value"]))

            with self.subTest(fault=fault):
                self.run_machines(scenario)

    def test_a_node_that_starts_without_the_store_serves_no_server(self):
        """Another process may have acknowledged that the server leaves."""

        async def scenario(store, machine):
            machine.sidecar.close()
            store.fault = Fault.UNAVAILABLE
            await machine.start_sidecar()
            await machine.send_heartbeat()
            self.assertFalse(machine.admission.is_open)
            store.fault = Fault.NONE
            await self.wait_for(lambda: machine.admission.is_open)

        self.run_machines(scenario)

    def test_departures_that_the_store_lost_are_written_again(self):
        async def scenario(store, machine):
            self.assertEqual(await machine.send_leave(), 200)
            (key,) = [key for key in store.items if "departures" in key]
            store.delete(key)
            await self.wait_for(lambda: key in store.items)

        self.run_machines(scenario)


class DepartureLogTests(unittest.TestCase):
    def setUp(self):
        self.log = DepartureLog(BackoffSettings(), random.Random(1))

    def test_a_write_of_a_former_process_that_comes_late_loses_no_departure(self):
        self.log.set_departures([SECOND])
        self.log.handle_listing(at(5), has_key=False)
        self.assertEqual(self.log.tick(0.0).revision, at(0))
        self.log.handle_failure(0.0)
        self.assertFalse(self.log.is_stored(SECOND))
        late = Item(KEY, msgspec.msgpack.encode((FIRST,)), at(7))
        self.log.set_departures([*self.log.handle_item(late), SECOND])
        call = self.log.tick(1.0)
        self.assertEqual((call.revision, call.departures), (at(7), (FIRST, SECOND)))
        self.log.handle_success(at(8))
        self.assertTrue(self.log.is_stored(SECOND))
        self.assertIsNone(self.log.tick(2.0))

    def test_a_departure_that_the_store_may_have_lost_is_not_acknowledged(self):
        """The store came back from an older copy and is not listed yet."""
        self.log.set_departures([FIRST])
        self.log.handle_listing(at(5), has_key=False)
        self.log.tick(0.0)
        self.log.handle_success(at(6))
        self.log.begin_era()
        self.assertFalse(self.log.is_stored(FIRST))
        self.assertIsNone(self.log.tick(1.0))
        self.log.handle_listing(at(2, era=2), has_key=False)
        self.assertEqual(self.log.tick(1.0).revision, at(0, era=2))


class DepartureSweeperTests(unittest.TestCase):
    def setUp(self):
        self.departures = {"a": at(3), "c": at(5)}
        self.members = MemberTable(
            MemberSettings(), MemberRecord("b", "z", 0), lambda _node: 0.0
        )
        self.sweeper = DepartureSweeper(
            DepartureSweeperSettings(), self.members, lambda: self.departures
        )

    def test_departures_are_kept_until_their_node_has_long_been_gone(self):
        self.assertEqual(self.sweeper.tick(0.0), [])
        self.assertEqual(self.sweeper.tick(590.0), [])
        self.members.put(MemberRecord("c", "z", 0))
        self.assertEqual(self.sweeper.tick(660.0), [DeleteDepartures("a", at(3))])

    def test_one_node_alone_deletes_departures(self):
        self.members.put(MemberRecord("aa", "z", 0))
        self.assertEqual(self.sweeper.tick(0.0), [])
        self.assertEqual(self.sweeper.tick(700.0), [])
