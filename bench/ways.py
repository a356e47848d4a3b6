"""Ways to spread a version, side by side in one run through the fabric.

Star from the reader, trees of several fan-outs, and eager push to a few random nodes
with lazy announcement (the numbers on pings) and pull on a gap; each also with a tenth
of the nodes killed half-way and with 5 % of datagrams lost.
Usage: python -m bench.ways [nodes] [--chosen]
"""

import gc
import random
import sys

from bench.distribution import (
    CHANGE_RUN_SECONDS,
    KILL_DELAY_SECONDS,
    build_fleet,
    inject_fault,
    measure_idle_cost,
    quantile,
)
from daisylink.process import FleetSettings
from daisylink.process._broadcaster import Broadcaster, BroadcastSettings, RingSegment
from daisylink.serving._records import MAX_POSITION

SERVICES = 5
ZONES = 9
STAR = 1_000_000
TREES = (2, 4, 8, 16, 32)
RANDOM_NEIGHBOURS = (3, 5, 8)


class RandomBroadcaster(Broadcaster):
    """Pushes to a few random nodes of the zone, which do the same once."""

    def broadcast_in_zone(self, payload, now, low=0, high=MAX_POSITION, avoid=()):
        own_record = self.directory.own_record
        ring = self.directory.zone_ring(own_record.zone)
        others = [node for _, node in ring if node != own_record.node]
        chosen = self.rng.sample(others, min(self.fanout, len(others)))
        sends = []
        for node in chosen:
            sends.append(self._send_push(RingSegment(low, high, (node,)), payload, now))
        return sends


def use_random(fabric):
    """Let every node spread at random."""
    for host in fabric.hosts.values():
        host.fleet.broadcaster.__class__ = RandomBroadcaster


def kill_tenth(fabric):
    """Kill a tenth of the nodes while the news is on its way."""
    hosts = list(fabric.hosts.values())
    doomed = random.Random(5).sample(hosts, len(hosts) // 10)
    fabric.call_later(
        KILL_DELAY_SECONDS, lambda: [fabric.kill(host) for host in doomed]
    )


def measure(name, size, fanout, at_random):
    """Print one way's row."""
    settings = FleetSettings(broadcaster=BroadcastSettings(fanout=fanout))
    cells = []
    for loss, disturb in ((0.0, None), (0.0, kill_tenth), (0.05, None)):
        fabric = build_fleet(size, ZONES, SERVICES, settings, loss_rate=loss)
        if at_random:
            use_random(fabric)
        quiet = measure_idle_cost(fabric)
        times, whole = inject_fault(fabric, 1, SERVICES, disturb)
        hosts = list(fabric.hosts.values())
        spent = sum(h.bytes_out for h in hosts) / size - quiet[1] * CHANGE_RUN_SECONDS
        sent = (
            sum(h.messages_sent for h in hosts) / size - quiet[2] * CHANGE_RUN_SECONDS
        )
        busiest = max(h.messages_sent for h in hosts)
        cells.append((times, whole, spent, sent, busiest))
    row = [name]
    for times, whole, spent, sent, busiest in cells:
        row += [
            f"{quantile(times, 0.5) * 1000:.0f}",
            f"{quantile(times, 0.99) * 1000:.0f}",
            f"{times[-1] * 1000:.0f}{'' if whole else ' (not all)'}",
            f"{spent:.0f}",
            f"{sent:.1f}",
            str(busiest),
        ]
    print("| " + " | ".join(row) + " |", flush=True)


def main():
    size = int(sys.argv[1]) if len(sys.argv) > 1 else 900
    only_chosen = "--chosen" in sys.argv
    gc.set_threshold(100_000, 50, 50)
    parts = ("plain", "a tenth dies", "5 % lost")
    heads = ("p50 ms", "p99 ms", "last ms", "B a node", "messages a node", "busiest")
    columns = [f"{part}: {head}" for part in parts for head in heads]
    print(f"{size} nodes in {ZONES} zones")
    print("| way | " + " | ".join(columns) + " |")
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
