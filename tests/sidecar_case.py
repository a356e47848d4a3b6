"""A test case that runs sidecars against stand-ins for the platform."""

import asyncio
import random
import unittest
from datetime import timedelta

import msgspec

from daisylink import platform
from daisylink.clock import LoopClock
from daisylink.http_client import HttpClient
from daisylink.logs import configure_logging
from daisylink.registry import ReaderSettings
from daisylink.settings import Address, SidecarSettings
from daisylink.sidecar import PlatformAdapter, RolloutFormats, Sidecar
from daisylink.sidecar._fleet_state import FLEET_PREFIX
from daisylink.standin import CallerClient
from tests.loopback import LOOPBACK_HOST, reserve_port
from tests.paced_loop import PacedLoop
from tests.platform_standin import ServerStandIn, StoreStandIn
from tests.test_platform import HEARTBEAT, make_configuration

HOST = "a.example"
ONE_READER = ReaderSettings(max_small_fleet=1, max_readers_per_zone=1, min_readers=1)


class Machine:
    """A sidecar with its backend server."""

    def __init__(self, store, number, pool="one", zone="a"):
        self.store_address = store.address
        self.pool = pool
        self.zone = zone
        self.server = ServerStandIn(f"i-{number}")
        self.sequence = 0
        self.addresses = [Address(LOOPBACK_HOST, reserve_port()) for _ in range(6)]
        self.number = number

    async def start(self):
        await self.server.start()
        await self.start_sidecar()

    async def start_sidecar(self):
        callers, relay, ready, announcements, peers, metrics = self.addresses
        settings = SidecarSettings(
            node=f"n{self.number}",
            zone=self.zone,
            pool=self.pool,
            callers=callers,
            relay=relay,
            ready=ready,
            announcements=announcements,
            peers=peers,
            metrics=metrics,
            server=self.server.address,
            store=self.store_address,
            announce_interval=timedelta(seconds=1),
        )
        store = platform.MetadataStore(self.store_address, timedelta(seconds=1))
        platform_adapter = PlatformAdapter(
            store,
            platform.HEADER_NAMES,
            platform.CONFIG_KEY,
            platform.ConfigurationDecoder().decode,
            platform.decode_announcement,
            platform.make_response,
            platform.READY_PATH,
            RolloutFormats(
                platform.ORDER_PREFIX,
                platform.decode_order,
                platform.status_key,
                platform.encode_status,
            ),
        )
        loop = asyncio.get_running_loop()
        rng = random.Random(self.number)
        self.sidecar = Sidecar.from_config(
            settings, platform_adapter, clock=LoopClock(loop), rng=rng
        )
        await self.sidecar.start()
        self.admission = self.sidecar.gateway.admission

    async def send_heartbeat(self, state="ready", **fields):
        self.sequence += 1
        heartbeat = {
            **HEARTBEAT,
            "service": self.pool,
            "seq": self.sequence,
            "state": state,
        }
        call = f"/-/rpc?call=instances.heartbeat&of={self.server.instance}"
        return await self.post_announcement(call, {**heartbeat, **fields})

    async def send_leave(self):
        call = f"/-/rpc?call=instances.leave&of={self.server.instance}"
        return await self.post_announcement(call, {"born": HEARTBEAT["born"]})

    async def post_announcement(self, target, body):
        client = HttpClient(str(self.addresses[3]))
        response = await client.call("POST", target, 1.0, msgspec.json.encode(body))
        client.close()
        return response.status

    async def is_ready(self):
        client = HttpClient(str(self.addresses[2]))
        response = await client.call("GET", "/-/ready", 1.0)
        client.close()
        return response.status == 200

    async def request(self, name, method="GET", deadline=800, path="/x/1", key=""):
        caller = CallerClient(str(self.addresses[0]))
        headers = {"X-Daisylink-Request-Id": name}
        if deadline:
            headers["X-Daisylink-Deadline-Ms"] = str(deadline)
        if key:
            headers["Authorization"] = f"Bearer {key}"
        response = await caller.call(method, path, HOST, b"", headers)
        caller.close()
        return response

    def close(self):
        self.sidecar.close()
        self.server.close()


class SidecarTestCase(unittest.TestCase):
    zones = ("a",)

    def run_machines(self, scenario, count=1, configuration=None):
        configure_logging("CRITICAL")
        with asyncio.Runner(loop_factory=PacedLoop) as runner:
            runner.run(self._run(scenario, count, configuration))

    async def _run(self, scenario, count, configuration):
        store = StoreStandIn()
        await store.start()
        if configuration is not False:
            store.put(platform.CONFIG_KEY, configuration or make_configuration())
        machines = [
            Machine(store, number, zone=self.zones[number % len(self.zones)])
            for number in range(count)
        ]
        for machine in machines:
            await machine.start()
            await machine.send_heartbeat()
        try:
            if configuration is not False:
                await self.wait_for(lambda: are_synchronized(machines))
            await scenario(store, *machines)
        finally:
            for machine in machines:
                machine.close()
            store.close()

    async def select_reader(self, machines):
        """Make one machine the only reader; return it and the others."""
        for machine in machines:
            machine.sidecar.role.settings = ONE_READER
            machine.sidecar._handle_members_change()
            machine.sidecar.step()
        (reader,) = [m for m in machines if m.sidecar.role.rank == 0]
        others = [machine for machine in machines if machine is not reader]
        await self.wait_for(
            lambda: all(m.sidecar.watch_cache.prefix == FLEET_PREFIX for m in others)
        )
        return reader, others

    async def wait_for(self, condition, seconds=8.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)


def are_synchronized(machines):
    return all(
        machine.sidecar.fleet_state.version_number
        and len(machine.sidecar.members.serving("one")) == len(machines)
        for machine in machines
    )
