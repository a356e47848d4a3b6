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

# Usual demand in quotas: HARD-LOAD.md gives tenants 1.6 times their usual rate.
USUAL_DEMAND = 1 / 1.6
ZONES = ("a", "b", "c")
# Seconds since the start of the fleet. Trouble begins at TROUBLE_FROM; what is served
# counts from then to TROUBLE_UNTIL, and windows over the whole run.
COST_FROM, COST_UNTIL = 2.0, 8.0
TROUBLE_FROM, TROUBLE_UNTIL = 12.0, 17.0
RUN_SECONDS = 26.0
# Share of one zone's callers that move to another zone.
MOVED_SHARE = 0.68
# The worst share served is that of tenants with at least so many requests due; the
# smaller ones are taken together.
MIN_DUE = 50
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
            if (
                home is not None
                and fleet.now < home.seen_up_at + COUNTER_OUTAGE_SECONDS
            ):
                return Refused(0.0, "own")
            home = fleet.counter = SimpleNamespace(
                machine=up[0],
                share=FixedShare(fleet, up[0]),
                seen_up_at=fleet.now,
            )
            home.share.history = ShareHistory(fleet.now)
            home.share.history.set_shares((Shares(1, 1, Portion.WHOLE),), fleet.now)
        home.seen_up_at = fleet.now
        is_cut = (home.machine.zone in fleet.cut) != (self.machine.zone in fleet.cut)
        if is_cut or fleet.rng.random() < fleet.loss:
            return Refused(0.0, "own")
        return home.share.check(tenant, None)


def make_fleet(way, nodes, tenants, seed):
    sizes = {zone: nodes // 3 + (i < nodes % 3) for i, zone in enumerate(ZONES)}
    fleet = QuotaFleet(tenants, sizes, seed, stored=nodes)
    fleet.limits = {
        t.name: Limit.from_quota(t.rate_per_s, t.burst, fleet.bounds) for t in tenants
    }
    fleet.counter = None
    fleet.start_all()
    if way is not None:
        for machine in fleet.machines.values():
            replace(fleet, machine, way)
    return fleet


def replace(fleet, machine, way):
    """Let a node decide in a simpler way."""
    if way is not None:
        machine.driver.close()
        machine.driver.check = way(fleet, machine).check


def weigh_evenly(_now):
    """Return the weight of each zone in the entries of requests: all the same."""
    return dict.fromkeys(ZONES, 1.0)


def weigh_moving(now):
    """Most callers of one zone move to another one for 5 s, and back."""
    if TROUBLE_FROM <= now < TROUBLE_UNTIL:
        return {"a": 1 - MOVED_SHARE, "b": 1 + MOVED_SHARE, "c": 1.0}
    return weigh_evenly(now)


def do_nothing(_fleet, _way):
    pass


def cut_zone(fleet, _way):
    fleet.call_later(TROUBLE_FROM, lambda: fleet.cut_off("c"))
    fleet.call_later(TROUBLE_UNTIL, lambda: fleet.rejoin("c"))


def kill_coordinators(fleet, way):
    names = {
        rank_coordinators([m.name for m in fleet.by_zone(zone)], shard)[0]
        for zone in ZONES
        for shard in range(4)
    }
    names.add(next(iter(fleet.machines)))
    restart(fleet, [fleet.machines[name] for name in sorted(names)], way, 4.0)


def kill_all(fleet, way):
    restart(fleet, list(fleet.machines.values()), way, 1.0)


def restart(fleet, machines, way, seconds):
    def start(machine):
        fleet.start(machine)
        replace(fleet, machine, way)

    for machine in machines:
        fleet.call_later(TROUBLE_FROM, lambda m=machine: fleet.kill(m))
        fleet.call_later(TROUBLE_FROM + seconds, lambda m=machine: start(m))


def scale_out(fleet, way):
    number = round(len(fleet.machines) * 0.3)

    def start():
        for index in range(number):
            zone = ZONES[index % 3]
            machine = fleet.add_machine(f"{zone}new{index}:7", zone)
            fleet.start(machine)
            replace(fleet, machine, way)

    fleet.call_later(TROUBLE_FROM, start)


# Demand relative to the usual one, weights of the zones, and what goes wrong.
SCENARIOS = {
    "calm": (1.0, weigh_evenly, do_nothing),
    "at the quota": (1.6, weigh_evenly, do_nothing),
    "8 times": (8.0, weigh_evenly, do_nothing),
    "callers move": (1.0, weigh_moving, do_nothing),
    "callers move, at the quota": (1.6, weigh_moving, do_nothing),
    "callers move, 8 times": (8.0, weigh_moving, do_nothing),
    "zone cut off": (1.0, weigh_evenly, cut_zone),
    "zone cut off, 8 times": (8.0, weigh_evenly, cut_zone),
    "coordinators killed": (1.0, weigh_evenly, kill_coordinators),
    "all killed": (1.0, weigh_evenly, kill_all),
    "all killed, 8 times": (8.0, weigh_evenly, kill_all),
    "scale-out, 8 times": (8.0, weigh_evenly, scale_out),
}
WAYS = {"lending": None, "fixed share": FixedShare, "one counter": OneCounter}


def run_scenario(name, way, nodes, tenants, seed):
    """Run a scenario; return the fleet."""
    factor, choose_zone, trouble = SCENARIOS[name]
    fleet = make_fleet(way, nodes, tenants, seed)
    fleet.load(
        lambda t: t.rate_per_s * USUAL_DEMAND * factor, choose_zone, 0.0, RUN_SECONDS
    )
    trouble(fleet, way)
    fleet.run(RUN_SECONDS)
    return fleet


def measure(fleet):
    """Return three shares served and the worst window.

    The shares are those of all tenants, of the worst one with at least :data:`MIN_DUE`
    requests due, and of the smaller ones; the window is relative to its bound.
    """
    owed = served = 0
    worst, over = 1.0, 0.0
    small_due = small_served = 0
    for name, tenant in fleet.tenants.items():
        times = fleet.admitted[name]
        window = fleet.bounds.window.total_seconds()
        highest = find_highest(times, window)
        over = max(over, highest / find_bound(tenant, fleet.bounds))
        due = count_owed(tenant, fleet.arrivals[name], TROUBLE_FROM, TROUBLE_UNTIL)
        got = sum(TROUBLE_FROM <= at < TROUBLE_UNTIL for at in times)
        owed += due
        served += min(due, got)
        if due >= MIN_DUE:
            worst = min(worst, got / due)
        else:
            small_due += due
            small_served += min(due, got)
    return served / max(1, owed), worst, small_served / max(1, small_due), over


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
        for label, way in WAYS.items():
            fleet = run_scenario(name, way, nodes, make_tenants(), seed)
            row = " | ".join(f"{figure:.3f}" for figure in measure(fleet))
            print(f"| {name} | {label} | {row} |")
            sys.stdout.flush()


def measure_cost(nodes, number, seed):
    """Print messages a node a second, and the memory of a node, with many tenants."""
    tenants = make_tenants(number)
    for factor in (1.0, 8.0):
        fleet = make_fleet(None, nodes, tenants, seed)
        fleet.load(
            lambda t, f=factor: t.rate_per_s * USUAL_DEMAND * f,
            weigh_evenly,
            0.0,
            COST_UNTIL,
        )
        fleet.run(COST_FROM)
        before, offered = dict(fleet.sent), sum(map(len, fleet.arrivals.values()))
        busy = time.process_time()
        fleet.run(COST_UNTIL)
        busy = time.process_time() - busy
        seconds = (COST_UNTIL - COST_FROM) * nodes
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
