"""Sidecars of a fleet in which only some nodes read the configuration itself."""

import unittest.mock

from daisylink import platform
from daisylink.registry import ReaderSettings
from daisylink.sidecar import Sidecar
from daisylink.sidecar._edition import EDITION_KEY, Edition
from daisylink.sidecar._knowledge import OWN_PREFIX
from tests.sidecar_case import Machine, SidecarTestCase
from tests.test_platform import make_configuration

ONE_READER = ReaderSettings(small_fleet=1, most=1, least=1)


class LargeFleetTests(SidecarTestCase):
    """The configurations of hanbit-grown's calm day filled links of 5 Mbit/s."""

    async def divide(self, machines):
        """Make one machine the reader, and return it and the others."""
        for machine in machines:
            machine.sidecar.reader_settings = ONE_READER
            machine.sidecar._note_members()
        (reader,) = [m for m in machines if m.sidecar.rank == 0]
        others = [machine for machine in machines if machine is not reader]
        await self.wait_for(
            lambda: all(m.sidecar.follower.prefix == OWN_PREFIX for m in others)
        )
        return reader, others

    def test_the_rest_of_the_fleet_gets_new_versions_in_brief(self):
        async def scenario(store, *machines):
            reader, others = await self.divide(machines)
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            await self.wait_for(
                lambda: all(m.sidecar.knowledge.number == 14 for m in machines), 2
            )
            self.assertIn(platform.CONFIG_KEY, reader.sidecar.follower.values)
            for machine in others:
                self.assertNotIn(platform.CONFIG_KEY, machine.sidecar.follower.values)
            written = [e for e in store.events if e["key"] == EDITION_KEY]
            self.assertEqual(len(written), 2, "versions 12 and 14 once each")

        self.run_machines(scenario, count=3)

    def test_another_node_reads_once_the_reader_is_gone(self):
        async def scenario(store, *machines):
            reader, others = await self.divide(machines)
            reader.close()
            for lease in list(store.leases):
                store.end_lease(lease)
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            await self.wait_for(
                lambda: all(m.sidecar.knowledge.number == 14 for m in others)
            )

        self.run_machines(scenario, count=3)

    def test_a_node_that_starts_begins_with_the_version_in_brief(self):
        """Its narrow link was full of whole configurations for seconds."""

        async def scenario(store, *machines):
            await self.divide(machines)
            await self.wait_for(lambda: EDITION_KEY in store.items)
            late = Machine(store, 9)
            name = "daisylink.sidecar._sidecar.ReaderSettings"
            with unittest.mock.patch(name, lambda: ONE_READER):
                await late.start()
            await self.wait_for(lambda: late.sidecar.is_ready)
            follower = late.sidecar.follower
            rank = late.sidecar.rank
            late.close()
            self.assertEqual(platform.CONFIG_KEY in follower.values, rank is not None)

        self.run_machines(scenario, count=3)

    def test_a_small_fleet_begins_with_the_configuration_itself(self):
        """What was published when the fleet was large may be old."""

        async def scenario(store, machine):
            older = make_configuration().replace(b"r12", b"r11")
            store.put(EDITION_KEY, Edition.from_document(11, older).to_bytes())
            installed = []
            install = Sidecar._install

            def note_version(sidecar, version):
                installed.append(version)
                install(sidecar, version)

            late = Machine(store, 9)
            with unittest.mock.patch.object(Sidecar, "_install", note_version):
                await late.start()
            await self.wait_for(lambda: late.sidecar.is_ready)
            late.close()
            self.assertEqual([version.number for version in installed], [12])

        self.run_machines(scenario)
