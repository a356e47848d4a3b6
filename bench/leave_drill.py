"""Servers leave while the processes beside them are killed, as real processes.

Sidecars run as separate processes beside stand-in servers and a stand-in store, under
load. Servers leave, with or without saying that they drain, and serve on for some
seconds; their last heartbeat of before is delivered again, late; the processes are
killed soon after the acknowledgement, alone or all at once. Counted are requests that
reach a server later than the time to drain after its leave was acknowledged. With
--store-returns the store also comes back from a copy of three seconds ago, every nine
seconds.

    python -m bench.leave_drill --seed 1 --seconds 60 --sources src
"""

import argparse
import asyncio
import os
import random
import tempfile
from collections import Counter
from contextlib import contextmanager
from pathlib import Path

from daisylink import platform
from daisylink.standin import CallerClient
from tests.platform_standin import ServerStandIn, StoreStandIn
from tests.sidecar_case import HOST
from tests.test_forgotten_leave import SidecarProcess
from tests.test_platform import make_configuration

NODES = 11
ZONES = ("a", "b", "c")
HEARTBEAT_SECONDS = 0.87
DRAIN_SECONDS = 2.0
SERVES_ON_SECONDS = 8.0
LATE_SECONDS = (2.1, 3.5)
CALLS_PER_SECOND = 20
KILL_ALL_SHARE = 0.2
ABRUPT_SHARE = 0.5
COPY_AGE_SECONDS = 3.0
STORE_PAUSE_SECONDS = 6.0


class TimedServer(ServerStandIn):
    """A server that notes when each request reached it."""

    def __init__(self, instance, now):
        super().__init__(instance)
        self.now = now
        self.run_times = []

    async def handle_request(self, writer, method, target, headers, body):
        if headers.get("x-daisylink-target-instance") == self.instance:
            self.run_times.append(self.now())
        await super().handle_request(writer, method, target, headers, body)


class Slot:
    """A machine: a sidecar process and the server beside it, start after start."""

    def __init__(self, drill, number):
        self.drill = drill
        self.number = number
        self.starts = 0
        self.server = None
        self.process = None
        self.sequence = 0
        self.state = "ready"
        self.acknowledged_at = None
        self.is_announcing = True
        self.port = 0

    async def start_server(self):
        self.starts += 1
        instance = f"i-{self.number}-{self.starts}"
        self.server = TimedServer(instance, self.drill.now)
        await self.server.start(self.port)
        self.port = int(self.server.address.rpartition(":")[2])
        self.sequence = 0
        self.state = "ready"
        self.acknowledged_at = None
        self.is_announcing = True

    def start_process(self):
        if self.process is None:
            folder = Path(self.drill.folder) / str(self.number)
            folder.mkdir()
            zone = ZONES[self.number % len(ZONES)]
            self.process = SidecarProcess(self.drill.store, self.server, folder, zone)
        self.process.start(self.drill.sources)

    async def announce(self):
        """Send heartbeats as long as the drill lasts."""
        while True:
            if self.is_announcing:
                self.sequence += 1
                await self.send(self.state, self.sequence)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send(self, state, sequence):
        instance = self.server.instance
        status = await self.process.send_heartbeat(
            state, sequence, instance, self.starts
        )
        if state == "draining":
            self.note_acknowledgement(status, instance)

    def note_acknowledgement(self, status, instance):
        is_current = instance == self.server.instance
        if status == 200 and is_current and self.acknowledged_at is None:
            self.acknowledged_at = self.drill.now()

    async def leave(self):
        """Leave, serve on while the process may be killed, and start anew."""
        drill = self.drill
        late_sequence, instance, born = self.sequence, self.server.instance, self.starts
        if drill.rng.random() < ABRUPT_SHARE:
            self.is_announcing = False
            status = await self.process.send_leave(instance)
            self.note_acknowledgement(status, instance)
        else:
            self.state = "draining"
            self.sequence += 1
            await self.send(self.state, self.sequence)
        for seconds in LATE_SECONDS:
            drill.spawn(self.send_late(seconds, late_sequence, instance, born))
        await asyncio.sleep(drill.rng.uniform(0.0, 0.8))
        await drill.kill(self)
        await asyncio.sleep(SERVES_ON_SECONDS)
        self.is_announcing = False
        await self.process.send_leave(instance)
        self.count_late_requests()
        self.server.close()
        await asyncio.sleep(1.0)
        await self.start_server()

    async def send_late(self, seconds, sequence, instance, born):
        await asyncio.sleep(seconds)
        await self.process.send_heartbeat("ready", sequence, instance, born)

    def count_late_requests(self):
        self.drill.leaves["leaves"] += 1
        if self.acknowledged_at is None:
            self.drill.leaves["without acknowledgement"] += 1
            return
        end = self.acknowledged_at + DRAIN_SECONDS
        late = sum(time > end for time in self.server.run_times)
        self.drill.leaves["servers reached"] += bool(late)
        self.drill.leaves["requests that reached them"] += late
        if late:
            print(f"  {self.server.instance}: {late} requests, log in {self.number}/")


class Drill:
    """The fleet and what happens to it."""

    def __init__(self, seed, sources, folder):
        self.rng = random.Random(seed)
        self.sources = sources
        self.folder = folder
        self.now = asyncio.get_running_loop().time
        self.store = StoreStandIn()
        self.slots = [Slot(self, number) for number in range(NODES)]
        self.tasks = set()
        self.leaves = Counter()
        self.outcomes = Counter()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, seconds, store_returns=False):
        await self.store.start()
        self.store.put(platform.CONFIG_KEY, make_configuration())
        try:
            for slot in self.slots:
                await slot.start_server()
                slot.start_process()
            for slot in self.slots:
                await slot.process.wait_until_ready()
                self.spawn(slot.announce())
                self.spawn(self.call(slot))
            await asyncio.sleep(2.0)
            if store_returns:
                self.spawn(self.return_store())
            await self.make_servers_leave(self.now() + seconds)
        finally:
            for task in list(self.tasks):
                task.cancel()
            for slot in self.slots:
                slot.process.close()
                slot.server.close()
            self.store.close()

    async def make_servers_leave(self, end):
        """Let servers leave in turn, a few at a time, and wait for the last ones."""
        leaving = set()
        while self.now() < end:
            slot = self.rng.choice(self.slots)
            if slot.state == "ready" and slot.is_announcing and len(leaving) < 4:
                task = asyncio.ensure_future(slot.leave())
                leaving.add(task)
                task.add_done_callback(leaving.discard)
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        await asyncio.gather(*leaving)

    async def return_store(self):
        """Let the store come back from an older copy again and again."""
        while True:
            saved = self.store.make_copy()
            await asyncio.sleep(COPY_AGE_SECONDS)
            await self.store.come_back(saved)
            await asyncio.sleep(STORE_PAUSE_SECONDS)

    async def kill(self, slot):
        """Kill the process of a slot, or all, and start them again."""
        is_alone = self.rng.random() >= KILL_ALL_SHARE
        killed = [slot] if is_alone else self.slots
        for item in killed:
            item.process.kill()
        for item in killed:
            item.process.start(self.sources)

    async def call(self, slot):
        """Make calls at one node."""
        address = slot.process.addresses["outbound"]
        count = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(CALLS_PER_SECOND))
            count += 1
            self.spawn(self.call_once(address, f"{slot.number}-{count}"))

    async def call_once(self, address, name):
        caller = CallerClient(address)
        headers = {"X-Daisylink-Request-Id": name, "X-Daisylink-Deadline-Ms": "800"}
        try:
            async with asyncio.timeout(1.0):
                response = await caller.call("GET", "/x/1", HOST, b"", headers)
            self.outcomes[response.status] += 1
        except (OSError, TimeoutError):
            self.outcomes["no response"] += 1
        finally:
            caller.close()


@contextmanager
def keep_folder(path):
    Path(path).mkdir(parents=True)
    yield path


async def play(seed, seconds, sources, logs, store_returns=False):
    with keep_folder(logs) if logs else tempfile.TemporaryDirectory() as folder:
        drill = Drill(seed, sources, folder)
        await drill.run(seconds, store_returns)
    print(f"seed {seed}: {dict(drill.leaves)}")
    print(f"  calls by status: {dict(drill.outcomes)}", flush=True)
    return drill.leaves["requests that reached them"]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--sources", help="folder of the sources to run")
    parser.add_argument("--logs", help="new folder in which settings and logs stay")
    parser.add_argument("--store-returns", action="store_true")
    options = parser.parse_args()
    sources = os.path.abspath(options.sources) if options.sources else None
    found = asyncio.run(
        play(
            options.seed,
            options.seconds,
            sources,
            options.logs,
            options.store_returns,
        )
    )
    raise SystemExit(1 if found else 0)


if __name__ == "__main__":
    main()
