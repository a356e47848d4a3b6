"""Latency added by the node, compared with direct calls and two baseline proxies.

All processes run on loopback. The paths to the backend server are measured in turn,
one time slice each, so that other load on the machine affects them alike. Quantiles are
computed per slice, and the median over the slices is reported.
Usage: python -m bench.latency [seconds] [rate]
"""

import asyncio
import random
import statistics
import sys
import time
from typing import Any, NamedTuple

from bench.load import LoadGenerator
from bench.processes import Processes, find_free_ports, read_usage, wait_for
from daisylink.clock import SystemClock
from daisylink.commands import Operations
from daisylink.process import ControlClient
from daisylink.standin import CallerClient
from daisylink.store import ConsulStore
from tests.support import HOST, make_content

TARGET_MS = 0.42
SLICE_SECONDS = 1.0
BODY = b"x" * 100
REQUEST = (
    f"POST /a/write HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {len(BODY)}\r\n\r\n"
).encode() + BODY


class Parts(NamedTuple):
    """Ports and processes of the benchmark.

    :param nodes: process, callers' port and admin port of each node.
    :param proxy: port and process of the circuits.web proxy.
    :param bare: port and process of the bare forwarder.
    """

    platform: int
    backend: int
    nodes: list[Any]
    proxy: tuple[int, Any]
    bare: tuple[int, Any]


def start_all(processes):
    """Start the platform, two nodes, a backend server and the two baseline proxies."""
    ports = find_free_ports(12)
    platform, backend, proxy, forwarder = ports[:4]
    processes.start_program("platform", "--listen", f"127.0.0.1:{platform}")
    nodes = []
    for index in range(2):
        callers, relay, control, admin = ports[4 + index * 4 : 8 + index * 4]
        flags = {
            "zone": "z",
            "platform": f"127.0.0.1:{platform}",
            "callers": f"127.0.0.1:{callers}",
            "relay": f"127.0.0.1:{relay}",
            "control": f"127.0.0.1:{control}",
            "admin": f"127.0.0.1:{admin}",
        }
        arguments = []
        for name, value in flags.items():
            arguments += [f"--{name}", value]
        nodes.append((processes.start_program("node", *arguments), callers, admin))
    processes.start_program(
        "backend", "--pool", "a", "--listen", f"127.0.0.1:{backend}",
        "--admin", f"127.0.0.1:{nodes[0][2]}",
    )  # fmt: skip
    baseline = processes.start("bench.baseline_proxy", proxy, f"127.0.0.1:{backend}")
    bare = processes.start(
        "bench.baseline_forwarder", forwarder, f"127.0.0.1:{backend}"
    )
    return Parts(platform, backend, nodes, (proxy, baseline), (forwarder, bare))


async def prepare_fleet(platform, nodes):
    """Accept a sheet and wait until both nodes serve it."""
    store = ConsulStore(f"127.0.0.1:{platform}")
    operations = Operations(
        store, ControlClient(lambda *_: None), SystemClock(), random.Random(1)
    )

    async def accepted():
        try:
            await operations.accept(make_content("a"), "")
        except Exception:
            return False
        return True

    async def serving():
        for _, callers, _ in nodes:
            try:
                response = await CallerClient(f"127.0.0.1:{callers}").send(REQUEST)
            except OSError:
                return False
            if response.status != 200:
                return False
        return True

    await wait_for(accepted)
    await wait_for(serving)
    await store.close()


class CallPath:
    """A path to the backend server, and its measurements.

    :param port: port that calls are sent to.
    :param pids: processes whose processor time is counted.
    """

    def __init__(self, port, pids):
        self.generator = LoadGenerator(f"127.0.0.1:{port}", REQUEST)
        self.pids = pids
        self.slices = []
        self.total_cpu_seconds = 0.0

    async def run_slice(self, rate):
        """Send calls for one time slice and store the quantiles of their latency."""
        before = sum(read_usage(pid).cpu_seconds for pid in self.pids)
        self.generator.latencies.clear()
        await self.generator.run(rate, SLICE_SECONDS)
        self.slices.append(self.generator.quantiles())
        self.total_cpu_seconds += (
            sum(read_usage(pid).cpu_seconds for pid in self.pids) - before
        )

    @property
    def p50(self):
        """Return the median over the slices of the median latency, in ms."""
        return statistics.median(item.p50 for item in self.slices)

    @property
    def p99(self):
        """Return the median over the slices of the 99th percentile, in ms."""
        return statistics.median(item.p99 for item in self.slices)


async def measure(seconds, rate):
    """Measure all paths for a number of seconds and print the table."""
    with Processes() as processes:
        parts = start_all(processes)
        await prepare_fleet(parts.platform, parts.nodes)
        first, second = parts.nodes
        paths = {
            "direct": CallPath(parts.backend, []),
            "bare forwarder": CallPath(parts.bare[0], [parts.bare[1].pid]),
            "node, local server": CallPath(first[1], [first[0].pid]),
            "node, then node": CallPath(second[1], [first[0].pid, second[0].pid]),
            "circuits.web proxy": CallPath(parts.proxy[0], [parts.proxy[1].pid]),
        }
        for path in paths.values():
            await path.generator.run(rate, 0.5)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for path in paths.values():
                await path.run_slice(rate)
        print_table(paths, rate, seconds)


def print_table(paths, rate, seconds):
    """Print one row per path."""
    print(f"{rate:g} calls/s, 100-byte POST, {seconds:g} s, paths in turn")
    print("| path | calls | failed | p50 ms | p99 ms | added p50 | added p99 | CPU |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    direct = paths["direct"]
    for name, path in paths.items():
        calls = sum(item.count for item in path.slices)
        print(
            f"| {name} | {calls} | {path.generator.failed} | {path.p50:.3f} | "
            f"{path.p99:.3f} | {path.p50 - direct.p50:.3f} | "
            f"{path.p99 - direct.p99:.3f} | "
            f"{path.total_cpu_seconds / calls * 1000:.3f} |"
        )
    print(f"CPU: ms a call. Target: {TARGET_MS} ms added at p99")


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 40.0
    rate = float(sys.argv[2]) if len(sys.argv) > 2 else 230.0
    asyncio.run(measure(seconds, rate))


if __name__ == "__main__":
    main()
