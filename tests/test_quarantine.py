"""Tests of the quarantine of requests that crash servers while others are served."""

import asyncio
import unittest

from daisylink.errors import ResultCode
from daisylink.process._messages import Strike
from daisylink.request import Fingerprint, QuarantineStatus
from daisylink.serving._quarantine import Quarantine, QuarantineSettings
from daisylink.standin import CallerClient, Placement
from tests.support import HOST, FleetTestCase, make_content

CULPRIT = Fingerprint(b"h", b"culprit")
INNOCENT = Fingerprint(b"h", b"innocent")
SERVERS = 6


def strike(fingerprint, crash):
    return Strike(fingerprint.head, fingerprint.whole, crash)


class QuarantineTests(unittest.TestCase):
    def test_a_repeated_report_of_one_crash_is_one_strike(self):
        quarantine = Quarantine(QuarantineSettings())
        for _ in range(3):
            quarantine.merge_strikes((strike(CULPRIT, "one"),), 0.0)
        self.assertIs(quarantine.find_status(CULPRIT, 1.0), QuarantineStatus.SUSPECT)
        quarantine.merge_strikes((strike(CULPRIT, "two"),), 1.0)
        self.assertIs(
            quarantine.find_status(CULPRIT, 2.0), QuarantineStatus.QUARANTINED
        )
        self.assertIs(quarantine.find_status(INNOCENT, 2.0), QuarantineStatus.CLEAR)
        self.assertIs(quarantine.find_status(CULPRIT, 62.0), QuarantineStatus.CLEAR)

    def test_strikes_that_arrive_in_one_message_count_each(self):
        """Their times tell nothing where only the receipt is known."""
        quarantine = Quarantine(QuarantineSettings())
        both = (strike(CULPRIT, "one"), strike(CULPRIT, "two"))
        quarantine.merge_strikes(both, 0.0)
        self.assertIs(
            quarantine.find_status(CULPRIT, 1.0), QuarantineStatus.QUARANTINED
        )

    def test_suspects_run_one_at_a_time_and_a_response_clears_them(self):
        quarantine = Quarantine(QuarantineSettings())
        both = (strike(CULPRIT, "one"), strike(INNOCENT, "one"))
        quarantine.merge_strikes(both, 0.0)
        self.assertTrue(quarantine.begin(INNOCENT))
        self.assertFalse(quarantine.begin(CULPRIT))
        quarantine.end(INNOCENT)
        quarantine.merge_strikes(quarantine.make_pardons(INNOCENT), 0.5)
        quarantine.merge_strikes(both, 0.6)
        self.assertIs(quarantine.find_status(INNOCENT, 1.0), QuarantineStatus.CLEAR)
        self.assertTrue(quarantine.begin(CULPRIT))
        quarantine.end(CULPRIT)
        self.assertIs(quarantine.find_status(CULPRIT, 1.0), QuarantineStatus.SUSPECT)


class CrashingCallTests(FleetTestCase):
    def test_at_most_two_servers_crash_and_the_route_keeps_working(self):
        async def scenario(fleet, operations):
            placements = [Placement("xyz"[index % 3], "a") for index in range(SERVERS)]
            await fleet.start(placements)
            await operations.accept(make_content("a"), "")
            await fleet.wait_for_servers()
            innocents = []

            async def send_innocents(number):
                caller = CallerClient(str(fleet.nodes[number].callers_address))
                for _ in range(60):
                    headers = {"x-standin-sleep-ms": "10"}
                    response = await caller.call("GET", "/a/read", HOST, b"", headers)
                    innocents.append(response)
                caller.close()

            others = [asyncio.create_task(send_innocents(n)) for n in range(4)]
            await asyncio.sleep(0.05)
            last = None
            for attempt in range(10):
                caller = CallerClient(
                    str(fleet.nodes[attempt % SERVERS].callers_address)
                )
                headers = {"x-standin-crash": "1"}
                last = await caller.call("POST", "/a/write", HOST, b"poison", headers)
                caller.close()
                await asyncio.sleep(0.15)
            await asyncio.gather(*others)
            crashed = [b for b in fleet.backends if not b.server.is_serving()]
            self.assertLessEqual(len(crashed), 2)
            self.assertEqual(last.code, ResultCode.REQUEST_QUARANTINED)
            self.assertEqual(last.outcome, "not-run")
            refused = [item.code for item in innocents if item.status != 200]
            self.assertEqual(refused, [])
            caller = CallerClient(str(fleet.nodes[0].callers_address))
            response = await caller.call("POST", "/a/write", HOST, b"harmless")
            self.assertEqual(response.status, 200)

        self.run_fleet(scenario)
