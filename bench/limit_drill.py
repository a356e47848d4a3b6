"""Servers name limits or say that they leave while processes are killed.

Sidecars run as separate processes beside stand-in servers and a stand-in store, under
load, as in :mod:`bench.leave_drill`. Servers name a limit on their rate for some
seconds, or say in their responses that they leave while their heartbeats say that they
are ready; the processes beside them, or others, are killed meanwhile. Counted are
requests beyond the bounds, from machines that were told and have not been killed since.

    python -m bench.limit_drill --seed 1 --seconds 60 --sources src
"""

import argparse
import asyncio
import os
import tempfile
from collections import Counter
from typing import NamedTuple

from bench.leave_drill import Drill, Slot, keep_folder
from daisylink.standin import CallerClient
from tests.platform_standin import ServerStandIn, encode_response
from tests.sidecar_case import HOST

# Fewer servers than machines, so that most requests come from other machines.
SERVERS = 5
LIMITS = (0.0, 0.4, 2.0, 8.8, 14.4)
NAMED_SECONDS = 10.0
LEAVING_SHARE = 0.3
SERVICE_SECONDS = 0.05
# The bound of a limit holds from so long after it was first named, for machines that
# were told so long before, in windows of so many seconds.
STABLE_SECONDS = 3.0
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
BOUND_FACTOR = 1.5
BOUND_SLACK = 5
DRAIN_SECONDS = 2.0
LIMIT_HEADER = "server-limit"
LEAVING_HEADER = "server-leaving"


class Arrival(NamedTuple):
    """A request that reached a server.

    :param at: when it did, in seconds of the drill's clock.
    :param limit_age: seconds since its entry machine was told the server's limit, -1
        if it was not, or was killed since.
    :param leaving_age: the same for the server's leaving.
    """

    at: float
    limit_age: float
    leaving_age: float


class NamingServer(ServerStandIn):
    """A server that notes when each request came and where it began."""

    def __init__(self, instance, drill):
        super().__init__(instance)
        self.drill = drill
        self.service_seconds = SERVICE_SECONDS
        self.extra = ""
        self.arrivals = []
        self.make_raw_response = lambda name: encode_response(
            name, b"named", f"X-Instance: {instance}\r\n{self.extra}"
        )

    async def handle_request(self, writer, method, target, headers, body):
        if headers.get("x-daisylink-target-instance") == self.instance:
            entry = int(headers["x-daisylink-request-id"].partition("-")[0])
            self.arrivals.append(self.drill.make_arrival(self.instance, entry))
        await super().handle_request(writer, method, target, headers, body)


class NamingSlot(Slot):
    """A machine whose server names something now and then."""

    async def start_server(self):
        await super().start_server()
        self.server.close()
        instance = self.server.instance
        self.server = NamingServer(instance, self.drill)
        await self.server.start(self.port)

    async def announce(self):
        if self.number < SERVERS:
            await super().announce()

    async def name_limit(self, limit):
        """Name a limit for a while, and count what came beyond it."""
        server, since = self.server, self.drill.now()
        server.extra = f"Server-Limit: {limit}\r\n"
        await self.outlive(NAMED_SECONDS)
        server.extra = ""
        most = self.drill.max_in_window(server, since + STABLE_SECONDS)
        allowed = BOUND_FACTOR * limit * WINDOW_SECONDS + BOUND_SLACK
        self.drill.found["limits"] += 1
        self.drill.found["limits broken"] += most > allowed
        if most > allowed:
            print(f"  {server.instance}: {most} at a limit of {limit}")
        self.drill.forget(server)

    async def say_leaving(self):
        """Say in responses only that the server leaves, then start anew."""
        server = self.server
        server.extra = "Server-Leaving: 1\r\n"
        await self.outlive(NAMED_SECONDS)
        late = self.drill.count_after_leaving(server)
        self.drill.found["leaves"] += 1
        self.drill.found["leaving servers reached"] += late > 0
        if late:
            print(f"  {server.instance}: {late} requests, log {self.number}")
        server.close()
        await asyncio.sleep(1.0)
        await self.start_server()

    async def outlive(self, seconds):
        """Kill processes, the own one among them, while time passes."""
        drill = self.drill
        end = drill.now() + seconds
        while drill.now() < end:
            await asyncio.sleep(drill.rng.uniform(2.0, 6.0))
            slot = self if drill.rng.random() < 0.5 else drill.rng.choice(drill.slots)
            drill.killed_at[slot.number] = drill.now()
            slot.process.kill()
            slot.process.start(drill.sources)


class LimitDrill(Drill):
    """The fleet, and which machine was told what."""

    def __init__(self, seed, sources, folder):
        super().__init__(seed, sources, folder)
        self.slots = [NamingSlot(self, slot.number) for slot in self.slots]
        self.found = Counter()
        self.told_at = {}
        self.killed_at = {}

    def forget(self, server):
        for key in [key for key in self.told_at if key[1] == server.instance]:
            del self.told_at[key]

    def make_arrival(self, instance, entry):
        """Return the arrival of a request at a server now."""
        limit_age = self.get_told_age(LIMIT_HEADER, instance, entry)
        leaving_age = self.get_told_age(LEAVING_HEADER, instance, entry)
        return Arrival(self.now(), limit_age, leaving_age)

    def get_told_age(self, header, instance, entry):
        """Return how long ago a machine was told, -1 if it was not, or killed since."""
        told_at = self.told_at.get((header, instance, entry))
        if told_at is None or self.killed_at.get(entry, 0.0) >= told_at:
            return -1.0
        return self.now() - told_at

    def max_in_window(self, server, since):
        times = [
            arrival.at
            for arrival in server.arrivals
            if arrival.at >= since and arrival.limit_age > TOLD_SECONDS
        ]
        return max(
            (
                sum(start <= time < start + WINDOW_SECONDS for time in times)
                for start in times
            ),
            default=0,
        )

    def count_after_leaving(self, server):
        return sum(arrival.leaving_age > DRAIN_SECONDS for arrival in server.arrivals)

    async def make_servers_leave(self, end):
        """Let a few servers at a time name a limit or leave."""
        naming = {}
        while self.now() < end:
            slot = self.rng.choice(self.slots[:SERVERS])
            if slot.number not in naming and len(naming) < 2:
                work = (
                    slot.say_leaving()
                    if self.rng.random() < LEAVING_SHARE
                    else slot.name_limit(self.rng.choice(LIMITS))
                )
                naming[slot.number] = asyncio.ensure_future(work)
                naming[slot.number].add_done_callback(
                    lambda _, number=slot.number: naming.pop(number)
                )
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
        await asyncio.gather(*naming.values())

    async def call_once(self, address, name):
        caller = CallerClient(address)
        headers = {"X-Daisylink-Request-Id": name, "X-Daisylink-Deadline-Ms": "800"}
        entry = int(name.partition("-")[0])
        try:
            async with asyncio.timeout(1.0):
                response = await caller.call("GET", "/x/1", HOST, b"", headers)
        except (OSError, TimeoutError):
            self.outcomes["no response"] += 1
            return
        finally:
            caller.close()
        self.outcomes[response.status] += 1
        instance = response.headers.get("x-instance")
        for header in {LIMIT_HEADER, LEAVING_HEADER} & set(response.headers):
            if instance and self.get_told_age(header, instance, entry) < 0:
                self.told_at[header, instance, entry] = self.now()


async def play(seed, seconds, sources, logs):
    with keep_folder(logs) if logs else tempfile.TemporaryDirectory() as folder:
        drill = LimitDrill(seed, sources, folder)
        await drill.run(seconds)
    print(f"seed {seed}: {dict(drill.found)}")
    print(f"  calls by status: {dict(drill.outcomes)}", flush=True)
    return drill.found["limits broken"] + drill.found["leaving servers reached"]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--sources", help="folder of the sources to run")
    parser.add_argument("--logs", help="new folder in which settings and logs stay")
    options = parser.parse_args()
    sources = os.path.abspath(options.sources) if options.sources else None
    broken = asyncio.run(play(options.seed, options.seconds, sources, options.logs))
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
