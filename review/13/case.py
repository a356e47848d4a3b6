"""A request crashes servers for one calling service, and is sound for another."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

from crashing import CrashingBackend, call_in_turn, send_poison  # noqa: E402
from fleet import make_route, run_case  # noqa: E402

# The request goes to service "roster"; it crashes servers if it begins beside
# "dispatch", and not if it begins beside "fieldfiles".
PLAN = [
    *(("roster", zone) for zone in "aabc"),
    *(("dispatch", zone) for zone in "abc"),
    *(("fieldfiles", zone) for zone in "aabc"),
]
TARGET = "/report/7"
SENDS = 16
SEND_SECONDS = 2.5
SOUND_SECONDS = 0.2


async def play(fleet):
    """Send the request again and again; return whether it came too often."""
    rng = random.Random(1)
    await fleet.start([make_route("report", "/report/", "roster")])
    by_service = {}
    for machine in fleet.machines:
        by_service.setdefault(machine.service, []).append(machine)
    sound = asyncio.ensure_future(
        call_in_turn(fleet, by_service["fieldfiles"], TARGET, SOUND_SECONDS)
    )
    for number in range(SENDS):
        machine = rng.choice(by_service["dispatch"])
        await send_poison(fleet, machine, TARGET, f"p{number}")
        await asyncio.sleep(SEND_SECONDS)
    sound.cancel()
    return CrashingBackend.is_rule_broken(fleet.record)


if __name__ == "__main__":
    CrashingBackend.poison = (TARGET, "dispatch")
    run_case(PLAN, play, FOLDER / "record.txt", backend_type=CrashingBackend)
