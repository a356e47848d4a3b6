"""Seconds until all followers have a version while some readers are late.

Real sidecars on one loop, whose clock stands still while it works, and the stand-in
of the store. For each seed every reader is sound, hears nothing on its watch, is
frozen, or loses the store; the version is written a random moment later.

    python -m bench.late_readers --seeds 50 --nodes 12
"""

import asyncio
import random
from collections import Counter
from typing import Annotated

import typer

from daisylink import platform
from tests.test_late_readers import (
    APPLY_SECONDS,
    LateReaderTestCase,
    cut_off_store,
    freeze,
    make_version,
    silence_watch,
)

MODES = {
    "sound": lambda _: None,
    "hears nothing": silence_watch,
    "frozen": freeze,
    "no store": cut_off_store,
}
# Longest time between the faults and the version: a whole cycle of a watch.
MAX_DELAY_SECONDS = 2.0
# When a run is given up.
LIMIT_SECONDS = 15.0


class Drill(LateReaderTestCase):
    """One run.

    :ivar seconds: what it took, None if it was given up.
    """

    def run_seed(self, seed, nodes):
        self.rng = random.Random(seed)
        self.modes = Counter()
        self.seconds = None
        self.run_machines(self.play, nodes)
        return self

    async def play(self, store, *machines):
        readers, others = await self.select_readers(machines)
        for machine in readers:
            mode = self.rng.choice(list(MODES))
            self.modes[mode] += 1
            MODES[mode](machine)
        await asyncio.sleep(self.rng.uniform(0.0, MAX_DELAY_SECONDS))
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        store.put(platform.CONFIG_KEY, make_version(14))
        states = [machine.sidecar.fleet_state for machine in others]
        try:
            await self.wait_for(
                lambda: all(state.version_number == 14 for state in states),
                LIMIT_SECONDS,
            )
        except TimeoutError:
            return
        self.seconds = loop.time() - began_at


def main(
    seeds: Annotated[int, typer.Option(help="Number of runs.")] = 50,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    nodes: Annotated[int, typer.Option(help="Nodes, three of them readers.")] = 12,
):
    """Play the runs; exit 1 if any took longer than the bound."""
    typer.echo(f"seeds {first} to {first + seeds - 1}, {nodes} nodes")
    slowest: dict[int, float] = {}
    late_seeds = []
    for seed in range(first, first + seeds):
        drill = Drill().run_seed(seed, nodes)
        seconds = LIMIT_SECONDS if drill.seconds is None else drill.seconds
        late = 3 - drill.modes["sound"]
        slowest[late] = max(slowest.get(late, 0.0), seconds)
        modes = ", ".join(f"{count} {mode}" for mode, count in drill.modes.items())
        typer.echo(f"seed {seed}: {seconds:5.2f} s  {modes}")
        if seconds > APPLY_SECONDS:
            late_seeds.append(seed)
    for late, seconds in sorted(slowest.items()):
        typer.echo(f"{late} late readers: {seconds:.2f} s at most")
    typer.echo(f"beyond {APPLY_SECONDS} s: {late_seeds or 'none'}")
    raise typer.Exit(bool(late_seeds))


if __name__ == "__main__":
    typer.run(main)
