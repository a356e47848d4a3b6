"""One node on fake transports, for benchmarks of the request path without sockets."""

import asyncio
import random
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from daisylink.clock import SystemClock
from daisylink.commands import Operations
from daisylink.connection import HopConnection
from daisylink.process import ControlClient
from daisylink.standin import LocalFleet, Placement
from daisylink.store import ConsulStore
from tests.support import make_content


class FakeTransport:
    """Transport that counts the bytes written and discards them."""

    def __init__(self):
        self.written = 0

    def write(self, data):
        self.written += len(data)

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def close(self):
        pass

    abort = write_eof = close


class SingleNode(NamedTuple):
    """A node with one idle connection to its backend server."""

    gateway: Any
    hop: HopConnection

    def connect_caller(self):
        """Return a new connection from a caller."""
        caller = self.gateway.create_caller_connection()
        caller.connection_made(FakeTransport())
        return caller

    def connect_relay(self):
        """Return a new connection from another node."""
        relay = self.gateway.create_relay_connection()
        relay.connection_made(FakeTransport())
        return relay


@asynccontextmanager
async def start_single_node(application, seed=1):
    """Start a node whose configuration has the route of ``tests.support``."""
    fleet = LocalFleet(application, 1)
    await fleet.start([Placement("z", "a")])
    store = ConsulStore(fleet.platform.address)
    client = ControlClient(lambda *_: None)
    operations = Operations(store, client, SystemClock(), random.Random(seed))
    await operations.accept(make_content("a"), "")
    await fleet.wait_for_servers()
    gateway = fleet.nodes[0].gateway
    hop = HopConnection(gateway.hop_pool, gateway.server_address)
    hop.connection_made(FakeTransport())
    gateway.hop_pool.release(hop)
    try:
        yield SingleNode(gateway, hop)
    finally:
        await fleet.close()
        await store.close()
        await client.close()
        await asyncio.sleep(0)
