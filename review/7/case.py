"""A spoiled answer ends the answers that other servers owe on the same connection."""

import asyncio
import functools
import os
import random
import time

from review.rig import (
    Connection,
    Fleet,
    Record,
    Reply,
    Server,
    configuration,
    make_request,
    new_id,
    route,
)

# Hanbit: 6 slots each; roster-view has 800 ms. The requests in front go to dispatch,
# whose servers are sound.
SERVICES = ["roster", "roster", "roster", "dispatch", "dispatch"]
SLOTS = 6
LIMIT_MS = 800
# One server of roster's three spoils one answer in fifty: hanbit-oncall.toml's
# troubles have garble with share 0.35, x 0.02 and for_s 5.5. It comes again every so
# many seconds.
SPOILED_SHARE = 0.02
SPOILED_SECONDS = 5.5
PERIOD_SECONDS = 9.0
REQUESTERS = 16
SECONDS = 70.0
# The rule: more than three times.
ALLOWED = 3
VIEW = "/roster/week/"
CHECK = "/dispatch/check/"


def spoil(name: str) -> bytes:
    """Return a head and, where the first chunk is due, bytes that are no answer."""
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Daisylink-Request-Id: {name}\r\n"
        f"X-Daisylink-Response-Seal: i-0.1.{name[:6]}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode() + b"\x00\x9fno answer\xff\xfe" * 8


class Faults:
    """Tells which answers the first server spoils."""

    def __init__(self, rng: random.Random, trouble: bool):
        self.rng = rng
        self.trouble = trouble
        self.started_at = float("inf")

    def plan(self, number: int, path: str) -> Reply:
        """Return how a server answers a request."""
        seconds = 0.03 if path.startswith(VIEW) else 0.2
        since = time.monotonic() - self.started_at
        is_due = (
            self.trouble and since >= 0 and since % PERIOD_SECONDS < SPOILED_SECONDS
        )
        is_spoiled = is_due and number == 0 and self.rng.random() < SPOILED_SHARE
        return Reply(seconds, spoil if is_spoiled else None)


async def run(record: Record, trouble: bool) -> int:
    """Return how often the rule was broken."""
    rng = random.Random(7)
    faults = Faults(rng, trouble)
    fleet = Fleet(record)
    routes = [
        route("view", "/roster/", "roster"),
        route("check", "/dispatch/", "dispatch"),
    ]
    try:
        document = configuration(12, routes, ["roster", "dispatch"])
        await fleet.start(document, SERVICES)
        for machine in fleet.machines:
            plan = functools.partial(faults.plan, machine.number)
            server = Server(f"i-{machine.number}", SLOTS, plan, record)
            await machine.start_server(server)
        await fleet.start_nodes()
        outcomes: dict[str, str] = {}
        faults.started_at = time.monotonic()
        end = faults.started_at + SECONDS
        node = fleet.machines[0]
        await asyncio.gather(
            *(request(record, node, outcomes, rng, end) for _ in range(REQUESTERS))
        )
        return judge(record, fleet, outcomes)
    finally:
        fleet.close(os.environ.get("KEEP_LOGS", ""))


async def request(record, node, outcomes, rng, end) -> None:
    """Send requests, each with a further one before it is answered."""
    connection = Connection(node.outbound)
    while time.monotonic() < end:
        names = [new_id(), new_id()]
        paths = [f"{CHECK}{rng.randrange(10**6)}", f"{VIEW}{rng.randrange(10**6)}"]
        is_kept = connection.is_open
        try:
            if not is_kept:
                await connection.open()
            for name, path in zip(names, paths, strict=True):
                record.write("sends", id=name, path=path)
                connection.send(make_request(name, path, LIMIT_MS))
                await asyncio.sleep(0.01)
        except OSError:
            connection.close()
            continue
        for position, name in enumerate(names):
            answer = await connection.receive(LIMIT_MS / 1000 + 1.0)
            kept = "kept" if is_kept else "new"
            outcomes[name] = f"{kept} {position} {answer.status}"
            record.write("gets", id=name, position=position, status=answer.status)
            if answer.status <= 0:
                connection.close()
                break
        await asyncio.sleep(rng.uniform(0.05, 0.15))
    connection.close()


def judge(record: Record, fleet: Fleet, outcomes: dict[str, str]) -> int:
    """Count the requests in front that a sound server had and that got no answer."""
    reached = {}
    for machine in fleet.machines[1:]:
        for arrival in machine.server.arrivals:
            reached[arrival.name] = machine.server.instance
    spoiled_runs = {arrival.name for arrival in fleet.machines[0].server.arrivals}
    lost = [
        name
        for name, outcome in outcomes.items()
        if outcome.split()[1:] == ["0", "0"]
        and name in reached
        and name not in spoiled_runs
    ]
    kept = [name for name in lost if outcomes[name].startswith("kept")]
    for name in lost:
        record.say(
            f"{name} was passed on to {reached[name]}, which is sound; its connection "
            f"was closed without an answer ({outcomes[name].split()[0]} connection)"
        )
    statuses: dict[str, int] = {}
    for outcome in outcomes.values():
        key = " ".join(outcome.split()[1:])
        statuses[key] = statuses.get(key, 0) + 1
    record.say(f"position and status of the answers: {statuses}")
    record.say(f"closed without an answer on kept connections: {len(kept)} (3 allowed)")
    return len(kept) > ALLOWED
