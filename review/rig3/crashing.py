"""A backend server that one request crashes, and the count of its arrivals."""

import asyncio
import time

from backend import Backend
from fleet import has_trouble, make_head, send

DOWN_SECONDS = 3.0
STABLE_SECONDS = 3.0
MAX_RETRIES = 3
OTHERS_SECONDS = 0.1


class CrashingBackend(Backend):
    """A server that one request crashes when it begins to run it.

    :cvar poison: path and callers' service of that request, None for any service.
    """

    poison = ("", None)
    crashes = []
    arrivals = []
    restarts = set()

    def is_poison(self, target, headers):
        """Return whether a request is the one that crashes."""
        path, caller = self.poison
        return target.partition("?")[0] == path and caller in (
            None,
            headers.get("x-daisylink-caller-service"),
        )

    async def run(self, method, target, headers, reader, writer):
        """Run a request; the one that crashes ends this boot."""
        if not self.is_poison(target, headers):
            return await super().run(method, target, headers, reader, writer)
        self.arrivals.append(time.monotonic())
        if not has_trouble() or not self.is_up:
            return await super().run(method, target, headers, reader, writer)
        self.note_run(target, headers)
        self.record(f"{self.instance} crashes")
        self.crashes.append(time.monotonic())
        self.crash()
        self.restarts.add(asyncio.ensure_future(self.come_back()))
        return None

    async def come_back(self):
        """Be back after some seconds with a new boot."""
        await asyncio.sleep(DOWN_SECONDS)
        await self.boot()

    @classmethod
    def is_rule_broken(cls, record):
        """Return whether the request came too often after the third crash."""
        late = 0
        if len(cls.crashes) >= MAX_RETRIES:
            end = cls.crashes[2] + STABLE_SECONDS
            late = sum(at > end for at in cls.arrivals)
        line = f"{len(cls.crashes)} crashes, {late} arrivals over 3 s after the third"
        record(line)
        print(line)
        return late > MAX_RETRIES


async def call_in_turn(fleet, machines, target, seconds=OTHERS_SECONDS):
    """Send a sound request at one machine after the other, without end."""
    number = 0
    while True:
        machine = machines[number % len(machines)]
        number += 1
        head = make_head("GET", target, f"o{number}", 1500)
        answer = await send(machine.outbound, head)
        fleet.record(f"o{number} {target} got {answer.status}")
        await asyncio.sleep(seconds)


async def send_poison(fleet, machine, target, name):
    """Send the request that crashes once at one machine."""
    fleet.record(f"{name} GET {target} sent to machine {machine.number}")
    head = make_head("GET", target, name, 1500)
    answer = await send(machine.outbound, head)
    fleet.record(f"{name} got {answer.status}")
