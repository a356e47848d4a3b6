"""Helpers for tests: contents, acceptances without I/O, and fleets on one loop."""

import random
import unittest
from datetime import UTC, datetime

from daisylink.clock import LoopClock, ManualClock
from daisylink.commands import Operations
from daisylink.logs import configure_logging
from daisylink.loop import LoopRunner
from daisylink.process import ControlClient
from daisylink.standin import LocalFleet, MemoryStore
from daisylink.store import ConsulStore
from daisylink.version import (
    AnswerLost,
    Content,
    Delete,
    DeleteDone,
    Pool,
    Priority,
    Proposal,
    Read,
    ReadDone,
    ReadFailed,
    Route,
    Service,
    Write,
    WriteConflict,
    WriteDone,
    WriteFailed,
)
from tests.loopback import LOOPBACK_HOST
from tests.paced_loop import PacedLoop

HOST = "a.example"
ACCEPTED_AT = datetime(2026, 12, 3, tzinfo=UTC)


def make_content(*names, queue=20, slots=4, deadline_ms=2000, body_limit_kb=1024):
    """Return content with a pool, a service and two routes for each name."""
    pools = [Pool(name, slots, 50, queue) for name in names]
    services = [Service(name, name, deadline_ms, 100, 99.0) for name in names]
    routes = []
    for name in names:
        for kind, idempotent in (("read", True), ("write", False)):
            routes.append(
                Route(
                    f"{name}-{kind}",
                    HOST,
                    f"/{name}/{kind}",
                    name,
                    (),
                    idempotent,
                    Priority.NORMAL,
                    0,
                    body_limit_kb,
                )
            )
    return Content.from_rows(pools, services, routes)


def make_proposal(content, name="p1", base=None):
    return Proposal(content, name, "planner", "", ACCEPTED_AT, base)


def make_store():
    return MemoryStore(ManualClock(), 10**6, 10**6)


def perform_action(action, store):
    """Apply an action of an acceptance to a store and return the resulting event."""
    match action:
        case Read(key):
            entry = store.get(key)
            return ReadDone(entry.value, entry.index) if entry else ReadDone(None, 0)
        case Write(key, value, index):
            done = store.put(key, value, index)
            return WriteDone() if done else WriteConflict()
        case Delete(key):
            store.delete(key)
            return DeleteDone()


def fail_action(action, store, takes_effect):
    """Return the event of a failed action.

    :param takes_effect: whether the action is applied although it fails.
    """
    if takes_effect:
        perform_action(action, store)
    match action:
        case Read():
            return ReadFailed()
        case Write():
            return AnswerLost() if takes_effect else WriteFailed()
        case Delete():
            return DeleteDone()


def run_acceptance(acceptance, store, faults=None, before_action=None):
    """Run an acceptance against a store and return its outcome.

    :param faults: actions that fail: whether they take effect, by action number.
    :param before_action: callables to call before actions, by action number.
    """
    steps = acceptance.steps()
    event = None
    count = 0
    while True:
        try:
            action = steps.send(event)
        except StopIteration as end:
            return end.value
        if before_action and count in before_action:
            before_action[count]()
        if faults and count in faults:
            event = fail_action(action, store, faults[count])
        else:
            event = perform_action(action, store)
        count += 1


class FleetTestCase(unittest.TestCase):
    """Runs coroutines with a fleet on loopback sockets and one event loop."""

    seed = 7

    def run_fleet(self, scenario, fleet_settings=None):
        """Run the coroutine ``scenario(fleet, operations)`` and close the fleet."""
        configure_logging("ERROR")
        runner = LoopRunner(PacedLoop())
        runner.run(self._run(runner.application, scenario, fleet_settings))

    async def _run(self, application, scenario, fleet_settings):
        clock = LoopClock(application.loop)
        fleet = LocalFleet(application, self.seed, fleet_settings, clock, LOOPBACK_HOST)
        store = ConsulStore(fleet.platform.address)
        client = ControlClient(lambda *_: None)
        rng = random.Random(self.seed)
        operations = Operations(store, client, clock, rng)
        try:
            await scenario(fleet, operations)
        finally:
            await fleet.close()
            await client.close()
            await store.close()
