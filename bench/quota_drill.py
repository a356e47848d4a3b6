"""Share served of what tenants are owed, and the highest count against the bound.

Compares the lending of shares with a fixed share for each node and with one counter for
the fleet, in simulated time.

    python -m bench.quota_drill --nodes 80
"""

import sys
import time
import tracemalloc
from collections import defaultdict
from types import SimpleNamespace
from typing import Annotated

import typer

from bench.quota_fleet import (
    QuotaFleet,
    count_owed,
    find_bound,
    find_highest,
    make_tenants,
)
from daisylink.logs import configure_logging
from daisylink.quota import (
    SHARDS,
    Admitted,
    Bucket,
    Limit,
    Portion,
    Refused,
    ShareHistory,
    find_shard,
    rank_coordinators,
)
from daisylink.quota._bucket import Shares

# Usual rate of a tenant, as a part of its quota.
USUAL = 1 / 1.6
ZONES = ("a", "b", "c")
# End of the warm-up, begin and end of the faults, end of a run; in simulated seconds.
WARM, BEGIN, END, LAST = 8.0, 12.0, 17.0, 26.0
# Part of a zone's callers that move to another zone.
MOVED = 0.68
COUNTER_OUTAGE_SECONDS = 3.0


class FixedShare:
    """A fixed share of each quota for each node, beside which nothing is lent."""

    def __init__(self, fleet, machine):
        self.fleet = fleet
        self.history = ShareHistory(fleet.now)
        shares = (Shares(len(fleet.machines), 1, Portion.WHOLE),)
        self.history.set_shares(shares, fleet.now)
        self.buckets = defaultdict(Bucket)

    def check(self, tenant, _on_decision):
        limit = self.fleet.limits[tenant]
        bucket = self.buckets[tenant]
        bucket.settle(self.history, limit, self.fleet.now)
        return Admitted() if bucket.take() else Refused(0.0, "own")


class OneCounter:
    """All buckets at one node, which every request asks; refused without an answer."""

    def __init__(self, fleet, machine):
        self.fleet = fleet
        self.machine = machine

    def check(self, tenant, _on_decision):
        fleet = self.fleet
        home = fleet.counter
        if home is None or not home.machine.is_up:
            up = [m for m in fleet.machines.values() if m.is_up]
            if home is not None and fleet.now < home.lost_at + COUNTER_OUTAGE_SECONDS:
                return Refused(0.0, "own")
            home = fleet.counter = SimpleNamespace(
                machine=up[0],
                share=FixedShare(fleet, up[0]),
                lost_at=fleet.now,
            )
            home.share.history = ShareHistory(fleet.now)
            home.share.history.set_shares((Shares(1, 1, Portion.WHOLE),), fleet.now)
        home.lost_at = fleet.now
        is_cut = (home.machine.zone in fleet.cut) != (self.machine.zone in fleet.cut)
        if is_cut or fleet.rng.random() < fleet.loss:
            return Refused(0.0, "own")
        return home.share.check(tenant, None)


def make_fleet(strategy, nodes, tenants, seed):
    sizes = {zone: nodes // 3 + (i < nodes % 3) for i, zone in enumerate(ZONES)}
    fleet = QuotaFleet(tenants, sizes, seed, stored=nodes)
    fleet.limits = {
        t.name: Limit.from_quota(t.rate, t.burst, fleet.bounds) for t in tenants
    }
    fleet.counter = None
    fleet.start_all()
    if strategy is not None:
        for machine in fleet.machines.values():
            use_strategy(fleet, machine, strategy)
    return fleet


def use_strategy(fleet, machine, strategy):
    """Let a node decide by another strategy."""
    if strategy is not None:
        machine.driver.close()
        machine.driver.check = strategy(fleet, machine).check


def spread(_now):
    return dict.fromkeys(ZONES, 1.0)


def move(now):
    """Most callers of one zone move to another one for 5 s, and back."""
    if BEGIN <= now < END:
        return {"a": 1 - MOVED, "b": 1 + MOVED, "c": 1.0}
    return spread(now)


def do_nothing(_fleet, _strategy):
    pass


def cut_zone(fleet, _strategy):
    fleet.call_later(BEGIN, lambda: fleet.cut_off("c"))
    fleet.call_later(END, lambda: fleet.rejoin("c"))


def kill_coordinators(fleet, strategy):
    names = {
        rank_coordinators([m.name for m in fleet.by_zone(zone)], shard)[0]
        for zone in ZONES
        for shard in range(SHARDS)
    }
    names.add(next(iter(fleet.machines)))
    restart(fleet, [fleet.machines[name] for name in sorted(names)], strategy, 4.0)


def kill_all(fleet, strategy):
    restart(fleet, list(fleet.machines.values()), strategy, 1.0)


def restart(fleet, machines, strategy, seconds):
    def start(machine):
        fleet.start(machine)
        use_strategy(fleet, machine, strategy)

    for machine in machines:
        fleet.call_later(BEGIN, lambda m=machine: fleet.kill(m))
        fleet.call_later(BEGIN + seconds, lambda m=machine: start(m))


def scale_out(fleet, strategy):
    number = round(len(fleet.machines) * 0.3)

    def start():
        for index in range(number):
            zone = ZONES[index % 3]
            machine = fleet.add_machine(f"{zone}new{index}:7", zone)
            fleet.start(machine)
            use_strategy(fleet, machine, strategy)

    fleet.call_later(BEGIN, start)


# Load relative to the usual rate, weights of the zones by time, and faults.
SCENARIOS = {
    "calm": (1.0, spread, do_nothing),
    "at the quota": (1.6, spread, do_nothing),
    "8 times": (8.0, spread, do_nothing),
    "callers move": (1.0, move, do_nothing),
    "callers move, at the quota": (1.6, move, do_nothing),
    "callers move, 8 times": (8.0, move, do_nothing),
    "zone cut off": (1.0, spread, cut_zone),
    "zone cut off, 8 times": (8.0, spread, cut_zone),
    "coordinators killed": (1.0, spread, kill_coordinators),
    "all killed": (1.0, spread, kill_all),
    "all killed, 8 times": (8.0, spread, kill_all),
    "scale-out, 8 times": (8.0, spread, scale_out),
}
STRATEGIES = {"lending": None, "fixed share": FixedShare, "one counter": OneCounter}


def simulate(name, strategy, nodes, tenants, seed):
    """Run a scenario in simulated time; return the fleet."""
    factor, choose_zone, inject_faults = SCENARIOS[name]
    fleet = make_fleet(strategy, nodes, tenants, seed)
    fleet.load(lambda t: t.rate * USUAL * factor, choose_zone, 0.0, LAST)
    inject_faults(fleet, strategy)
    fleet.run(LAST)
    return fleet


def measure(fleet):
    """Return shares served, of all and of the worst tenant, and the worst window."""
    owed = served = 0
    worst, worst_small, over = 1.0, [0, 0], 0.0
    for name, tenant in fleet.tenants.items():
        times = fleet.admitted[name]
        window = fleet.bounds.window.total_seconds()
        highest = find_highest(times, window)
        over = max(over, highest / find_bound(tenant, fleet.bounds))
        due = count_owed(tenant, fleet.arrivals[name], BEGIN, END)
        got = sum(BEGIN <= at < END for at in times)
        owed += due
        served += min(due, got)
        if due >= 50:
            worst = min(worst, got / due)
        else:
            worst_small[0] += due
            worst_small[1] += min(got, due)
    small = worst_small[1] / max(1, worst_small[0])
    return served / max(1, owed), worst, small, over


def main(
    nodes: Annotated[int, typer.Option(help="Nodes of the fleet.")] = 80,
    seed: Annotated[int, typer.Option(help="Seed.")] = 1,
    only: Annotated[str, typer.Option(help="One scenario.")] = "",
    cost: Annotated[int, typer.Option(help="Tenants of a measure of cost.")] = 0,
):
    """Print the table, or the cost of a fleet with many tenants."""
    configure_logging("CRITICAL")
    if cost:
        measure_cost(nodes, cost, seed)
        return
    print("| case | way | served | worst of >= 50 | small | window/bound |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name in [only] if only else SCENARIOS:
        for label, strategy in STRATEGIES.items():
            fleet = simulate(name, strategy, nodes, make_tenants(), seed)
            row = " | ".join(f"{figure:.3f}" for figure in measure(fleet))
            print(f"| {name} | {label} | {row} |")
            sys.stdout.flush()


def measure_cost(nodes, number, seed):
    """Print messages a node a second, and the memory of a node, with many tenants."""
    tenants = make_tenants(number)
    for factor in (1.0, 8.0):
        fleet = make_fleet(None, nodes, tenants, seed)
        fleet.load(lambda t, f=factor: t.rate * USUAL * f, spread, 0.0, WARM)
        fleet.run(2.0)
        before, offered = dict(fleet.sent), sum(map(len, fleet.arrivals.values()))
        busy = time.process_time()
        fleet.run(WARM)
        busy = time.process_time() - busy
        seconds = (WARM - 2.0) * nodes
        offered = sum(map(len, fleet.arrivals.values())) - offered
        rates = {k: (n - before.get(k, 0)) / seconds for k, n in fleet.sent.items()}
        coordinator = max(
            fleet.machines.values(),
            key=lambda m: sum(len(pool.leases) for pool in m.driver.pools),
        )
        lenders = sum(len(pool.leases) for pool in coordinator.driver.pools)
        print(f"{nodes} nodes, {number} tenants, load {factor:g}:")
        print(f"  requests a node a second {offered / seconds:.2f}")
        for kind, rate in sorted(rates.items()):
            print(f"  {kind} sent a node a second {rate:.2f}")
        print(f"  sum {sum(rates.values()):.2f}; most lenders at a node {lenders}")
        print(f"  simulation: {busy / seconds * 1e3:.2f} ms of a core a node a second")
    measure_memory(tenants)


def measure_memory(tenants):
    """Print the memory of one node that has seen all tenants."""
    fleet = QuotaFleet(tenants, {"a": 2}, stored=2)
    tracemalloc.start()
    fleet.start_all()
    fleet.run(1.0)
    before = tracemalloc.get_traced_memory()[0]
    first = next(iter(fleet.machines.values()))
    for tenant in fleet.tenants:
        first.driver.check(tenant, lambda _decision: None)
    for number, tenant in enumerate(fleet.tenants):
        ask = SimpleNamespace(number=number, tenant=tenant)
        first.driver.pools[find_shard(tenant)].handle_ask("other", ask, fleet.now)
    fleet.run(2.0)
    used = tracemalloc.get_traced_memory()[0] - before
    print(f"  memory of a node that holds all tenants: {used / 1e6:.2f} MB")


if __name__ == "__main__":
    typer.run(main)
