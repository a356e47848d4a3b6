"""Convergence, control traffic, processor time and memory of real processes.

Starts the stand-in platform and N nodes (without backend servers) in up to nine zones,
accepts a first sheet and then changes, and reads the counters of each node.
Usage: python -m bench.fleet N [--services S] [--changes C]
"""

import argparse
import asyncio
import random
import re
import statistics
import sys
import time
from datetime import timedelta

import aiohttp

from bench.distribution import make_content
from bench.processes import Processes, find_free_ports, read_usage, wait_for
from daisylink.clock import SystemClock
from daisylink.commands import Operations
from daisylink.errors import DaisylinkError
from daisylink.process import ControlClient
from daisylink.store import ConsulStore

IDLE_SECONDS = 10.0
BYTES_PATTERN = re.compile(
    r"^daisylink_control_bytes\w*_total\{[^}]*\} ([0-9.e+]+)", re.MULTILINE
)


async def read_bytes(session, admin):
    """Return the control bytes that a node reports in its metrics."""
    async with session.get(f"http://127.0.0.1:{admin}/metrics") as reply:
        text = await reply.text()
    return sum(float(value) for value in BYTES_PATTERN.findall(text))


def start_nodes(processes, count, zones, platform):
    """Start nodes; return their processes and admin ports."""
    ports = find_free_ports(count * 4)
    nodes = []
    for index in range(count):
        callers, relay, control, admin = ports[index * 4 : index * 4 + 4]
        process = processes.start_program(
            "node", "--zone", f"z{index % zones}", "--platform", platform,
            "--callers", f"127.0.0.1:{callers}", "--relay", f"127.0.0.1:{relay}",
            "--control", f"127.0.0.1:{control}", "--admin", f"127.0.0.1:{admin}",
        )  # fmt: skip
        nodes.append((process, admin))
    return nodes


async def measure(count, services, changes):
    """Print the table row of one fleet size."""
    zones = min(9, max(1, count // 8))
    with Processes() as processes:
        (port,) = find_free_ports(1)
        platform = f"127.0.0.1:{port}"
        processes.start_program("platform", "--listen", platform)
        await asyncio.sleep(1.5)
        started = time.monotonic()
        nodes = start_nodes(processes, count, zones, platform)
        store = ConsulStore(platform)
        client = ControlClient(lambda *_: None)
        rng = random.Random(1)
        operations = Operations(store, client, SystemClock(), rng)
        await operations.accept(make_content(services), "first")

        async def all_joined():
            try:
                reports = await operations.survey()
            except DaisylinkError:
                return False
            seen = [report.survey for report in reports if report.survey]
            return sum(item.counts.get(1, 0) for item in seen) == count

        await wait_for(all_joined, 120.0)
        joined = time.monotonic() - started
        await asyncio.sleep(5.0)
        async with aiohttp.ClientSession() as session:
            idle_cost = await measure_idle_cost(session, nodes)
            times, cost = await run_changes(
                operations, session, nodes, services, changes, idle_cost[0]
            )
        memory = (
            statistics.mean(read_usage(p.pid).resident_bytes for p, _ in nodes) / 2**20
        )
        print(
            f"| {count} | {zones} | {services} | {joined:.1f} | "
            f"{statistics.median(times) * 1000:.0f} | {max(times) * 1000:.0f} | "
            f"{idle_cost[0]:.0f} | {idle_cost[1] * 100:.2f} | {cost[0]:.0f} | "
            f"{cost[1] * 1000:.1f} | {memory:.0f} |"
        )
        await client.close()
        await store.close()


async def measure_idle_cost(session, nodes):
    """Return control bytes per second and share of a core, per node without changes."""
    before = [await read_bytes(session, admin) for _, admin in nodes]
    used = [read_usage(process.pid).cpu_seconds for process, _ in nodes]
    await asyncio.sleep(IDLE_SECONDS)
    used_after = [read_usage(process.pid).cpu_seconds for process, _ in nodes]
    after = [await read_bytes(session, admin) for _, admin in nodes]
    divisor = len(nodes) * IDLE_SECONDS
    return (sum(after) - sum(before)) / divisor, (sum(used_after) - sum(used)) / divisor


async def run_changes(operations, session, nodes, services, changes, idle_cost):
    """Accept changes in quick succession, then five more that are timed one by one.

    :param idle_cost: control bytes per node and second without changes.
    :returns: convergence times of the five, and control bytes and processor seconds
        per node and change of the others, the bytes without those of an idle fleet.
    """
    before = [await read_bytes(session, admin) for _, admin in nodes]
    used = [read_usage(process.pid).cpu_seconds for process, _ in nodes]
    started = time.monotonic()
    records = []
    for change in range(1, changes + 1):
        content = make_content(services, change)
        records.append((await operations.accept(content, "change")).record)
        await asyncio.sleep(0.7)
    spent = time.monotonic() - started
    used_after = [read_usage(process.pid).cpu_seconds for process, _ in nodes]
    after = [await read_bytes(session, admin) for _, admin in nodes]
    divisor = len(nodes) * changes
    cost = (
        (sum(after) - sum(before)) / divisor - idle_cost * spent / changes,
        (sum(used_after) - sum(used)) / divisor,
    )
    times = []
    for change in range(changes + 1, changes + 6):
        content = make_content(services, change)
        record = (await operations.accept(content, "timed")).record
        report = await operations.wait_for_version(
            record.number, timedelta(seconds=16), (), lambda _: None
        )
        times.append(report.seconds)
    return times, cost


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("counts", nargs="+", type=int)
    parser.add_argument("--services", type=int, default=50)
    parser.add_argument("--changes", type=int, default=10)
    arguments = parser.parse_args()
    print(
        "| nodes | zones | services | all joined s | change p50 ms | change max ms | "
        "idle B/s a node | idle % of a core | B a change a node | "
        "CPU ms a change a node (0.7 s of idling included) | MB a node |"
    )
    print("| --- " * 11 + "|")
    for count in arguments.counts:
        asyncio.run(measure(count, arguments.services, arguments.changes))
        sys.stdout.flush()


if __name__ == "__main__":
    main()
