"""A request that crashes backend servers is refused by all sidecars of the fleet."""

import asyncio
import unittest

from daisylink.clock import ManualClock
from daisylink.errors import ResultCode
from daisylink.request import Fingerprint, LostRequest, QuarantineStatus
from daisylink.serving import Quarantine
from daisylink.sidecar._strikes import (
    MAX_REPORTED,
    SIDECAR_QUARANTINE_SETTINGS,
    StrikeReporter,
    StrikeReporterSettings,
)
from tests.sidecar_case import SidecarTestCase

CULPRIT = Fingerprint(b"h", b"culprit")
INNOCENT = Fingerprint(b"h", b"innocent")
LIFETIME_SECONDS = SIDECAR_QUARANTINE_SETTINGS.strike_lifetime.total_seconds()
PROPAGATION_SECONDS = 2.0


def lose(*fingerprints, is_repeat=False):
    """Return the requests that a crash has lost."""
    return [LostRequest(fingerprint, is_repeat) for fingerprint in fingerprints]


class StrikeReporterTests(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        self.reporter = StrikeReporter(
            StrikeReporterSettings(), "n", self.quarantine, ManualClock(), lambda: ["n"]
        )

    def test_a_crash_is_reported_for_a_limited_time(self):
        self.reporter.record_crash(lose(CULPRIT, CULPRIT, INNOCENT), 1.0)
        self.assertEqual(len(self.reporter.list_current(2.0)), 2)
        self.assertEqual(self.reporter.list_current(1.0 + LIFETIME_SECONDS), ())

    def test_strikes_of_an_answered_request_are_withdrawn_everywhere(self):
        self.reporter.record_crash(lose(CULPRIT, INNOCENT), 1.0)
        other = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        other.merge_strikes(self.reporter.list_current(1.0), 1.0)
        self.reporter.record_answered(INNOCENT, 1.5)
        other.merge_strikes(self.reporter.list_current(1.5), 1.5)
        self.assertIs(other.find_status(INNOCENT, 2.0), QuarantineStatus.CLEAR)
        self.assertIs(other.find_status(CULPRIT, 2.0), QuarantineStatus.SUSPECT)

    def test_a_request_is_refused_after_three_crashes(self):
        for number, expected_status in enumerate(
            (QuarantineStatus.SUSPECT, QuarantineStatus.SUSPECT)
        ):
            self.reporter.record_crash(lose(CULPRIT), number)
            self.assertIs(self.quarantine.find_status(CULPRIT, 5.0), expected_status)
        self.reporter.record_crash(lose(CULPRIT), 3.0)
        self.assertIs(
            self.quarantine.find_status(CULPRIT, 5.0), QuarantineStatus.QUARANTINED
        )

    def test_suspects_run_side_by_side(self):
        self.reporter.record_crash(lose(CULPRIT, INNOCENT), 1.0)
        self.assertTrue(self.quarantine.begin(CULPRIT))
        self.assertTrue(self.quarantine.begin(INNOCENT))

    def test_the_number_of_reported_strikes_is_limited(self):
        for number in range(100):
            name = b"%d" % number
            self.reporter.record_crash(lose(Fingerprint(b"h", name)), 1.0)
        reported = self.reporter.list_current(1.0)
        self.assertEqual(len(reported), MAX_REPORTED)
        self.assertEqual(reported[-1].whole, b"99")


class CrashingRequestTests(SidecarTestCase):
    def test_a_crashing_request_is_refused_by_every_node_after_a_few_crashes(self):
        async def scenario(_store, *machines):
            for machine in machines:
                machine.server.crash_path = "/x/crash"
            for name in ("r1", "r2", "r3"):
                await machines[0].request(name, path="/x/crash")
                await asyncio.sleep(PROPAGATION_SECONDS)
                for machine in machines:
                    if not machine.server.runs:
                        await machine.send_heartbeat()
            crashed = [m for m in machines if m.server.runs]
            self.assertIn(len(crashed), (3, 4))
            for number, machine in enumerate(machines):
                response = await machine.request(f"s{number}", path="/x/crash")
                self.assertEqual(response.code, ResultCode.REQUEST_QUARANTINED)
                self.assertEqual(response.status, 503)
            self.assertEqual([m for m in machines if m.server.runs], crashed)
            response = await machines[0].request("t", path="/x/other")
            self.assertEqual(response.status, 200)

        self.run_machines(scenario, count=6)
