"""What the fleet knows of a request that crashes servers outlives restarts in turn."""

import asyncio
import unittest
from datetime import timedelta

from daisylink.clock import ManualClock
from daisylink.errors import ResultCode
from daisylink.logs import configure_logging
from daisylink.request import (
    Fingerprint,
    LostRequest,
    QuarantineStatus,
    compute_fingerprint,
    parse_head,
)
from daisylink.request._body import RequestBody
from daisylink.serving import Quarantine, Strike
from daisylink.sidecar._strikes import (
    SIDECAR_QUARANTINE_SETTINGS,
    StrikeReporter,
    StrikeReporterSettings,
)
from tests.sidecar_case import HOST, SidecarTestCase

CULPRIT = Fingerprint(b"h", b"culprit")
LOST = (LostRequest(CULPRIT, is_repeat=False),)
CRASHES = SIDECAR_QUARANTINE_SETTINGS.crash_limit
LIFETIME_SECONDS = SIDECAR_QUARANTINE_SETTINGS.strike_lifetime.total_seconds()
PROPAGATION_SECONDS = 2.0
NODES = [f"n{number}" for number in range(5)]


class ReporterFleet:
    """Reporters of several nodes, whose records reach each other at once."""

    def __init__(self):
        self.clock = ManualClock()
        self.reporters = {}
        for node in NODES:
            self.start(node)

    @property
    def now(self):
        return self.clock.monotonic()

    def advance(self, seconds):
        self.clock.monotonic_seconds += seconds
        self.clock.wall_time += timedelta(seconds=seconds)
        for node in NODES:
            self.publish(node)

    def start(self, node):
        quarantine = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        settings = StrikeReporterSettings()
        members = self.reporters.keys
        reporter = StrikeReporter(settings, node, quarantine, self.clock, members)
        for other, known in list(self.reporters.items()):
            if other != node:
                strikes = known.list_current(self.now)
                reporter.handle_record(other, strikes, self.now, is_starting=True)
        self.reporters[node] = reporter

    def restart(self, node):
        self.start(node)
        self.publish(node)
        for other in NODES:
            self.publish(other)

    def publish(self, node):
        strikes = self.reporters[node].list_current(self.now)
        for other, reporter in self.reporters.items():
            if other != node:
                reporter.handle_record(node, strikes, self.now, is_starting=False)

    def find_statuses(self):
        return {
            reporter.quarantine.find_status(CULPRIT, self.now)
            for reporter in self.reporters.values()
        }


class RestartsInTurnTests(unittest.TestCase):
    def setUp(self):
        configure_logging("CRITICAL")
        self.fleet = ReporterFleet()
        for node in NODES[:CRASHES]:
            self.fleet.reporters[node].record_crash(LOST, self.fleet.now)
            self.fleet.advance(1.0)

    def test_every_node_knows_the_request_after_restarts_in_turn(self):
        """review/5: strikes left the records after 10 s, and with their node."""
        self.fleet.advance(12.0)
        for node in NODES * 2:
            self.fleet.restart(node)
            self.fleet.advance(2.0)
        self.assertEqual(self.fleet.find_statuses(), {QuarantineStatus.QUARANTINED})

    def test_restarts_do_not_prolong_strikes(self):
        """A node that learned them late listed them anew, for another minute."""
        while self.fleet.now < LIFETIME_SECONDS + 40.0:
            for node in NODES:
                self.fleet.restart(node)
                self.fleet.advance(1.0)
        self.assertEqual(self.fleet.find_statuses(), {QuarantineStatus.CLEAR})
        for reporter in self.fleet.reporters.values():
            self.assertEqual(reporter.list_current(self.fleet.now), ())

    def test_a_node_that_starts_forgets_with_the_others(self):
        """It would refuse the request for a minute from its own start."""
        self.fleet.advance(LIFETIME_SECONDS - 10.0 - self.fleet.now)
        for node in NODES:
            self.fleet.restart(node)
            self.fleet.advance(1.0)
        self.fleet.advance(LIFETIME_SECONDS + 10.0 - self.fleet.now)
        self.assertEqual(self.fleet.find_statuses(), {QuarantineStatus.CLEAR})

    def test_the_request_is_refused_for_as_long_as_a_rollout_of_restarts(self):
        """Strikes ended after 60 s, and three more servers crashed."""
        while self.fleet.now < 300.0:
            for node in NODES:
                self.fleet.restart(node)
                self.fleet.advance(2.0)
        self.assertEqual(self.fleet.find_statuses(), {QuarantineStatus.QUARANTINED})

    def test_withdrawn_strikes_do_not_return_with_restarts(self):
        self.fleet.reporters[NODES[3]].record_answered(CULPRIT, self.fleet.now)
        self.fleet.advance(1.0)
        for node in NODES:
            self.fleet.restart(node)
            self.fleet.advance(2.0)
        self.assertEqual(self.fleet.find_statuses(), {QuarantineStatus.CLEAR})


class RestartedSidecarTests(SidecarTestCase):
    def test_a_request_that_crashes_servers_is_refused_after_restarts_in_turn(self):
        """Neither the node where it enters nor the one beside the server knew it."""

        async def scenario(_store, *machines):
            addresses = [machine.server.address for machine in machines]
            for machine in machines:
                machine.server.crash_path = "/x/crash"
            for name in ("r1", "r2", "r3"):
                await machines[0].request(name, path="/x/crash")
                await asyncio.sleep(PROPAGATION_SECONDS)
                await self.start_servers(machines, addresses)
            for machine in machines:
                await self.restart(machine)
            ran = sum(len(machine.server.runs) for machine in machines)
            for number, machine in enumerate(machines):
                response = await machine.request(f"s{number}", path="/x/crash")
                self.assertEqual(response.code, ResultCode.REQUEST_QUARANTINED)
            self.assertEqual(sum(len(m.server.runs) for m in machines), ran)

        self.run_machines(scenario, count=4)

    async def restart(self, machine):
        await machine.sidecar.stop()
        await machine.start_sidecar()
        await self.wait_for(lambda: machine.sidecar.fleet_state.version)
        await machine.send_heartbeat()
        await asyncio.sleep(PROPAGATION_SECONDS)

    async def start_servers(self, machines, addresses):
        """Start the backend servers that have crashed again."""
        for machine, address in zip(machines, addresses, strict=True):
            if not machine.server.server.is_serving():
                await machine.server.start(int(address.rpartition(":")[2]))
            await machine.send_heartbeat()


class EntryCheckTests(SidecarTestCase):
    def test_the_node_where_a_request_enters_refuses_what_it_knows(self):
        """It passed the request on to a node that had just started."""

        async def scenario(_store, first, second):
            first.sidecar.gateway.stop_serving()
            head = parse_head(b"GET", b"/x/crash", [(b"host", HOST.encode())], False)
            known = compute_fingerprint(head, "", RequestBody(False).digest())
            quarantine = first.sidecar.gateway.quarantine
            strikes = [
                Strike.from_fingerprint(known, f"crash {number}", is_repeat=True)
                for number in range(CRASHES)
            ]
            quarantine.merge_strikes(tuple(strikes), first.sidecar.now())
            response = await first.request("r1", path="/x/crash")
            self.assertEqual(response.code, ResultCode.REQUEST_QUARANTINED)
            self.assertEqual(second.server.runs, [])
            response = await first.request("r2", path="/x/other")
            self.assertEqual(response.status, 200)

        self.run_machines(scenario, count=2)
