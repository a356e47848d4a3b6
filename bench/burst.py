"""Measures service before, during and after a burst, second by second.

Callers of the fleet of :mod:`bench.burst_fleet` retry once. Two loads: ``returning``,
where refused requests come back with less of a limit that is longer than the route's;
and ``feed``, where a burst of long bulk requests meets short calls that requests with a
slot elsewhere wait for.
Usage: python -m bench.burst [returning|feed] [seed]
"""

import sys

from bench.burst_fleet import Simulation
from bench.burst_loads import BURST_FROM, BURST_SECONDS, END, LOADS


def print_run(name, seed, **options):
    simulation = Simulation(LOADS[name], seed, **options).run()
    before, burst = int(BURST_FROM), int(BURST_FROM + BURST_SECONDS)
    print(f"{name} seed {seed} {options}")
    kinds = ["page", "feed", "lookup"] if name == "feed" else ["view"]
    for kind in kinds:
        usual = simulation.share(kind, 3, before)
        seconds = " ".join(
            f"{simulation.share(kind, second, second + 1):.2f}"
            for second in range(before, int(END))
        )
        print(f"  {kind}: before {usual:.3f}; by second from 10: {seconds}")
        during = simulation.share(kind, before, burst)
        first = simulation.share(kind, burst, burst + 2)
        after = simulation.share(kind, burst + 2, burst + 7)
        print(f"    burst {during:.3f}; 0-2 s after {first:.3f}; 2-7 s {after:.3f}")
    wasted = [
        simulation.wasted_share(*span)
        for span in ((3, before), (before, burst), (burst, burst + 7))
    ]
    print("  slot time past objective:", " ".join(f"{item:.3f}" for item in wasted))
    print("  given up:", simulation.statuses)
    return simulation


def main():
    names = [sys.argv[1]] if len(sys.argv) > 1 else list(LOADS)
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    for name in names:
        print_run(name, seed)


if __name__ == "__main__":
    main()
