"""Processor time of the node's code per call, without sockets.

Drives a real gateway with fake transports on the caller's and the server's side. Log
lines are written as the sidecar writes them, to a sink that discards them.
Usage: python -m bench.hotpath [calls] [--profile]
"""

import asyncio
import cProfile
import os
import pstats
import random
import sys
import time

from daisylink.clock import SystemClock
from daisylink.commands import Operations
from daisylink.connection import HopConnection
from daisylink.logs import configure_json_logging
from daisylink.loop import LoopRunner
from daisylink.process import ControlClient
from daisylink.standin import LocalFleet, Placement
from daisylink.store import ConsulStore
from tests.support import HOST, make_content

BATCHES = 20
BODY = b"x" * 100
REQUEST = (
    f"POST /a/write HTTP/1.1\r\nhost: {HOST}\r\nuser-agent: bench\r\naccept: */*\r\n"
    f"content-length: {len(BODY)}\r\n\r\n"
).encode() + BODY
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nok"


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

    abort = close


async def run(application, calls, profile):
    fleet = LocalFleet(application, 1)
    await fleet.start([Placement("z", "a")])
    store = ConsulStore(fleet.platform.address)
    client = ControlClient(lambda *_: None)
    operations = Operations(store, client, SystemClock(), random.Random(1))
    await operations.accept(make_content("a"), "")
    await fleet.wait_for_servers()
    gateway = fleet.nodes[0].gateway
    hop = HopConnection(gateway.hop_pool, gateway.server_address)
    hop.connection_made(FakeTransport())
    gateway.hop_pool.release(hop)
    caller = gateway.create_caller_connection()
    caller.connection_made(FakeTransport())
    for _ in range(1000):
        caller.data_received(REQUEST)
        hop.data_received(RESPONSE)
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    batches = []
    for _ in range(BATCHES):
        started = time.process_time()
        for _ in range(calls // BATCHES):
            caller.data_received(REQUEST)
            hop.data_received(RESPONSE)
        batches.append((time.process_time() - started) / (calls // BATCHES))
    profiler.disable()
    print(f"{min(batches) * 1e6:.1f} us a call, fastest of {BATCHES} batches")
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(35)
    await fleet.close()
    await store.close()
    await client.close()
    await asyncio.sleep(0)


def main():
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    configure_json_logging(descriptor=os.open(os.devnull, os.O_WRONLY))
    runner = LoopRunner()
    runner.run(run(runner.application, calls, "--profile" in sys.argv))


if __name__ == "__main__":
    main()
