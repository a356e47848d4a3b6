"""The store comes back from a copy some seconds old, in a new era."""

import asyncio
import random
import unittest
from datetime import timedelta

from daisylink import platform
from daisylink.errors import PlatformError, ResultCode
from daisylink.registry import (
    EraTracker,
    GrantLease,
    Lease,
    Registration,
    RegistrationSettings,
)
from daisylink.sidecar._fleet_state import departure_key, member_key
from tests.loopback import LOOPBACK_HOST, reserve_port
from tests.revisions import at
from tests.sidecar_case import SidecarTestCase
from tests.test_platform import make_configuration

# Records of live nodes are back within this time after the store's return.
RETURN_SECONDS = 2.0
# Longer than lost records are waited for.
SETTLED_SECONDS = 3.5


def make_version(number):
    return make_configuration().replace(b"r12", b"r%d" % number)


def name(machine):
    return machine.sidecar.members.own_record.node


class StoreEraTests(SidecarTestCase):
    async def install(self, store, machines, number):
        store.put(platform.CONFIG_KEY, make_version(number))
        await self.wait_for_version(machines, number)

    async def wait_for_version(self, machines, number):
        await self.wait_for(
            lambda: all(
                m.sidecar.fleet_state.version_number == number for m in machines
            )
        )

    async def wait_for_records(self, store, machines, seconds=RETURN_SECONDS):
        """Wait until every record is written in the store's era."""
        await self.wait_for(
            lambda: all(
                m.sidecar.registration.is_written
                and m.sidecar.members.own_record.era == store.era
                and member_key(name(m)) in store.items
                for m in machines
            ),
            seconds,
        )

    def test_a_version_that_the_store_lost_stays_in_force(self):
        async def scenario(store, *machines):
            saved = store.make_copy()
            for number in range(13, 20):
                await self.install(store, machines, number)
            await store.come_back(saved)
            await asyncio.sleep(SETTLED_SECONDS)
            for machine in machines:
                self.assertEqual(machine.sidecar.fleet_state.version_number, 19)
            await self.install(store, machines, 20)
            self.assertEqual(store.era, 2)

        self.run_machines(scenario, count=3)

    def test_a_version_under_a_revision_that_was_given_out_again_comes_into_force(self):
        """A watch that went on from its old revision would not hear of it."""

        async def scenario(store, machine):
            saved = store.make_copy()
            await self.install(store, [machine], 14)

            def write_again():
                store.put(platform.CONFIG_KEY, make_version(20))
                for number in range(50):
                    store.put(f"other/{number}", b"")

            await store.come_back(saved, on_return=write_again)
            await self.wait_for_version([machine], 20)

        self.run_machines(scenario)

    def test_lost_records_are_back_within_two_seconds_and_no_member_is_lost(self):
        async def scenario(store, *machines):
            saved = store.make_copy()
            for lease in list(store.leases):
                store.end_lease(lease)
            await self.wait_for_records(store, machines)
            for _ in range(2):
                for machine in machines:
                    await machine.send_heartbeat()
                await store.come_back(saved)
                await self.wait_for_records(store, machines)
            for _ in range(4):
                await asyncio.sleep(1.0)
                for machine in machines:
                    await machine.send_heartbeat()
                    members = machine.sidecar.members
                    self.assertEqual(len(members.serving("one")), len(machines))
            leases = {store.items[member_key(name(m))]["lease"] for m in machines}
            self.assertEqual(len(leases), len(machines))

        self.run_machines(scenario, count=4)

    def test_a_server_that_left_in_the_lost_seconds_stays_gone(self):
        async def scenario(store, first, second):
            saved = store.make_copy()
            self.assertEqual(await second.send_leave(), 200)
            await self.wait_for(lambda: len(first.sidecar.members.serving("one")) == 1)
            await store.come_back(saved)
            for _ in range(8):
                await asyncio.sleep(0.5)
                self.assertEqual(
                    list(first.sidecar.members.serving("one")), [name(first)]
                )
            self.assertIn(departure_key(name(second)), store.items)
            second.sidecar.close()
            await second.start_sidecar()
            await self.wait_for(lambda: second.sidecar.is_ready)
            await second.send_heartbeat(seq=1)
            self.assertFalse(second.admission.is_open)

        self.run_machines(scenario, count=2)

    def test_a_node_that_stopped_in_the_lost_seconds_stays_gone(self):
        async def scenario(store, first, second):
            saved = store.make_copy()
            await second.sidecar.stop()
            gone = name(second)
            await self.wait_for(lambda: gone not in first.sidecar.members.records)
            await store.come_back(saved)
            for _ in range(6):
                await asyncio.sleep(0.5)
                self.assertNotIn(gone, first.sidecar.members.records)

        self.run_machines(scenario, count=2)

    def test_a_leave_lost_by_store_and_process_survives_late_heartbeats(self):
        """The process is killed before it can write the leave again."""

        async def scenario(store, first, second):
            saved = store.make_copy()
            self.assertEqual(await second.send_leave(), 200)
            second.sidecar.close()
            await store.come_back(saved)
            await self.wait_for_records(store, [first])
            await second.start_sidecar()
            await self.wait_for(lambda: second.sidecar.is_ready)
            for sequence in (1, 1, 2, 3):
                await second.send_heartbeat(seq=sequence)
                await asyncio.sleep(1.5)
                self.assertFalse(second.admission.is_open)

        self.run_machines(scenario, count=2)

    def test_a_node_that_starts_meanwhile_takes_the_version_of_its_peers(self):
        async def scenario(store, *machines):
            saved = store.make_copy()
            await self.install(store, machines, 14)
            late = machines[0]
            late.sidecar.close()
            coming_back = asyncio.ensure_future(store.come_back(saved))
            await asyncio.sleep(0.1)
            await late.start_sidecar()
            installed = []
            install = late.sidecar.fleet_state.listeners.on_version
            late.sidecar.fleet_state.listeners = (
                late.sidecar.fleet_state.listeners._replace(
                    on_version=lambda v: (installed.append(v.number), install(v))
                )
            )
            await coming_back
            await self.wait_for_version([late], 14)
            self.assertEqual(installed, [14])
            await self.wait_for_records(store, machines[1:])

        self.run_machines(scenario, count=3)

    def test_a_node_cut_off_from_the_store_serves_on_and_learns_the_era(self):
        async def scenario(store, first, second):
            saved = store.make_copy()
            isolated = second.sidecar.platform_adapter.store.client
            isolated.close()
            reachable, isolated.address = (
                isolated.address,
                f"{LOOPBACK_HOST}:{reserve_port()}",
            )
            await store.come_back(saved)
            self.assertEqual((await second.request("r1")).status, 200)
            await self.wait_for(lambda: second.sidecar.era_tracker.current == 2)
            await self.install(store, [first, second], 14)
            isolated.address = reachable
            await self.wait_for_records(store, [first, second], 4.0)

        self.run_machines(scenario, count=2)

    def test_nodes_that_stop_and_start_in_turn_meanwhile_lose_no_server(self):
        async def scenario(store, *machines):
            saved = store.make_copy()
            await self.install(store, machines, 14)
            coming_back = asyncio.ensure_future(store.come_back(saved, 1.0))
            for machine in machines[:2]:
                machine.sidecar.close()
                await machine.start_sidecar()
                await asyncio.sleep(0.7)
            await coming_back
            await asyncio.sleep(SETTLED_SECONDS)
            for machine in machines * 2:
                await machine.send_heartbeat()
            await self.wait_for_version(machines, 14)
            await self.wait_for(
                lambda: all(
                    len(m.sidecar.members.serving("one")) == len(machines)
                    for m in machines
                )
            )

        self.run_machines(scenario, count=4)


class EraTrackerTests(unittest.TestCase):
    def setUp(self):
        self.rises = []
        self.tracker = EraTracker()
        self.tracker.on_rise = self.rises.append

    def test_nothing_is_believed_from_a_response_of_an_older_or_unstated_era(self):
        self.tracker.check_response(3)
        for era in (2, None):
            with self.assertRaises(PlatformError) as caught:
                self.tracker.check_response(era)
            self.assertEqual(caught.exception.code, ResultCode.PLATFORM_ERA_INVALID)
        self.assertEqual((self.tracker.current, self.tracker.rejected), (3, 2))
        self.assertEqual(self.rises, [0])

    def test_a_peer_that_is_behind_takes_no_era_back(self):
        self.tracker.check_response(3)
        self.tracker.learn(2)
        self.tracker.learn(4)
        self.assertEqual((self.tracker.current, self.rises), (4, [0, 3]))


class RegistrationEraTests(unittest.TestCase):
    def test_a_lease_of_an_earlier_era_is_not_renewed(self):
        """Its number may have been granted to another node since."""
        registration = Registration(RegistrationSettings(), random.Random(1))
        registration.set_record(b"one")
        registration.tick(0.0)
        registration.handle_result(Lease(7, timedelta(seconds=3)), 0.0)
        registration.tick(0.0)
        registration.handle_result(at(5), 0.0)
        registration.begin_era(0.5, timedelta(seconds=1))
        self.assertLessEqual(registration.wake_at, 1.5)
        self.assertIsInstance(registration.tick(1.5), GrantLease)


class EraHeaderTests(SidecarTestCase):
    def test_a_header_that_is_no_era_changes_nothing(self):
        async def scenario(store, machine):
            sidecar = machine.sidecar
            await self.wait_for(lambda: sidecar.registration.is_written)
            for header in ("x", "", "0", "-1", "1e3", "9" * 5000):
                store.era_header = header
                store.abort_connections()
                store.put(platform.CONFIG_KEY, make_version(14))
                await asyncio.sleep(0.6)
                self.assertEqual(sidecar.era_tracker.current, 1)
                self.assertEqual(sidecar.fleet_state.version_number, 12)
            self.assertGreater(sidecar.era_tracker.rejected, 4)
            store.era_header = None
            await self.wait_for(lambda: sidecar.fleet_state.version_number == 14)

        self.run_machines(scenario)
