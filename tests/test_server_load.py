"""Backend servers state their momentary load, and some fail if they get too much."""

import random
import unittest
from types import SimpleNamespace

from bench.pace import CASES, Simulation
from bench.pace_start import SCENARIOS, Reactive, StartSimulation, Unlimited
from daisylink.platform import HEADER_NAMES
from daisylink.registry import MemberSettings, MemberTable
from daisylink.request import Admitted, Queued, Refused, ServerLoad
from daisylink.serving import LoadBalancer, MemberRecord, ServerStart, ServerState
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.serving._concurrency_limit import ConcurrencyLimit, ServerOutcome
from daisylink.serving._response_times import ResponseTimes
from daisylink.serving._server_pace import (
    PaceReport,
    ServerPace,
    decode_pace,
    encode_pace,
)
from daisylink.serving._slowness import Slowness
from daisylink.version import Priority
from tests.sidecar_case import SidecarTestCase
from tests.test_server_limit import NamingServer

SLOTS = 5
ANSWERED, REJECTED, FAILED = ServerOutcome
MALFORMED_LOADS = (
    *("", "1", "1,2", "1,2,3,", "1,2,3,4,5", "-1,0,5", "1,0,5,nan", "1,0,5,1e9"),
    *("1,0,5,0", "1,0,5,9.9", "1,0,5,10001", "1,0,9999999", "1_0,0,5", "x"),
)


def read(*values):
    headers = [(b"x-daisylink-server-load", value.encode()) for value in values]
    return HEADER_NAMES.read_server_load(headers)


class ServerLoadHeaderTests(unittest.TestCase):
    def test_a_well_formed_figure_is_read(self):
        self.assertEqual(read("3,1,5,250"), ServerLoad(3, 1, 5, 2.5))
        self.assertEqual(read(" 3,1,5 "), ServerLoad(3, 1, 5))
        self.assertIsNone(read())

    def test_a_malformed_figure_counts_as_unknown(self):
        for value in MALFORMED_LOADS:
            self.assertIsNone(read(value), value)
        self.assertIsNone(read("1,0,5,100", "1,0,5,250"))


class SlownessTests(unittest.TestCase):
    def setUp(self):
        self.admission = Admission()
        self.admission.open(AdmissionLimits(SLOTS, 100, 20))

    def run_one(self, seconds, now):
        self.admission.in_use += 1
        self.admission.release(seconds, now, "view")

    def admit(self, now, slo, may_wait=True):
        return self.admission.try_admit(
            "new", Priority.NORMAL, now + 2.0, now, now + slo, "view", may_wait
        )

    def test_a_slow_moment_does_not_make_a_server_look_slow_afterwards(self):
        """Other nodes went elsewhere for seconds after each slow moment."""
        for number in range(40):
            now = 0.01 * number
            self.admission.slowness.record(2.5, now)
            self.run_one(0.25, now)
        self.assertAlmostEqual(self.admission.get_service_time("view"), 0.1, delta=0.03)

    def test_a_server_that_rejects_requests_does_not_look_fast(self):
        self.run_one(0.1, 1.0)
        for number in range(40):
            self.admission.in_use += 1
            self.admission.release(0.01, 1.0 + number, "view", has_run=False)
        self.assertEqual(self.admission.get_service_time("view"), 0.1)

    def test_an_old_figure_counts_as_unknown(self):
        slowness = Slowness()
        slowness.record(2.5, 1.0)
        self.assertEqual(slowness.get(1.29), 2.5)
        self.assertEqual(slowness.get(1.31), 1.0)
        self.assertEqual(slowness.average(1.4, 2.0), 1.0)

    def test_a_run_is_compared_with_the_slowness_of_its_own_time(self):
        slowness = Slowness()
        for tick in range(20):
            slowness.record(3.0 if tick < 10 else 1.0, tick * 0.05)
        self.assertAlmostEqual(slowness.average(0.5, 0.95), 1.0)
        self.assertAlmostEqual(slowness.average(0.0, 0.45), 3.0)
        self.assertAlmostEqual(slowness.average(0.25, 0.65), 2.0)

    def test_a_slowed_server_collects_no_queue_that_would_be_late(self):
        self.run_one(0.1, 1.0)
        self.admission.in_use = SLOTS
        for _ in range(4):
            self.assertIsInstance(self.admit(1.0, slo=0.25), Queued)
        self.assertEqual(len(self.admission.late), 0)
        self.admission.slowness.record(2.5, 1.0)
        self.admit(1.0, slo=0.25)
        self.assertEqual(len(self.admission.late), 1)

    def test_a_slowed_server_declines_what_it_would_answer_late(self):
        self.run_one(0.1, 1.0)
        self.admission.slowness.record(2.5, 1.0)
        self.assertIsInstance(self.admit(1.0, slo=0.2, may_wait=False), Refused)
        self.assertIsInstance(self.admit(1.4, slo=0.2, may_wait=False), Admitted)


class ConcurrencyLimitTests(unittest.TestCase):
    """A server rejects what exceeds its ability while it starts."""

    def setUp(self):
        self.limit = ConcurrencyLimit()

    def test_a_healthy_server_gets_as_many_as_it_has_slots(self):
        for number in range(1000):
            self.limit.record(ANSWERED, 1 + number % SLOTS, number * 0.01)
            self.assertEqual(self.limit.get(SLOTS), SLOTS)

    def test_rejections_lower_it_and_answers_raise_it_to_the_slots(self):
        self.limit.record(REJECTED, 4, 0.0)
        self.assertEqual(self.limit.get(SLOTS), 2)
        self.limit.record(REJECTED, 4, 0.05)
        self.assertEqual(self.limit.get(SLOTS), 2)
        self.limit.record(REJECTED, 2, 0.2)
        self.assertEqual(self.limit.get(SLOTS), 1)
        rounds = 0
        while self.limit.get(SLOTS) < SLOTS:
            rounds += 1
            self.limit.record(ANSWERED, self.limit.get(SLOTS), 0.3 + rounds * 0.1)
        self.assertTrue(5 <= rounds <= 20, rounds)

    def test_idle_slots_do_not_raise_it(self):
        self.limit.record(REJECTED, 4, 0.0)
        for _ in range(100):
            self.limit.record(ANSWERED, 1, 0.5)
        self.assertEqual(self.limit.get(SLOTS), 2)

    def test_failures_count_only_while_the_server_rejects(self):
        """A third of a service's requests failed because of a service that it calls."""
        for number in range(20):
            self.limit.record(FAILED, SLOTS, number * 0.2)
        self.assertEqual(self.limit.get(SLOTS), SLOTS)
        self.limit.record(REJECTED, 4, 5.0)
        self.limit.record(FAILED, 2, 5.2)
        self.assertEqual(self.limit.get(SLOTS), 1)

    def test_failures_after_a_start_count_though_the_server_rejects_nothing(self):
        """A server that failed what flooded it failed 0.3 of a service's requests."""
        self.limit.reset(0.0)
        self.limit.record(FAILED, 4, 1.0, many_fail=False)
        self.assertEqual(self.limit.get(SLOTS), SLOTS)
        self.limit.record(FAILED, 4, 1.0)
        self.assertEqual(self.limit.get(SLOTS), 2)
        self.limit.reset(10.0)
        self.limit.record(FAILED, 4, 15.1)
        self.assertEqual(self.limit.get(SLOTS), SLOTS)

    def test_rejections_that_fewer_requests_do_not_avoid_end_it(self):
        for number in range(30):
            self.limit.record(REJECTED, self.limit.get(SLOTS), number * 0.15)
            self.assertGreaterEqual(self.limit.get(SLOTS), 1)
        at_slots = 0
        for number in range(100):
            self.limit.record(REJECTED, self.limit.get(SLOTS), 10 + number * 0.1)
            at_slots += self.limit.get(SLOTS) == SLOTS
        self.assertGreater(at_slots, 75)


class ServerPaceTests(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.admission = Admission()
        self.admission.open(AdmissionLimits(SLOTS, 100, 20))
        self.server = SimpleNamespace(cold_until=0.0)
        self.times = ResponseTimes()
        self.pace = ServerPace(
            self.admission, self.times, self.server, lambda: self.now
        )

    def test_a_server_that_states_nothing_adds_no_header(self):
        self.pace.record_own(None)
        self.pace.record_own(ServerLoad(1, 0, 5))
        self.assertIsNone(self.pace.format_header())

    def test_a_node_tells_what_it_knows_with_its_age(self):
        self.pace.record_own(ServerLoad(1, 0, 5, 2.5))
        self.now += 0.1
        self.server.cold_until = self.now + 1
        report = decode_pace(self.pace.format_header())
        self.assertEqual(report.slowness, 2.5)
        self.assertAlmostEqual(report.age_seconds, 0.1, delta=0.002)
        self.assertTrue(report.is_cold)
        self.assertEqual(report.limit, SLOTS)
        self.pace.record_peer("n", encode_pace(report))
        self.assertAlmostEqual(self.times.reports["n"].slowness.at, 10.0, delta=0.002)

    def test_a_malformed_header_and_one_that_is_missing_say_nothing(self):
        self.times.record_report("n", 0.5, self.now, 0.1, "view")
        self.pace.record_peer("n", encode_pace(PaceReport(None, 0.0, True, 2)))
        self.assertEqual(self.times.reports["n"].limit, 2)
        for value in (None, b"", b"1 2", b"250 0 0 -1", b"9 0 0 5", b"inf 0 0 5"):
            self.pace.record_peer("n", value)
            self.assertEqual(self.times.reports["n"].limit, 0)
            self.assertIsNone(self.times.reports["n"].slowness)
        self.pace.record_peer("stranger", None)
        self.assertNotIn("stranger", self.times.reports)

    def test_failures_without_rejections_do_not_lower_the_limit(self):
        self.admission.in_use = 4
        self.pace.record_outcome(failed=True, rejected=False, many_fail=True)
        self.assertFalse(self.admission.is_limited)
        self.pace.record_outcome(failed=True, rejected=True, many_fail=False)
        self.assertEqual(self.admission.capacity, 2)

    def test_rejections_by_a_server_with_free_slots_do_not_lower_the_limit(self):
        self.admission.in_use = 4
        self.pace.record_own(ServerLoad(3, 0, SLOTS))
        self.pace.record_outcome(failed=True, rejected=True, many_fail=True)
        self.assertFalse(self.admission.is_limited)
        self.pace.record_own(ServerLoad(4, 1, SLOTS))
        self.pace.record_outcome(failed=True, rejected=True, many_fail=True)
        self.assertEqual(self.admission.capacity, 2)

    def test_another_start_of_the_server_begins_without_a_limit(self):
        self.pace.record_start(ServerStart("i", 1))
        self.admission.in_use = 4
        self.pace.record_outcome(failed=True, rejected=True, many_fail=False)
        for start in (ServerStart("i", 1), ServerStart("", 0), ServerStart("i", 1)):
            self.pace.record_start(start)
            self.assertTrue(self.admission.is_limited)
        self.pace.record_start(ServerStart("i", 2))
        self.assertFalse(self.admission.is_limited)


class ExpectedTimeTests(unittest.TestCase):
    def setUp(self):
        own = MemberRecord("10.9.9.9:1", "z", 1)
        members = MemberTable(MemberSettings(), own, lambda _: 0.0)
        self.records = [
            MemberRecord(
                f"10.0.0.{n}:1", "z", 1, pool="p", server=ServerState.SERVING, slots=5
            )
            for n in range(2)
        ]
        for record in self.records:
            members.put(record)
        self.balancer = LoadBalancer(members, random.Random(1))
        self.times = self.balancer.response_times
        self.slow, self.other = (record.node for record in self.records)
        self.times.record_report(self.slow, 0.2, 0.0, 0.10, "view")
        self.times.record_report(self.other, 0.2, 0.0, 0.11, "view")

    def choose(self, now):
        return self.balancer.choose("p", (), SLOTS, now, "view").node

    def test_a_server_is_avoided_while_its_machine_is_slowed_and_no_longer(self):
        self.assertEqual(self.choose(0.1), self.slow)
        self.times.record_slowness(self.slow, 2.5, 0.0)
        self.assertEqual(self.choose(0.1), self.other)
        self.assertEqual(self.choose(0.4), self.slow)

    def test_a_figure_that_arrives_late_does_not_replace_a_newer_one(self):
        self.times.record_slowness(self.slow, 1.0, 0.1)
        self.times.record_slowness(self.slow, 2.5, 0.0)
        self.assertEqual(self.choose(0.15), self.slow)

    def test_a_cold_server_is_no_measure_of_the_usual_time(self):
        self.times.record_pace(self.slow, is_cold=True, limit=1)
        before = self.times.usual_seconds["view"]
        self.times.record_report(self.slow, 0.2, 0.0, 5.0, "view")
        self.assertEqual(self.times.usual_seconds["view"], before)

    def test_a_limited_server_counts_with_the_requests_that_it_is_given(self):
        record = self.records[0]
        self.times.record_report(self.slow, 1.0, 0.0, 0.1, "view")
        usual = self.times.estimate_seconds(record, "view", SLOTS, 0.0)
        self.times.record_pace(self.slow, limit=1)
        limited = self.times.estimate_seconds(record, "view", SLOTS, 0.0)
        self.assertGreater(limited, usual * 1.5)


class LoadReplayTests(unittest.TestCase):
    """The loads that the parts are designed for, on an event queue."""

    def test_a_server_that_fails_when_flooded_is_not_flooded(self):
        failed = {}
        for limit in (Unlimited, Reactive):
            run = StartSimulation(SCENARIOS["fails when flooded"], limit, 1).run()
            failed[limit] = run.failed / run.asked
        self.assertGreater(failed[Unlimited], 0.1)
        self.assertLess(failed[Reactive], 0.04)

    def test_slowed_machines_cost_fewer_requests_if_their_servers_say_so(self):
        shares = {}
        for name in ("without", "admits, tells"):
            run = Simulation(0.7, CASES[name], 15.0).run()
            shares[name] = run.in_time / run.asked
        self.assertGreater(shares["admits, tells"], shares["without"] + 0.01)


class ServerLoadOnTheWireTests(SidecarTestCase):
    def test_the_other_nodes_learn_what_a_server_states(self):
        async def scenario(_store, first, second):
            await second.send_heartbeat("draining")
            members = second.sidecar.members
            await self.wait_for(lambda: len(members.serving("one")) == 1)
            naming = NamingServer(first, "X-Daisylink-Server-Load: 1,0,5,250\r\n")
            await second.request("r1")
            self.assertEqual(len(naming.times), 1)
            now = first.sidecar.gateway.now()
            self.assertEqual(first.admission.slowness.get(now), 2.5)
            times = second.sidecar.gateway.balancer.response_times
            node = first.sidecar.members.own_record.node
            self.assertEqual(times.reports[node].slowness.last, 2.5)

        self.run_machines(scenario, count=2)

    def test_a_server_that_rejects_requests_is_given_fewer_at_once(self):
        async def scenario(_store, machine):
            pace = machine.sidecar.gateway.pace
            machine.admission.in_use = 3
            NamingServer(
                machine, "X-Daisylink-Not-Executed: 1\r\n", "503 Service Unavailable"
            )
            await machine.request("r1")
            machine.admission.in_use = 0
            self.assertTrue(machine.admission.is_limited)
            self.assertEqual(decode_pace(pace.format_header()).limit, 2)

        self.run_machines(scenario)

    def test_a_server_that_was_not_meant_does_not_lower_the_limit(self):
        """Another server had taken the address; its answer is no sign of a flood."""

        async def scenario(_store, machine):
            NamingServer(
                machine,
                "X-Daisylink-Server-Load: 1,0,5,250\r\n",
                "421 Misdirected Request",
            )
            machine.admission.in_use = 3
            await machine.request("r1")
            machine.admission.in_use = 0
            self.assertFalse(machine.admission.is_limited)
            now = machine.sidecar.gateway.now()
            self.assertFalse(machine.admission.slowness.is_known(now))

        self.run_machines(scenario)


if __name__ == "__main__":
    unittest.main()
