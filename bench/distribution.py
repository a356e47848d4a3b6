"""Convergence time, control traffic and platform calls by size of the fleet.

Runs the real fleet logic in the simulator of :mod:`bench.fabric`.
Usage: python -m bench.distribution [sizes...] [--zone-returns]
"""

import argparse
import gc
import resource
import time

from bench.fabric import FleetSimulator
from daisylink.process import FleetSettings
from daisylink.process._events import Started
from daisylink.version import (
    HEAD_KEY,
    Acceptance,
    Accepted,
    Content,
    Pool,
    Priority,
    Route,
    Service,
    VersionStamp,
    build_version,
    pack_content,
)
from tests.support import make_proposal, run_acceptance

ZONES = 9
SERVICES = 50
SETTLE_SECONDS = 12.0
CHANGE_RUN_SECONDS = 16.0
IDLE_SECONDS = 10.0
KILL_DELAY_SECONDS = 0.0036
PARTITION_SECONDS = 20.0


def make_content(services, change=0):
    """Return content for a number of services.

    :param change: selects the one route with a deadline of its own, and the deadline.
    """
    pools = [Pool(f"pool-{n}", 10, 110, 20) for n in range(services)]
    rows = [Service(f"svc-{n}", f"pool-{n}", 2000, 250, 99.5) for n in range(services)]
    routes = []
    for n in range(services):
        for kind in ("read", "write"):
            deadline = 1000 + change if (n, kind) == (change % services, "read") else 0
            routes.append(
                Route(
                    f"svc-{n}-{kind}",
                    "api.example",
                    f"/svc-{n}/{kind}",
                    f"svc-{n}",
                    ("GET",) if kind == "read" else ("POST",),
                    kind == "read",
                    Priority.NORMAL,
                    deadline,
                    64,
                )  # fmt: skip
            )
    return Content.from_rows(pools, rows, routes)


def accept(simulator, content, name):
    """Accept content in the simulated platform; return the record of the head."""
    acceptance = Acceptance(make_proposal(content, name))
    outcome = run_acceptance(acceptance, simulator.store)
    assert isinstance(outcome, Accepted)
    simulator.notify_watches(HEAD_KEY)
    return outcome.record


def build_fleet(
    size, zones=ZONES, services=SERVICES, settings=None, seed=1, loss_rate=0.0
):
    """Return a simulated fleet that has settled on version 1."""
    simulator = FleetSimulator(seed, loss_rate)
    content = make_content(services)
    record = accept(simulator, content, "v1")
    digest, _ = pack_content(content)
    version = build_version(VersionStamp(1, digest, record.accepted_at), content)
    for number in range(size):
        zone = f"z{number % zones}"
        simulator.add(zone, settings or FleetSettings(), start=False)
    simulator.preload(version)
    for host in simulator.hosts.values():
        simulator.deliver_event(host, Started())
    simulator.run(SETTLE_SECONDS)
    return simulator


def reset_counters(simulator):
    """Reset the traffic and call counters."""
    for host in simulator.hosts.values():
        host.bytes_in = host.bytes_out = host.messages_sent = 0
    simulator.store_call_counts.clear()


def run_change(simulator, change, services=SERVICES, inject_fault=None):
    """Accept a change and run the fleet for :data:`CHANGE_RUN_SECONDS`.

    :param inject_fault: called after the change is accepted, to inject a fault.
    :returns: sorted installation times of the live nodes in seconds after acceptance,
        and whether all live nodes have converged.
    """
    reset_counters(simulator)
    started = simulator.now
    record = accept(simulator, make_content(services, change), f"change-{change}")
    number = record.number
    if inject_fault is not None:
        inject_fault(simulator)

    def converged():
        return all(
            host.fleet.installer.number >= number
            for host in simulator.hosts.values()
            if host.alive
        )

    simulator.run(CHANGE_RUN_SECONDS, until=None)
    times = sorted(
        host.installed_at[number] - started
        for host in simulator.hosts.values()
        if host.alive and number in host.installed_at
    )
    return times, converged()


def measure_idle_cost(simulator):
    """Measure the cost of a fleet without changes.

    :returns: bytes in, bytes out, messages and processor seconds, each per node and
        second, and platform calls of the whole fleet per second.
    """
    reset_counters(simulator)
    before = time.process_time()
    simulator.run(IDLE_SECONDS)
    spent = time.process_time() - before
    hosts = [host for host in simulator.hosts.values() if host.alive]
    node_seconds = len(hosts) * IDLE_SECONDS
    calls = sum(simulator.store_call_counts.values()) / IDLE_SECONDS
    return (
        sum(host.bytes_in for host in hosts) / node_seconds,
        sum(host.bytes_out for host in hosts) / node_seconds,
        sum(host.messages_sent for host in hosts) / node_seconds,
        spent / node_seconds,
        calls,
    )


def quantile(times, share):
    return times[min(len(times) - 1, int(share * len(times)))]


def measure(size, services):
    """Print the table row of one fleet size."""
    simulator = build_fleet(size, services=services)
    bytes_in, bytes_out, messages, cpu, calls = measure_idle_cost(simulator)
    times, has_converged = run_change(simulator, 1, services)
    spent = sum(h.bytes_out for h in simulator.hosts.values()) / size
    change_bytes = spent - bytes_out * CHANGE_RUN_SECONDS
    max_bytes_per_second = max(
        h.bytes_out + h.bytes_in for h in simulator.hosts.values()
    )
    max_bytes_per_second /= CHANGE_RUN_SECONDS

    def kill_tenth(simulator):
        hosts = list(simulator.hosts.values())
        killed = simulator.rng.sample(hosts, len(hosts) // 10)
        simulator.call_later(
            KILL_DELAY_SECONDS, lambda: [simulator.kill(host) for host in killed]
        )

    times_with_kills, has_converged_after = run_change(
        simulator, 2, services, kill_tenth
    )
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024 / size
    print(
        f"| {size} | {quantile(times, 0.5) * 1000:.0f} | "
        f"{quantile(times, 0.99) * 1000:.0f} | {times[-1] * 1000:.0f} | "
        f"{'yes' if has_converged else 'NO'} | {times_with_kills[-1]:.2f} | "
        f"{'yes' if has_converged_after else 'NO'} | {bytes_in + bytes_out:.0f} | "
        f"{messages:.1f} | {change_bytes:.0f} | "
        f"{max_bytes_per_second:.0f} | {calls:.1f} | "
        f"{cpu * 1e6:.0f} | {memory:.2f} |",
        flush=True,
    )


def measure_return(size, services):
    """Print how a partitioned zone catches up once the partition is healed."""
    simulator = build_fleet(size, services=services)
    idle_cost = measure_idle_cost(simulator)
    others = [zone for zone in simulator.zones if zone != "z0"]
    for zone in (*others, "platform"):
        simulator.partition("z0", zone)
    simulator.run(PARTITION_SECONDS)
    for change in (1, 2, 3):
        record = accept(simulator, make_content(services, change), f"cut-{change}")
        simulator.run(1.0)
    reset_counters(simulator)
    healed = simulator.now
    simulator.heal_partitions()
    simulator.run(CHANGE_RUN_SECONDS)
    hosts = [h for h in simulator.hosts.values() if h.fleet.own_record.zone == "z0"]
    times = sorted(h.installed_at[record.number] - healed for h in hosts)
    spent = sum(h.bytes_out for h in hosts) / len(hosts)
    print(
        f"| {size} | {quantile(times, 0.5) * 1000:.0f} | "
        f"{quantile(times, 0.99) * 1000:.0f} | {times[-1] * 1000:.0f} | "
        f"{spent - idle_cost[1] * CHANGE_RUN_SECONDS:.0f} |",
        flush=True,
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("sizes", nargs="*", type=int, default=[90, 270, 810])
    parser.add_argument("--services", type=int, default=SERVICES)
    parser.add_argument("--zone-returns", action="store_true")
    arguments = parser.parse_args()
    gc.set_threshold(100_000, 50, 50)
    if arguments.zone_returns:
        print("| nodes | p50 ms | p99 ms | last ms | B a node of the zone, out |")
        print("| --- " * 5 + "|")
        for size in arguments.sizes:
            measure_return(size, arguments.services)
        return
    print(
        "| nodes | p50 ms | p99 ms | last ms | all | tenth killed: last s | all | "
        "idle B/s a node (in+out) | messages/s | change B a node (out) | max B/s "
        "| platform calls/s | CPU us/s a node | MB a node |"
    )
    print("| --- " * 14 + "|")
    for size in arguments.sizes:
        started = time.monotonic()
        measure(size, arguments.services)
        gc.collect()
        print(f"<!-- {time.monotonic() - started:.0f} s -->")


if __name__ == "__main__":
    main()
