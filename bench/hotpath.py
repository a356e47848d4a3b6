"""Processor time of the node's code per call, without sockets.

Drives a real gateway with fake transports on the caller's and the server's side. Log
lines are written as the sidecar writes them, to a sink that discards them.
Usage: python -m bench.hotpath [calls] [--profile]
"""

import cProfile
import os
import pstats
import sys
import time

from bench.single_node import start_single_node
from daisylink.logs import configure_json_logging
from daisylink.loop import LoopRunner
from tests.support import HOST

BATCHES = 20
BODY = b"x" * 100
REQUEST = (
    f"POST /a/write HTTP/1.1\r\nhost: {HOST}\r\nuser-agent: bench\r\naccept: */*\r\n"
    f"content-length: {len(BODY)}\r\n\r\n"
).encode() + BODY
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nok"


async def run(application, calls, profile):
    async with start_single_node(application) as node:
        measure(node.connect_caller(), node.hop, calls, profile)


def measure(caller, hop, calls, profile):
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


def main():
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    configure_json_logging(descriptor=os.open(os.devnull, os.O_WRONLY))
    runner = LoopRunner()
    runner.run(run(runner.application, calls, "--profile" in sys.argv))


if __name__ == "__main__":
    main()
