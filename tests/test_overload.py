"""Who gets the slots under overload, and what the others are told."""

import random
import unittest
from types import SimpleNamespace

from bench.burst_fleet import Simulation
from bench.burst_loads import BURST_FROM, BURST_SECONDS, LOADS
from daisylink.errors import ResultCode
from daisylink.request import (
    Admitted,
    AgeEstimator,
    AttemptRefused,
    Attempts,
    DeadlinePassed,
    GiveUp,
    Outcome,
    PoolFull,
    Queued,
    Refusal,
    RequestPlan,
    RequestPlanned,
    RetryBudget,
    RunningRequests,
    SlotSearch,
    Try,
    encode_refusal,
    parse_head,
)
from daisylink.request._retry_after import choose_retry_ms
from daisylink.request._slot_wait import ANSWER_SECONDS, SlotWait
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.serving._pool_answers import MIN_ANSWERS
from daisylink.version import Priority
from tests.test_placement import make_placer

BEFORE, AFTER = int(BURST_FROM), int(BURST_FROM + BURST_SECONDS)
TIMEOUT_MS = 2000
LIMIT_MS = 4000


def make_plan(deadline=4.0, slo_deadline=1.0, **fields):
    plan = RequestPlan("p", "p", True, Priority.NORMAL, deadline, 0, 1, 3, 1000, "view")
    return plan._replace(slo_deadline=slo_deadline, **fields)


def open_admission(slots, **service_times):
    admission = Admission()
    admission.open(AdmissionLimits(slots, 99, 99))
    admission.service_times.update(service_times)
    return admission


class ReturningLoadTests(unittest.TestCase):
    """Twice the capacity for 5 s; callers' limit 4 s, timeout 2 s, objective 1 s."""

    def test_service_is_back_within_two_seconds_of_a_burst(self):
        """Slots went to requests that were past their objective for long after it."""
        simulation = Simulation(LOADS["returning"]).run()
        usual = simulation.share("view", 3, BEFORE)
        after = simulation.share("view", AFTER + 2, AFTER + 7)
        self.assertGreaterEqual(after, 0.95 * usual)
        self.assertGreaterEqual(simulation.share("view", AFTER, AFTER + 2), 0.9)
        self.assertLess(simulation.wasted_share(BEFORE, AFTER), 0.1)

    def test_the_age_of_returning_requests_keeps_slots_for_fresh_ones(self):
        """A retry 2 s after its first attempt counted as fresh."""
        served, wasted = [], []
        for has_age in (True, False):
            runs = [
                Simulation(LOADS["returning"], seed, has_age=has_age).run()
                for seed in (1, 2, 3, 4)
            ]
            served.append(sum(run.share("view", BEFORE, AFTER) for run in runs) / 4)
            wasted.append(sum(run.wasted_share(BEFORE, AFTER) for run in runs) / 4)
        self.assertGreater(served[0], served[1] + 0.02, (served, wasted))
        self.assertLess(wasted[0], 0.7 * wasted[1], (served, wasted))


class FeedLoadTests(unittest.TestCase):
    """A burst of 2.6 of a feed of 0.8 s beside calls of 0.08 s."""

    def test_requests_that_wait_for_calls_are_served_through_a_burst(self):
        """Calls were queued as late; their parents held slots and then failed."""
        simulation = Simulation(LOADS["feed"]).run()
        self.assertGreaterEqual(simulation.share("page", BEFORE, AFTER + 2), 0.95)
        self.assertGreaterEqual(simulation.share("feed", AFTER + 2, AFTER + 7), 0.95)
        self.assertGreaterEqual(simulation.share("feed", BEFORE, AFTER), 0.5)


class AgeEstimatorTests(unittest.TestCase):
    def setUp(self):
        self.ages = AgeEstimator()
        self.now = 0.0

    def state(self, limits, seconds=10):
        for _ in range(seconds):
            for limit in limits:
                self.now += 1.0 / len(limits)
                self.estimate(limit)

    def estimate(self, limit):
        return self.ages.estimate_ms("view", TIMEOUT_MS, limit, self.now)

    def test_the_limit_of_first_attempts_reveals_the_age(self):
        self.state([LIMIT_MS] * 20)
        self.assertEqual(self.estimate(LIMIT_MS), 0)
        self.assertEqual(self.estimate(2500), 1500)
        self.assertEqual(self.estimate(None), 0)

    def test_an_unknown_route_is_judged_by_its_timeout(self):
        self.assertEqual(self.estimate(2500), 0)
        self.assertEqual(self.estimate(1200), 800)

    def test_retries_that_halve_their_limit_do_not_count_as_first_attempts(self):
        self.state([LIMIT_MS] * 20, seconds=30)
        self.state([LIMIT_MS] * 10 + [LIMIT_MS // 2] * 10, seconds=10)
        self.assertEqual(self.estimate(LIMIT_MS // 2), LIMIT_MS // 2)

    def test_a_burst_of_short_limits_does_not_hide_the_usual_one(self):
        self.state([LIMIT_MS] * 20)
        self.state([LIMIT_MS] * 20 + [300] * 400, seconds=15)
        self.assertEqual(self.estimate(2500), 1500)

    def test_callers_that_always_have_a_short_limit_are_not_old(self):
        self.state([LIMIT_MS] * 10 + [800] * 10, seconds=20)
        self.assertEqual(self.estimate(800), 0)
        self.assertEqual(self.estimate(2500), 1500)

    def test_a_limit_that_callers_no_longer_state_is_forgotten(self):
        self.state([LIMIT_MS] * 20, seconds=10)
        self.state([3000] * 20, seconds=150)
        self.assertEqual(self.estimate(2000), 1000)

    def test_memory_is_bounded(self):
        for number in range(5000):
            self.now += 0.01
            self.ages.estimate_ms(f"r{number % 1500}", TIMEOUT_MS, number, self.now)
            self.estimate(number * 60)
        self.assertLessEqual(len(self.ages.routes), 1000)
        limits = self.ages.routes["view"]
        self.assertLessEqual(len(limits.counts), 64)


class RunningRequestsTests(unittest.TestCase):
    def setUp(self):
        self.running = RunningRequests(b".")
        self.parent = make_plan(
            deadline=2.0, slo_deadline=0.9, priority=Priority.URGENT
        )
        self.call = make_plan(deadline=4.0, slo_deadline=0.4, priority=Priority.BULK)

    def test_a_call_counts_for_its_parent_over_any_depth(self):
        self.running.begin(b"a", self.parent)
        plan = self.running.plan_call(b"a.1", self.call, 0.1)
        self.assertTrue(plan.is_call)
        self.assertEqual(plan.priority, Priority.URGENT)
        self.assertEqual((plan.deadline, plan.slo_deadline), (2.0, 0.9))
        # As at the node of the server that runs the call.
        self.running.begin(b"a.1", plan)
        plan = self.running.plan_call(b"a.1.1", self.call, 0.2)
        self.assertEqual((plan.priority, plan.slo_deadline), (Priority.URGENT, 0.9))
        self.assertFalse(self.running.is_call(b"a"))

    def test_a_call_that_nobody_waits_for_is_refused_at_once(self):
        self.running.begin(b"a", self.parent)
        refusal = self.running.plan_call(b"a.1", self.call, 2.0)
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.running.end(b"a", is_answered=False, now=0.5)
        self.assertIsInstance(self.running.plan_call(b"a.1", self.call, 0.6), Refusal)
        self.assertIs(self.running.plan_call(b"a.1", self.call, 60.0), self.call)

    def test_any_other_request_is_served_as_before(self):
        """The form of the ids is observed, not guaranteed."""
        self.running.begin(b"a", self.parent)
        for request_id in (b"", b"b.1", b"a", b"ab.1", b"."):
            self.assertIs(self.running.plan_call(request_id, self.call, 0.1), self.call)
        self.running.end(b"a", is_answered=True, now=0.2)
        self.assertIs(self.running.plan_call(b"a.1", self.call, 0.3), self.call)

    def test_one_of_two_runs_of_an_id_ends(self):
        for _ in range(2):
            self.running.begin(b"a", self.parent)
        self.running.end(b"a", is_answered=False, now=0.1)
        self.assertTrue(self.running.plan_call(b"a.1", self.call, 0.2).is_call)

    def test_only_another_node_can_say_that_a_request_is_a_call(self):
        headers = [(b"host", b"h"), (b"daisylink-call", b"1")]
        self.assertFalse(parse_head(b"GET", b"/", headers, is_relay=False).is_call)
        hop = (b"daisylink-hop", b"p 500 i normal a - 1 300 view")
        self.assertTrue(parse_head(b"GET", b"/", [*headers, hop], True).is_call)
        head = parse_head(b"GET", b"/", [(b"host", b"h"), hop], True)
        self.assertFalse(head.is_call)


class QueueOrderTests(unittest.TestCase):
    def ask(self, admission, ticket, kind="view", slo=1.0, now=0.0, **fields):
        priority = fields.pop("priority", Priority.NORMAL)
        return admission.try_admit(
            ticket, priority, 9.0, now, now + slo, kind, **fields
        )

    def test_a_request_that_returns_goes_before_newer_ones(self):
        admission = open_admission(1, view=0.1)
        self.ask(admission, "runs")
        self.ask(admission, "new")
        self.ask(admission, "returns", slo=0.6)
        self.assertEqual(admission.release(0.1, 0.1, "view"), ["returns"])

    def test_a_request_that_returns_takes_the_place_of_a_newer_one(self):
        admission = open_admission(1, view=0.01)
        admission.limits = AdmissionLimits(1, 9, 1)
        self.ask(admission, "runs")
        self.ask(admission, "new")
        decision = self.ask(admission, "returns", slo=0.6)
        self.assertEqual(decision.displaced, "new")

    def test_a_call_goes_before_work_that_nobody_waits_on(self):
        admission = open_admission(1, view=0.05, lookup=0.1)
        self.ask(admission, "runs")
        self.ask(admission, "view", priority=Priority.URGENT)
        self.ask(admission, "call", "lookup", is_call=True, priority=Priority.BULK)
        self.assertEqual(admission.release(0.05, 0.1, "view"), ["call"])

    def test_no_kind_or_tenant_is_starved(self):
        """Short urgent requests that fill the slots would take every one of them."""
        admission = open_admission(2, view=0.05, feed=0.2)
        now, served = 0.0, []
        running = ["view", "view"]
        for _ in running:
            self.ask(admission, "view", slo=9.0, priority=Priority.URGENT)
        for _ in range(400):
            now += 0.025
            kind = running.pop(0)
            admitted = admission.release(admission.service_times[kind], now, kind)
            admission.pop_expired()
            asked = [("view", 1.0, Priority.URGENT)] * 3
            asked.append(("feed", 4.0, Priority.BULK))
            for name, slo, priority in asked:
                decision = self.ask(admission, name, name, slo, now, priority=priority)
                if isinstance(decision, Admitted):
                    admitted.append(name)
            running += admitted
            served += admitted
        share = served.count("feed") * 0.2 / (len(served) * 0.05)
        self.assertGreater(share, 0.04)

    def test_slots_are_kept_free_of_long_requests_for_calls(self):
        admission = open_admission(3, feed=0.8, lookup=0.08)
        for number in range(10):
            decision = self.ask(
                admission, "call", "lookup", now=number * 0.01, is_call=True
            )
            self.assertIsInstance(decision, Admitted)
            admission.release(0.08, number * 0.01, "lookup")
        decisions = [
            self.ask(admission, n, "feed", 4.0, 0.1, priority=Priority.BULK)
            for n in range(3)
        ]
        self.assertIsInstance(decisions[1], Admitted)
        self.assertIsInstance(decisions[2], Queued)
        self.assertEqual(admission.wake_at, float("inf"))
        decision = self.ask(admission, "call", "lookup", now=0.1, is_call=True)
        self.assertIsInstance(decision, Admitted)
        self.assertEqual(admission.release(0.08, 0.2, "lookup"), [])
        self.ask(admission, "call", "lookup", now=0.3, is_call=True)
        # Seconds after the last call nothing is reserved.
        self.assertEqual(admission.release(0.08, 3.9, "lookup"), [2])

    def test_a_request_with_little_room_is_not_late_because_of_the_margin(self):
        admission = open_admission(1, view=0.8)
        self.ask(admission, "runs", slo=9.0)
        admission.service_time = 0.1
        self.assertIsInstance(self.ask(admission, "tight"), Queued)
        self.assertEqual(len(admission.queue), 1)


class RefusalTests(unittest.TestCase):
    def test_callers_return_spread_out_and_in_time(self):
        """Thousands of callers that are told the same time return at once."""
        rng = random.Random(1)
        plan = make_plan()
        times = [choose_retry_ms(200, plan, 0.0, rng) for _ in range(500)]
        self.assertLess(min(times), 140)
        self.assertGreater(max(times), 260)
        times = [choose_retry_ms(3000, plan, 0.0, rng) for _ in range(500)]
        self.assertLessEqual(max(times), 500)
        late = make_plan(slo_deadline=0.0)
        self.assertGreater(choose_retry_ms(0, late, 0.0, rng), 500)

    def test_a_full_pool_is_not_asked_node_by_node(self):
        placer = make_placer(near=9, far=0)
        plan, search = make_plan(), SlotSearch(may_ask=True)
        code = ResultCode.REQUEST_OVERLOADED
        for _ in range(MIN_ANSWERS):
            placer.record_refused(plan, code, 0.0)
        refused = sum(placer.is_pool_full(plan, search, 0.0) for _ in range(1000))
        self.assertTrue(850 <= refused <= 950, refused)
        # One that returns asks one node, as do calls.
        returns = plan._replace(slo_deadline=0.7)
        self.assertFalse(placer.is_pool_full(returns, search, 0.0))
        self.assertFalse(placer.is_pool_full(plan._replace(is_call=True), search, 0.0))
        search.record_tried("10.0.0.1:1")
        self.assertTrue(placer.is_pool_full(returns, search, 0.0))
        self.assertFalse(placer.is_pool_full(returns, search, 1.2))

    def test_no_second_attempt_follows_where_most_servers_reject(self):
        placer = make_placer(near=9, far=0)
        plan, code = make_plan(), ResultCode.REQUEST_SHED_BY_SERVER
        for _ in range(MIN_ANSWERS - 1):
            placer.record_served(plan, True, 0.0)
        self.assertTrue(placer.record_refused(plan, code, 0.1))
        results = [placer.record_refused(plan, code, 0.2) for _ in range(12)]
        self.assertFalse(results[-1])
        self.assertTrue(placer.record_refused(plan, code, 5.0))
        others = placer.record_refused(plan, ResultCode.REQUEST_OVERLOADED, 0.2)
        self.assertTrue(others)

    def test_a_refusal_for_a_full_pool_says_that_nothing_ran(self):
        attempts = Attempts(make_plan(), RetryBudget(), random.Random(1))
        self.assertIsInstance(attempts.handle(RequestPlanned(), 0.0), Try)
        action = attempts.handle(PoolFull(), 0.0)
        self.assertIsInstance(action, GiveUp)
        self.assertEqual(action.refusal.code, ResultCode.REQUEST_OVERLOADED)
        self.assertEqual(action.refusal.status, 503)

    def test_what_reached_no_server_is_refused_with_503(self):
        """Callers that get 502 or 504 must assume that their request ran."""
        for event in (
            DeadlinePassed(may_have_run=False),
            AttemptRefused(ResultCode.REQUEST_CONNECT_FAILED),
        ):
            attempts = Attempts(make_plan(), RetryBudget(), random.Random(1))
            attempts.handle(RequestPlanned(), 0.0)
            refusal = attempts.handle(event, 3.9, replayable=False).refusal
            self.assertTrue(
                encode_refusal(refusal, False, True).startswith(b"HTTP/1.1 503")
            )

    def test_no_attempt_starts_that_ends_with_an_unknown_outcome(self):
        """A request refused by a queue at its deadline was sent on, and got 504."""
        placer = make_placer(near=3, far=0)
        self.assertTrue(placer.cannot_meet_deadline(make_plan(), 3.995))
        self.assertFalse(placer.cannot_meet_deadline(make_plan(), 3.9))

    def test_a_relayed_request_leaves_the_queue_before_its_entry_node_gives_up(self):
        timers = []
        gateway = SimpleNamespace(
            now=lambda: 0.0,
            loop=SimpleNamespace(call_later=lambda *item: timers.append(item[0])),
        )
        exchange = SimpleNamespace(plan=make_plan(deadline=0.8))
        sender = SimpleNamespace(gateway=gateway, exchange=exchange, is_relay=True)
        SlotWait(sender)._limit(0.8)
        self.assertAlmostEqual(timers[0], 0.8 - ANSWER_SECONDS)
