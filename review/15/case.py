"""The operator adds a route whose name has a space."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

from backend import Backend  # noqa: E402
from fleet import has_trouble, make_head, make_route, run_case, send  # noqa: E402

PLAN = [(service, zone) for service in ("roster", "fieldfiles") for zone in "aabc"]
NEW_VERSION = 20
APPLY_SECONDS = 2.0
SEND_SECONDS = 20.0
GAP_SECONDS = 0.02
# Of all requests, beyond one in 500.
MAX_DENIED = 5
ALLOWED_SHARE = 1 / 500
NOT_DENIED = (408, 421, 429)


async def call_in_turn(fleet, target, end, counts):
    """Send requests at one machine after the other and count the answers."""
    number = 0
    while time.monotonic() < end:
        machine = fleet.machines[number % len(fleet.machines)]
        number += 1
        name = f"{target.split('/')[1]}{number}"
        answer = await send(machine.outbound, make_head("GET", target, name, 1500))
        seal = "x-daisylink-response-seal" in answer.headers
        fleet.record(
            f"{name} at machine {machine.number} ({machine.service}) got "
            f"{answer.status}, sealed: {seal}"
        )
        counts[target, answer.status, seal] += 1
        await asyncio.sleep(GAP_SECONDS)


async def play(fleet):
    """Add the route and use it; return whether proper requests were denied."""
    name = "duty lookup" if has_trouble() else "duty-lookup"
    routes = [make_route("roster-view", "/view/", "roster")]
    await fleet.start(routes)
    fleet.configure(NEW_VERSION, [*routes, make_route(name, "/lookup/", "roster")])
    await asyncio.sleep(APPLY_SECONDS + 1.0)
    counts = Counter()
    end = time.monotonic() + SEND_SECONDS
    await asyncio.gather(
        *(call_in_turn(fleet, f"/{path}/1", end, counts) for path in ("view", "lookup"))
    )
    for (target, status, seal), count in sorted(counts.items()):
        fleet.record(f"{target}: {count} answers {status}, sealed: {seal}")
    total = sum(counts.values())
    denied = sum(
        count
        for (_, status, seal), count in counts.items()
        if 300 <= status < 500 and status not in NOT_DENIED and not seal
    )
    line = f"{denied} of {total} proper requests were denied"
    fleet.record(line)
    print(line)
    return denied > MAX_DENIED + total * ALLOWED_SHARE


if __name__ == "__main__":
    run_case(PLAN, play, FOLDER / "record.txt", backend_type=Backend)
