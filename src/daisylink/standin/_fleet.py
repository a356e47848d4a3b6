"""A complete fleet on one event loop in one process, for demo and tests."""

import asyncio
import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from daisylink.clock import Clock, SystemClock
from daisylink.loop import Application
from daisylink.process import FleetSettings, Node, ServerState
from daisylink.settings import Address, NodeSettings
from daisylink.standin._backend import BackendServer, BackendSettings
from daisylink.standin._platform import PlatformServer, PlatformSettings

LOCAL_HOST = "127.0.0.1"
POLL_SECONDS = 0.01


class Placement(NamedTuple):
    """Availability zone and pool of a backend server."""

    zone: str
    pool: str


class LocalFleet:
    """Nodes and backend servers with a stand-in platform, on loopback sockets.

    :param application: root of the circuits components.
    :param seed: seed of the nodes' random numbers.
    :param fleet_settings: settings of the nodes, the defaults if None.
    :param clock: clock of the platform and the nodes, the system's by default.
    :param host: IP address that everything listens on.
    """

    def __init__(
        self,
        application: Application,
        seed: int = 0,
        fleet_settings: FleetSettings | None = None,
        clock: Clock | None = None,
        host: str = LOCAL_HOST,
    ):
        self.host = host
        self.application = application
        self.rng = random.Random(seed)
        self.fleet_settings = fleet_settings
        self.clock = clock or SystemClock()
        self.platform = PlatformServer.from_config(
            application, PlatformSettings(host), self.clock
        )
        self.nodes: list[Node] = []
        self.backends: list[BackendServer] = []

    async def start(self, placements: Sequence[Placement], **backend: float) -> None:
        """Start the platform, and a node with a backend server for each placement.

        :param backend: further :class:`BackendSettings`, the same for all servers.
        """
        self.platform.start()
        await asyncio.gather(
            *(self.add_instance(placement, **backend) for placement in placements)
        )

    async def add_instance(
        self, placement: Placement, peers: tuple[str, ...] = (), **backend
    ) -> Node:
        """Start a node with a backend server beside it; return the node.

        :param peers: control addresses of nodes to contact first.
        :param backend: further :class:`BackendSettings`.
        """
        node = await self.add_node(placement.zone, peers)
        settings = BackendSettings(
            placement.pool, self.host, admin=_admin_address(node), **backend
        )
        server = BackendServer(settings, crash=lambda: server.kill())
        await server.start()
        self.backends.append(server)
        return node

    async def add_node(self, zone: str, peers: tuple[str, ...] = ()) -> Node:
        """Start a node without a backend server."""
        any_port = Address(self.host, 0)
        settings = NodeSettings(
            zone=zone,
            callers=any_port,
            relay=any_port,
            control=any_port,
            admin=any_port,
            platform=Address.from_text(self.platform.address, "platform"),
            peers=peers,
            grace=timedelta(seconds=5),
            drain=timedelta(milliseconds=200),
        )
        rng = random.Random(self.rng.getrandbits(64))
        node = Node.from_config(
            settings,
            self.application,
            clock=self.clock,
            rng=rng,
            fleet_settings=self.fleet_settings,
        )
        await node.start()
        self.nodes.append(node)
        return node

    async def wait_for(
        self, condition: Callable[[], bool], seconds: float = 20.0
    ) -> None:
        """Poll until a condition holds.

        :raises TimeoutError: if it does not hold within ``seconds``.
        """
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

    async def wait_for_version(self, number: int, seconds: float = 20.0) -> None:
        """Wait until every node routes by this version or a newer one."""
        await self.wait_for(
            lambda: all(node.fleet.installer.number >= number for node in self.nodes),
            seconds,
        )

    async def wait_for_servers(self, seconds: float = 20.0) -> None:
        """Wait until every node is ready and knows all backend servers."""
        await self.wait_for(self._is_converged, seconds)

    def _is_converged(self) -> bool:
        count = len(self.backends)
        return all(
            node.is_ready
            and sum(
                record.server is ServerState.SERVING and record.is_alive
                for record in node.fleet.directory.records.values()
            )
            == count
            for node in self.nodes
        )

    async def close(self) -> None:
        """Close everything at once, without a graceful shutdown."""
        for backend in self.backends:
            await backend.close()
        for node in self.nodes:
            await node.close()
        for node in self.nodes:
            await node.store.close()
        self.platform.stop()


def _admin_address(node: Node) -> str:
    return f"{node.web.host}:{node.web.port}"
