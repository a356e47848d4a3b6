"""Tests of admission under overload and of load balancing on misleading signals."""

import random
import unittest
from types import SimpleNamespace

from daisylink.errors import ResultCode
from daisylink.process import MemberRecord, ServerState
from daisylink.process._directory import Directory
from daisylink.request import Admitted, Refused
from daisylink.serving import Gateway
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.version import Priority


def open_admission(slots=1, queue=2):
    admission = Admission()
    admission.open(AdmissionLimits(slots, 9, queue))
    return admission


class AdmissionTests(unittest.TestCase):
    def test_an_urgent_request_displaces_bulk_from_a_full_queue(self):
        admission = open_admission()
        for ticket in ("runs", "old bulk", "new bulk"):
            admission.try_admit(ticket, Priority.BULK, 9.0, 0.0)
        decision = admission.try_admit("urgent", Priority.URGENT, 9.0, 0.0)
        self.assertEqual(decision.displaced, "new bulk")
        self.assertIsInstance(
            admission.try_admit("more bulk", Priority.BULK, 9.0, 0.0), Refused
        )
        self.assertEqual(admission.release(0.1, 1.0), ["urgent"])
        self.assertEqual(admission.release(0.1, 2.0), ["old bulk"])

    def test_a_request_that_cannot_be_in_time_is_refused_at_once(self):
        admission = open_admission(queue=50)
        admission.try_admit("runs", Priority.NORMAL, 9.0, 0.0)
        for _ in range(30):
            admission.release(1.0, 0.0)
            admission.try_admit("runs", Priority.NORMAL, 9.0, 0.0)
        decision = admission.try_admit("late", Priority.NORMAL, 0.5, 0.0)
        self.assertEqual(decision.code, ResultCode.REQUEST_OVERLOADED)
        self.assertGreater(decision.retry_ms, 500)

    def test_expired_requests_are_not_run(self):
        admission = open_admission()
        admission.try_admit("runs", Priority.NORMAL, 9.0, 0.0)
        admission.try_admit("expires", Priority.NORMAL, 1.0, 0.0)
        self.assertEqual(admission.release(0.1, 2.0), [])
        self.assertIsInstance(
            admission.try_admit("next", Priority.NORMAL, 9.0, 2.0), Admitted
        )


class LoadBalancerTests(unittest.TestCase):
    def make_balancer(self, count, zone="z"):
        directory = Directory(MemberRecord("10.9.9.9:1", "z", 1))
        for number in range(count):
            record = MemberRecord(
                f"10.0.0.{number}:1", zone, 1, pool="p", server=ServerState.SERVING
            )
            directory.merge(record, 0.0)
        return LoadBalancer(directory, random.Random(1))

    def test_failures_of_all_nodes_do_not_empty_a_pool(self):
        balancer = self.make_balancer(4)
        for record in balancer.directory.serving("p"):
            for _ in range(3):
                balancer.record_failure(record, 0.0)
        self.assertIsNotNone(balancer.choose("p", (), 1, 0.1))

    def test_a_failing_node_is_ejected_and_returns(self):
        balancer = self.make_balancer(4)
        bad = "10.0.0.2:1"
        for _ in range(3):
            balancer.record_failure(bad, 0.0)
        picks = {balancer.choose("p", (), 1, 0.5).node for _ in range(100)}
        self.assertNotIn(bad, picks)
        picks = {balancer.choose("p", (), 1, 9.0).node for _ in range(100)}
        self.assertIn(bad, picks)

    def test_a_stale_report_of_no_load_does_not_attract_all_requests(self):
        balancer = self.make_balancer(4)
        balancer.response_times.record_report("10.0.0.1:1", 0.0, 0.0, 0.0, "")
        for _ in range(40):
            balancer.begin(balancer.choose("p", (), 1, 0.0).node)
        self.assertEqual(set(balancer.in_flight.values()), {10})

    def test_malformed_load_reports_are_ignored(self):
        balancer = self.make_balancer(1)
        gateway = SimpleNamespace(balancer=balancer, now=lambda: 0.0)
        for text in (b"nan 10", b"0.5 inf", b"-1 10", b"x", b""):
            Gateway.record_load(gateway, "10.0.0.0:1", text, "view")
        self.assertEqual(balancer.response_times.reports, {})
        Gateway.record_load(gateway, "10.0.0.0:1", b"0.5 10.0", "view")
        self.assertEqual(balancer.response_times.reports["10.0.0.0:1"].load, 0.5)

    def test_reports_stay_bounded_as_nodes_and_routes_come_and_go(self):
        response_times = self.make_balancer(1).response_times
        for number in range(1000):
            response_times.record_report("n", 0.5, 0.0, 0.1, f"route-{number}")
        self.assertLessEqual(len(response_times.usual_seconds), 200)
        self.assertLessEqual(len(response_times.reports["n"].service_times), 200)
        response_times.forget("n")
        self.assertEqual(response_times.reports, {})

    def test_a_long_unused_server_counts_as_an_average_one(self):
        """A server that was slowed for a while would otherwise never be tried again."""
        balancer = self.make_balancer(2)
        response_times = balancer.response_times
        slow, quick = (f"10.0.0.{number}:1" for number in range(2))
        response_times.record_report(slow, 0.0, 0.0, 0.9, "view")
        for step in range(120):
            response_times.record_report(quick, 0.0, step * 0.1, 0.1, "view")
        picks = {balancer.choose("p", (), 4, 12.0, "view").node for _ in range(20)}
        self.assertIn(quick, picks)
        record = balancer.directory.serving("p")[slow]
        usual = response_times.usual_seconds["view"]
        seconds = response_times.estimate_seconds(record, "view", 4, 12.0)
        self.assertAlmostEqual(seconds, usual)

    def test_another_zone_serves_only_when_the_own_is_full(self):
        balancer = self.make_balancer(2)
        far = MemberRecord("10.1.0.1:1", "y", 1, pool="p", server=ServerState.SERVING)
        balancer.directory.merge(far, 0.0)
        balancer.invalidate_candidates()
        chosen = []
        for _ in range(9):
            node = balancer.choose("p", (), 4, 0.0, slo_seconds=0.1).node
            balancer.begin(node)
            chosen.append(node)
        self.assertNotIn(far.node, chosen[:8])
        self.assertEqual(chosen[8], far.node)
