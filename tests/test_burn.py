"""Tests of the burn report: time windows, and counts merged over a fleet."""

import asyncio
import unittest
from datetime import timedelta

from daisylink.commands import format_burn_html, make_burn_rows
from daisylink.serving._burn import HISTORY_INTERVAL, WINDOWS, BurnTracker
from daisylink.standin import CallerClient, Placement
from daisylink.version import Service
from tests.support import HOST, FleetTestCase, make_content

SERVICES = {"s": Service("s", "p", 1000, 100, 99.0)}


class BurnTrackerTests(unittest.TestCase):
    def test_windows_count_only_their_time(self):
        tracker = BurnTracker()
        for _ in range(round(WINDOWS[1] / HISTORY_INTERVAL)):
            tracker.record("s", "ok", 0.01, 100, False)
            tracker.save_snapshot()
        for code, seconds in (("ok", 0.2), ("5013", 0.1), ("cancelled", 0.1)):
            tracker.record("s", code, seconds, 100, False)
        short, hour, _ = tracker.windows("s")
        self.assertEqual((short.total, short.late, short.lost), (6, 1, 1))
        self.assertEqual(hour.total, 61)
        self.assertEqual(tracker.counts["s"].total, 62)
        row = make_burn_rows(tracker.build_reply("z", SERVICES, {}))[0]
        self.assertAlmostEqual(row.windows[0].burn, 2 / 6 / 0.01)
        self.assertEqual(WINDOWS[0], timedelta(minutes=5))


class BurnReportTests(FleetTestCase):
    def test_a_report_adds_up_all_nodes(self):
        async def scenario(fleet, operations):
            await fleet.start([Placement("xyz"[n % 3], "a") for n in range(6)])
            await operations.accept(make_content("a"), "")
            await fleet.wait_for_servers()
            for node in fleet.nodes:
                caller = CallerClient(str(node.callers_address))
                await caller.call("GET", "/a/read", HOST)
                headers = {"x-standin-sleep-ms": "150"}
                await caller.call("GET", "/a/read", HOST, b"", headers)
                caller.close()
            await asyncio.sleep(0)
            reply = await operations.read_burn()
            rows = {row.zone: row for row in make_burn_rows(reply)}
            self.assertEqual(reply.nodes, 6)
            self.assertEqual(rows["all"].windows[0].total, 12)
            self.assertEqual(rows["all"].late, 6)
            self.assertEqual(rows["x"].windows[0].total, 4)
            page = format_burn_html(reply, "now")
            self.assertEqual(page.count("data:image/png"), 2)
            self.assertNotIn('src="http', page)

        self.run_fleet(scenario)
