"""The store comes back from an older copy, to fleets of sidecars on one loop.

Prints when the records of all nodes were back after the store's return, and the writes
of its busiest tenth of a second. Times are of a clock that stands still while the loop
works (tests/paced_loop.py), as 81 nodes share a process.

    python -m bench.store_drill 16 81
"""

import asyncio
import statistics
import sys

from daisylink import platform
from daisylink.logs import configure_logging
from daisylink.sidecar._fleet_state import member_key
from tests.paced_loop import PacedLoop
from tests.platform_standin import StoreStandIn
from tests.sidecar_case import Machine, are_synchronized
from tests.test_platform import make_configuration

AWAY_SECONDS = 1.0
LOST_SECONDS = 3.0
LIMIT_SECONDS = 30.0
BUSY_WINDOW_SECONDS = 0.1


def name(machine):
    return machine.sidecar.members.own_record.node


async def keep_announcing(machines):
    while True:
        for machine in machines:
            await machine.send_heartbeat()
        await asyncio.sleep(1.0)


async def wait_for(condition):
    async with asyncio.timeout(LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


async def wait_for_return(store, machines):
    """Return when each record was first seen written in the store's era."""
    loop = asyncio.get_running_loop()
    returned = {}
    async with asyncio.timeout(LIMIT_SECONDS):
        while len(returned) < len(machines):
            for machine in machines:
                is_back = (
                    machine.sidecar.members.own_record.era == store.era
                    and machine.sidecar.registration.is_written
                    and member_key(name(machine)) in store.items
                )
                if is_back:
                    returned.setdefault(name(machine), loop.time())
            await asyncio.sleep(0.01)
    return list(returned.values())


def count_busiest(times):
    """Return the most writes within any window."""
    return max(
        sum(start <= time < start + BUSY_WINDOW_SECONDS for time in times)
        for start in times
    )


async def play(nodes):
    loop = asyncio.get_running_loop()
    store = StoreStandIn()
    await store.start()
    store.put(platform.CONFIG_KEY, make_configuration())
    machines = [Machine(store, number) for number in range(nodes)]
    for machine in machines:
        await machine.start()
    announcing = asyncio.ensure_future(keep_announcing(machines))
    await wait_for(lambda: are_synchronized(machines))
    saved = store.make_copy()
    await asyncio.sleep(LOST_SECONDS)
    await store.come_back(saved, AWAY_SECONDS)
    came_back = loop.time()
    times = [time - came_back for time in await wait_for_return(store, machines)]
    writes = [time for time in store.write_times if time >= came_back]
    await asyncio.sleep(LOST_SECONDS)
    fewest = min(len(m.sidecar.members.serving("one")) for m in machines)
    print(
        f"| {nodes} | {statistics.median(times):.2f} | {max(times):.2f} | {len(writes)}"
        f" | {count_busiest(writes) / BUSY_WINDOW_SECONDS:.0f} | {fewest} |",
        flush=True,
    )
    announcing.cancel()
    for machine in machines:
        machine.close()
    store.close()


def main():
    configure_logging("CRITICAL")
    print("| nodes | median s | last s | writes | busiest writes/s | members seen |")
    print("| --- | --- | --- | --- | --- | --- |")
    for nodes in map(int, sys.argv[1:] or ("16", "81")):
        with asyncio.Runner(loop_factory=PacedLoop) as runner:
            runner.run(play(nodes))


if __name__ == "__main__":
    main()
