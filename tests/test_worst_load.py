"""Simulates overload on the decision objects, without sockets or clocks."""

import heapq
import itertools
import random
import unittest
from collections import Counter

from daisylink.connection import ProbeResult
from daisylink.errors import ResultCode
from daisylink.process import MemberRecord, ServerState
from daisylink.process._directory import Directory
from daisylink.request import (
    Admitted,
    AttemptLost,
    AttemptRefused,
    Attempts,
    Queued,
    Refused,
    RequestPlan,
    RequestPlanned,
    RetryBudget,
    Try,
)
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.serving._splitter import Splitter
from daisylink.version import (
    Content,
    Pool,
    Priority,
    Route,
    RouteTable,
    Service,
    WeightedService,
)

SLOTS = 6
SECONDS = 0.09
OBJECTIVE = 0.3
DEADLINE = 0.8
BURST_SECONDS = 8.0


class Server:
    """Simulates admission and a backend server; counts requests by result."""

    def __init__(self, seed=1):
        self.admission = Admission()
        self.admission.open(AdmissionLimits(SLOTS, 120, 256))
        self.rng = random.Random(seed)
        self.events = []
        self.numbers = itertools.count()
        self.results = Counter()

    def push(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), action, arguments))

    def offer(self, at, priority=Priority.NORMAL, seconds=SECONDS, kind="view"):
        request = (at, priority, seconds, kind)
        self.push(at, self.arrive, request)

    def arrive(self, now, request):
        at, priority, _, kind = request
        decision = self.admission.try_admit(
            request, priority, at + DEADLINE, now, at + OBJECTIVE, kind
        )
        match decision:
            case Admitted():
                self.run(now, request)
            case Queued(displaced, _) if displaced is not None:
                self.results[displaced[3], "refused"] += 1
            case Refused():
                self.results[kind, "refused"] += 1

    def run(self, now, request):
        seconds = request[2] * self.rng.uniform(0.5, 1.5)
        self.push(now + seconds, self.end, request, now)

    def end(self, now, request, since):
        at, _, _, kind = request
        in_time = now <= at + OBJECTIVE
        result = "in time" if in_time else "late" if now <= at + DEADLINE else "lost"
        self.results[kind, result] += 1
        for ticket in self.admission.release(now - since, now, kind):
            self.run(now, ticket)
        for ticket in self.admission.pop_expired():
            self.results[ticket[3], "refused"] += 1

    def run_events(self):
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)


class WorstLoadTests(unittest.TestCase):
    """Bursts of up to 1.7 times the capacity of the servers."""

    def offer_burst(self, server, load, **request):
        rate = load * SLOTS / SECONDS
        at = 0.0
        while at < BURST_SECONDS:
            at += server.rng.expovariate(rate)
            server.offer(at, **request)

    def test_a_burst_keeps_the_slots_busy_with_responses_in_time(self):
        """Queueing by the deadline alone makes nearly all responses of a burst late."""
        server = Server()
        self.offer_burst(server, 1.7)
        server.run_events()
        capacity = SLOTS / SECONDS * BURST_SECONDS
        self.assertGreater(server.results["view", "in time"], 0.8 * capacity)
        self.assertEqual(server.results["view", "lost"], 0)

    def test_late_requests_wait_behind_those_in_time(self):
        server = Server()
        admission = server.admission
        for number in range(SLOTS):
            admission.try_admit(number, Priority.NORMAL, 9.0, 0.0, 9.0, "view")
        admission.service_time = SECONDS
        admission.service_times["view"] = SECONDS
        late = admission.try_admit("late", Priority.NORMAL, 0.8, 0.0, 0.01, "view")
        admission.try_admit("in time", Priority.BULK, 0.8, 0.0, 0.3, "view")
        self.assertEqual(late, Queued(None, 0.4))
        self.assertEqual(admission.release(SECONDS, 0.05, "view"), ["in time"])
        self.assertEqual(admission.release(SECONDS, 0.06, "view"), ["late"])

    def test_calls_made_by_running_requests_go_first_in_a_burst(self):
        """A refused call fails its parent request, which holds a slot elsewhere."""
        server = Server()
        self.offer_burst(server, 1.4)
        for _ in range(round(0.25 * SLOTS / 0.02 * BURST_SECONDS)):
            at = server.rng.uniform(0, BURST_SECONDS)
            server.offer(at, Priority.URGENT, 0.02, "call")
        server.run_events()
        calls = {
            result: n for (kind, result), n in server.results.items() if kind == "call"
        }
        total = sum(calls.values())
        self.assertGreater(calls["in time"], 0.98 * total)

    def test_short_calls_go_before_long_urgent_requests_in_a_burst(self):
        """Twice as much urgent work arrives as the slots can do, and calls besides."""
        server = Server()
        self.offer_burst(server, 2.0, priority=Priority.URGENT, seconds=0.09)
        for _ in range(round(0.2 * SLOTS / 0.02 * BURST_SECONDS)):
            at = server.rng.uniform(0, BURST_SECONDS)
            server.offer(at, Priority.NORMAL, 0.02, "call")
        server.run_events()
        results = server.results
        calls = sum(n for (kind, _), n in results.items() if kind == "call")
        self.assertGreater(results["call", "in time"], 0.95 * calls)

    def test_urgent_requests_beyond_the_slots_are_refused_not_all_late(self):
        """Twice as much urgent work as the slots can do."""
        server = Server()
        self.offer_burst(server, 2.0, priority=Priority.URGENT)
        server.run_events()
        capacity = SLOTS / SECONDS * BURST_SECONDS
        self.assertGreater(server.results["view", "in time"], 0.8 * capacity)

    def test_a_started_server_queues_no_more_than_it_can_answer_in_time(self):
        """After a kill of all nothing is known, and callers come back at once."""
        server = Server()
        for number in range(20 * SLOTS):
            server.offer(number * 0.0005, seconds=0.2)
        server.run_events()
        self.assertLessEqual(server.results["view", "lost"], SLOTS)
        self.assertGreater(server.results["view", "refused"], 10 * SLOTS)
        started = Server().admission
        decisions = [
            started.try_admit(number, Priority.NORMAL, DEADLINE, 0.0, OBJECTIVE, "view")
            for number in range(20 * SLOTS)
        ]
        refused = sum(isinstance(decision, Refused) for decision in decisions)
        self.assertGreater(refused, 10 * SLOTS, "refused at once, not after a wait")

    def test_a_request_that_cannot_be_in_time_is_refused_at_once(self):
        admission = Server().admission
        for number in range(SLOTS):
            admission.try_admit(number, Priority.NORMAL, 9.0, 0.0, 9.0, "view")
        admission.service_time = admission.service_times["view"] = 1.0
        decision = admission.try_admit("n", Priority.NORMAL, 0.8, 0.0, 0.3, "view")
        self.assertIsInstance(decision, Refused)

    def test_service_time_is_estimated_for_each_kind_of_request(self):
        admission = Server().admission
        for number in range(SLOTS):
            admission.try_admit(number, Priority.NORMAL, 9.0, 0.0, 9.0, "report")
        admission.service_time = 0.2
        admission.service_times = {"report": 0.7, "lookup": 0.04}
        slow = admission.try_admit("s", Priority.NORMAL, 0.6, 0.0, 0.6, "report")
        quick = admission.try_admit("q", Priority.NORMAL, 0.4, 0.0, 0.15, "lookup")
        self.assertIsInstance(slow, Refused)
        self.assertIsInstance(quick, Queued)


class UnequalServersTests(unittest.TestCase):
    """Servers of one pool with speed factors from 0.7 to 1.6, one of them slowed."""

    def test_a_slow_server_gets_less_of_the_work(self):
        directory = Directory(MemberRecord("10.9.9.9:1", "z", 1))
        for number in range(3):
            record = MemberRecord(
                f"10.0.0.{number}:1", "z", 1, pool="p", server=ServerState.SERVING
            )
            directory.merge(record, 0.0)
        balancer = LoadBalancer(directory, random.Random(1))
        picks = Counter()
        for step in range(300):
            now = step * 0.01
            for number, seconds in enumerate((0.1, 0.1, 0.5)):
                balancer.response_times.record_report(
                    f"10.0.0.{number}:1", 1.0, now, seconds, "view"
                )
            picks[balancer.choose("p", (), 6, now, "view").node] += 1
        self.assertLess(picks["10.0.0.2:1"], 30)
        self.assertGreater(min(picks["10.0.0.0:1"], picks["10.0.0.1:1"]), 100)

    def test_a_slow_server_of_the_own_zone_is_spared_while_others_have_room(self):
        """Moderate load; the own zone's server has a third of the others' speed."""
        directory = Directory(MemberRecord("10.9.9.9:1", "z", 1))
        seconds = {"10.0.0.0:1": 0.36, "10.0.0.1:1": 0.12, "10.0.0.2:1": 0.12}
        for node in seconds:
            zone = "z" if node == "10.0.0.0:1" else "y"
            directory.merge(
                MemberRecord(node, zone, 1, pool="p", server=ServerState.SERVING), 0.0
            )
        balancer = LoadBalancer(directory, random.Random(1))
        picks = Counter()
        for step in range(200):
            for node, service in seconds.items():
                balancer.response_times.record_report(
                    node, 0.4, step * 0.01, service, "view"
                )
            chosen = balancer.choose("p", (), 12, step * 0.01, "view", OBJECTIVE)
            picks[chosen.node] += 1
        self.assertEqual(picks["10.0.0.0:1"], 0)

    def test_equal_servers_of_other_zones_are_left_alone(self):
        directory = Directory(MemberRecord("10.9.9.9:1", "z", 1))
        for number in range(4):
            zone = "z" if number < 2 else "y"
            record = MemberRecord(
                f"10.0.0.{number}:1", zone, 1, pool="p", server=ServerState.SERVING
            )
            directory.merge(record, 0.0)
        balancer = LoadBalancer(directory, random.Random(1))
        for step in range(100):
            for number in range(4):
                balancer.response_times.record_report(
                    f"10.0.0.{number}:1",
                    0.9,
                    step * 0.01,
                    0.1 + 0.01 * (number < 2),
                    "",
                )
            chosen = balancer.choose("p", (), 12, step * 0.01, "", OBJECTIVE)
            self.assertEqual(chosen.zone, "z")


class ZoneCutTests(unittest.TestCase):
    """All nodes of the other zones refuse connections while the own zone is cut off."""

    def test_refused_nodes_get_no_requests_until_a_probe_succeeds(self):
        directory = Directory(MemberRecord("10.9.9.9:1", "z", 1))
        for number in range(6):
            record = MemberRecord(
                f"10.0.0.{number}:1", "y", 1, pool="p", server=ServerState.SERVING
            )
            directory.merge(record, 0.0)
        balancer = LoadBalancer(directory, random.Random(1))
        attempts = 0
        for step in range(200):
            chosen = balancer.choose("p", (), 12, step * 0.01)
            if chosen is not None:
                attempts += 1
                balancer.record_failure(chosen.node, step * 0.01)
                balancer.reachability.handle_probe_result(
                    chosen.node, ProbeResult.REFUSED, step * 0.01
                )
        self.assertEqual(attempts, 6)
        balancer.reachability.handle_probe_result(
            "10.0.0.3:1", ProbeResult.ANSWERED, 2.0
        )
        balancer.record_reachable("10.0.0.3:1")
        self.assertEqual(balancer.choose("p", (), 12, 2.0).node, "10.0.0.3:1")


class SplitTests(unittest.TestCase):
    def test_shares_are_exact_over_each_round_of_weights(self):
        services = [Service(name, name, 0, 0, 99.0) for name in "ab"]
        pools = [Pool(name, 1, 1, 0) for name in "ab"]
        split = (WeightedService("a", 90), WeightedService("b", 10))
        route = Route(
            "r", "h", "/", "a", (), True, Priority.NORMAL, 100, 1, split=split
        )
        table = RouteTable.from_content(Content.from_rows(pools, services, [route]))
        entry = table.find_route("h", "/x")
        splitter = Splitter()
        picks = Counter(splitter.pick(entry).service.name for _ in range(1000))
        self.assertEqual(picks, {"a": 900, "b": 100})


def make_plan(idempotent=True, max_attempts=2):
    return RequestPlan(
        "s",
        "p",
        idempotent,
        Priority.NORMAL,
        9.0,
        0,
        1,
        1,
        0,
        "r",
        "",
        max_attempts,
    )


class AttemptsTests(unittest.TestCase):
    def test_refusals_by_nodes_cost_neither_budget_nor_attempts(self):
        budget = RetryBudget(0.0, 1.0)
        attempts = Attempts(make_plan(), budget)
        attempts.handle(RequestPlanned(), 0.0)
        for _ in range(3):
            action = attempts.handle(AttemptRefused(ResultCode.REQUEST_OVERLOADED), 0.0)
            self.assertEqual(action, Try())
        self.assertEqual(budget.tokens, 1.0)

    def test_servers_reached_are_bounded_by_the_route(self):
        attempts = Attempts(make_plan(max_attempts=2), RetryBudget(0.0, 9.0))
        attempts.handle(RequestPlanned(), 0.0)
        shed = AttemptRefused(ResultCode.REQUEST_SHED_BY_SERVER)
        self.assertEqual(attempts.handle(shed, 0.0), Try())
        self.assertNotEqual(attempts.handle(shed, 0.0), Try())

    def test_nothing_is_certain_after_a_loss(self):
        attempts = Attempts(make_plan(), RetryBudget(0.0, 9.0))
        attempts.handle(RequestPlanned(), 0.0)
        self.assertEqual(attempts.handle(AttemptLost(), 0.0), Try())
        shed = AttemptRefused(ResultCode.REQUEST_SHED_BY_SERVER)
        refusal = attempts.handle(shed, 0.0).refusal
        self.assertEqual(refusal.outcome.value, "unknown")

    def test_the_retry_budget_bounds_retries_after_losses(self):
        """Bound in any window: the burst, the refill and a share of first attempts."""
        budget = RetryBudget(0.2, 3.0, 0.3)
        retries = 0
        for step in range(1000):
            budget.deposit()
            retries += budget.try_withdraw(step * 0.01)
        self.assertLessEqual(retries, 3.0 + 0.3 * 10 + 0.2 * 1000)
        self.assertGreater(retries, 0.2 * 1000 - 1)
