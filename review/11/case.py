"""A server leaves; the store then comes back from an older copy.

The process that confirmed the leave is killed meanwhile, and two heartbeats that were
sent before the leave arrive late.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

from backend import HEARTBEAT_SECONDS, Backend  # noqa: E402
from fleet import has_trouble, make_head, make_route, run_case, send  # noqa: E402

PLAN = [(service, zone) for service in ("roster", "fieldfiles") for zone in "aabc"]
CALL_SECONDS = 0.012
WORK_SECONDS = 0.1
# Times in seconds after the copy of the store was made.
LEAVE_AT = 2.0
# Between the last heartbeat and the leave.
MARGIN_SECONDS = 0.05
AWAY_AT = 2.5
RESTART_AT = 3.7
RETURN_AT = 3.0
BEATS_AT = (4.5, 4.9)
END_AT = 12.0
DRAIN_SECONDS = 2.0
STABLE_SECONDS = 3.0


class LeavingBackend(Backend):
    """A server that notes when its requests were sent."""

    sent_at = {}


async def call(fleet, machine, number):
    """Send a request and note when."""
    name = f"c{number}"
    LeavingBackend.sent_at[name] = time.monotonic()
    answer = await send(machine.outbound, make_head("GET", "/view/1", name, 1500))
    fleet.record(f"{name} at machine {machine.number} got {answer.status}")


async def call_in_turn(fleet, machines):
    """Send requests at one machine after the other, without end."""
    number = 0
    calls = set()
    while True:
        machine = machines[number % len(machines)]
        calls.add(asyncio.ensure_future(call(fleet, machine, number)))
        number += 1
        await asyncio.sleep(CALL_SECONDS)


async def play(fleet):
    """Let a server leave; return whether it got requests after its drain time."""
    routes = [make_route("roster-view", "/view/", "roster")]
    await fleet.start(routes)
    machine = fleet.machines[0]
    server = machine.server
    for item in fleet.machines:
        item.server.work_seconds = WORK_SECONDS
    others = [item for item in fleet.machines if item.service == "fieldfiles"]
    calls = asyncio.ensure_future(call_in_turn(fleet, others))
    copied_at = time.monotonic()

    async def wait_until(seconds):
        await asyncio.sleep(max(0.0, copied_at + seconds - time.monotonic()))

    contents = fleet.store.make_copy()
    # The last two heartbeats before the leave are held up on their way.
    await wait_until(LEAVE_AT - HEARTBEAT_SECONDS - MARGIN_SECONDS)
    server.is_beating = False
    held_up = (server.sequence + 1, server.sequence + 2)
    await wait_until(LEAVE_AT)
    status = await server.leave()
    confirmed_at = time.monotonic()
    fleet.record(f"{server.instance} leaves, confirmed with {status}")
    if status != 200:
        raise RuntimeError("the leave was not confirmed")
    counted_from = confirmed_at + DRAIN_SECONDS
    await wait_until(AWAY_AT)
    if has_trouble():
        machine.kill()
        fleet.store.go_away()
        fleet.record("store is away, process beside the server killed")
        await wait_until(RETURN_AT)
        await fleet.store.come_back(contents)
        fleet.configure(12, routes)
        fleet.record("store is back from a copy")
        await wait_until(RESTART_AT)
        machine.start()
        fleet.record("process started again")
        while not await machine.is_ready():
            await asyncio.sleep(0.05)
        counted_from = time.monotonic() + STABLE_SECONDS
    for seconds, sequence in zip(BEATS_AT, held_up, strict=True):
        await wait_until(seconds)
        status = await server.send_beat("ready", sequence)
        fleet.record(f"late heartbeat {sequence} of before the leave got {status}")
    await wait_until(END_AT)
    calls.cancel()
    server.crash()
    late = [
        name for _, name in server.runs if LeavingBackend.sent_at[name] > counted_from
    ]
    line = f"{len(late)} requests reached the server that had left"
    fleet.record(line)
    print(line)
    return bool(late)


if __name__ == "__main__":
    run_case(PLAN, play, FOLDER / "record.txt", backend_type=LeavingBackend)
