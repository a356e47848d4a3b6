"""Compares strategies for distributing a version, in the fleet simulator.

The strategies are a star from the reader, trees of several fan-outs, and gossip: eager
push to a few random nodes, lazy announcement by the version numbers on pings, and a
pull on a gap. Each also runs with a tenth of the nodes killed halfway through the
distribution, and with 5 % of datagrams lost. ``--chosen`` runs only the tree of 8.
Usage: python -m bench.ways [nodes] [--chosen]
"""

import gc
import random
import sys

from bench.distribution import (
    CHANGE_RUN_SECONDS,
    KILL_DELAY_SECONDS,
    build_fleet,
    measure_idle_cost,
    quantile,
    run_change,
)
from daisylink.process import FleetSettings
from daisylink.process._broadcaster import Broadcaster, BroadcastSettings, RingSegment
from daisylink.serving._records import MAX_POSITION

SERVICES = 5
ZONES = 9
# Fan-out above any size of a fleet.
STAR = 1_000_000
TREES = (2, 4, 8, 16, 32)
RANDOM_NEIGHBOURS = (3, 5, 8)


class RandomBroadcaster(Broadcaster):
    """Gossip: pushes to a few random nodes of the zone, each of which does so once."""

    def broadcast_in_zone(self, payload, now, low=0, high=MAX_POSITION, avoid=()):
        own_record = self.directory.own_record
        ring = self.directory.zone_ring(own_record.zone)
        others = [node for _, node in ring if node != own_record.node]
        chosen = self.rng.sample(others, min(self.fanout, len(others)))
        sends = []
        for node in chosen:
            sends.append(self._send_push(RingSegment(low, high, (node,)), payload, now))
        return sends


def use_random(simulator):
    """Replace the broadcaster of every node by a :class:`RandomBroadcaster`."""
    for host in simulator.hosts.values():
        host.fleet.broadcaster.__class__ = RandomBroadcaster


def kill_tenth(simulator):
    """Kill a tenth of the nodes while the version is being distributed."""
    hosts = list(simulator.hosts.values())
    killed = random.Random(5).sample(hosts, len(hosts) // 10)
    simulator.call_later(
        KILL_DELAY_SECONDS, lambda: [simulator.kill(host) for host in killed]
    )


def measure(name, size, fanout, at_random):
    """Print the table row of one strategy."""
    settings = FleetSettings(broadcaster=BroadcastSettings(fanout=fanout))
    cells = []
    for loss, inject_fault in ((0.0, None), (0.0, kill_tenth), (0.05, None)):
        simulator = build_fleet(size, ZONES, SERVICES, settings, loss_rate=loss)
        if at_random:
            use_random(simulator)
        idle_cost = measure_idle_cost(simulator)
        times, has_converged = run_change(simulator, 1, SERVICES, inject_fault)
        hosts = list(simulator.hosts.values())
        spent = (
            sum(h.bytes_out for h in hosts) / size - idle_cost[1] * CHANGE_RUN_SECONDS
        )
        sent = (
            sum(h.messages_sent for h in hosts) / size
            - idle_cost[2] * CHANGE_RUN_SECONDS
        )
        max_messages = max(h.messages_sent for h in hosts)
        cells.append((times, has_converged, spent, sent, max_messages))
    row = [name]
    for times, has_converged, spent, sent, max_messages in cells:
        row += [
            f"{quantile(times, 0.5) * 1000:.0f}",
            f"{quantile(times, 0.99) * 1000:.0f}",
            f"{times[-1] * 1000:.0f}{'' if has_converged else ' (not all)'}",
            f"{spent:.0f}",
            f"{sent:.1f}",
            str(max_messages),
        ]
    print("| " + " | ".join(row) + " |", flush=True)


def main():
    size = int(sys.argv[1]) if len(sys.argv) > 1 else 900
    only_chosen = "--chosen" in sys.argv
    gc.set_threshold(100_000, 50, 50)
    parts = ("plain", "a tenth killed", "5 % lost")
    heads = ("p50 ms", "p99 ms", "last ms", "B a node", "messages a node", "busiest")
    columns = [f"{part}: {head}" for part in parts for head in heads]
    print(f"{size} nodes in {ZONES} zones")
    print("| strategy | " + " | ".join(columns) + " |")
    print("| --- " * (len(columns) + 1) + "|")
    if only_chosen:
        measure("tree of 8", size, 8, False)
        return
    measure("star", size, STAR, False)
    for fanout in TREES:
        measure(f"tree of {fanout}", size, fanout, False)
    for fanout in RANDOM_NEIGHBOURS:
        measure(f"eager to {fanout} random, lazy, pull", size, fanout, True)


if __name__ == "__main__":
    main()
