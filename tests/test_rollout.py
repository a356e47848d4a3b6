"""Decisions of rollouts, without a network."""

import random
import unittest

from bench.rollout_drill import SERVICE, Drill
from bench.rollout_scenarios import BAD, GOOD
from daisylink.errors import NodeError
from daisylink.platform import decode_order, encode_status
from daisylink.registry import Item, StoreRevision
from daisylink.rollout import (
    ALLOWANCE_SECONDS,
    EvidenceCounter,
    EvidenceReply,
    Exposure,
    ExposureSettings,
    Judge,
    KindCounts,
    RolloutOrder,
    RolloutState,
    RolloutTable,
    ServerView,
    ServiceRollout,
    Side,
    Step,
    VersionGate,
    begin_state,
)

ORDER = RolloutOrder(SERVICE, "v2", 12.0, 7)


def make_table(**fields):
    table = RolloutTable(random.Random(1))
    table.put(SERVICE, RolloutState(7, "v2", 12.0, **fields))
    return table


def count_times(seconds, number):
    counter = EvidenceCounter()
    for _ in range(number):
        counter.record_response("r", False, seconds, False)
    return counter.kinds


class DrillTests(unittest.TestCase):
    """The load of the specification, replayed with the real objects."""

    def check(self, name, seed=3):
        scenario = {**GOOD, **BAD}[name]
        run = Drill(scenario, seed).run()
        self.assertTrue(run.is_in_time, f"{name}: {run.state}")
        if scenario.bad:
            self.assertIs(run.step, Step.ROLLED_BACK, name)
            self.assertLessEqual(run.exposure, 0, name)
            self.assertFalse(run.is_late_stop, name)
        else:
            self.assertIs(run.step, Step.COMPLETED, f"{name}: {run.state.reason}")

    def test_a_good_version_completes(self):
        """Guards against a judge that takes load or slow old servers for a fault."""
        for name in ("calm", "old servers fail", "old servers slow"):
            self.check(name)

    def test_a_good_version_completes_under_overload_and_loss(self):
        for name in ("1.5 times capacity", "2 % lost", "3 never start"):
            self.check(name)

    def test_a_bad_version_is_rolled_back_within_its_exposure(self):
        """Guards against a judge that is blind to a kind, a late onset or load."""
        for name in ("fail after 5 s", "slow on kind c", "slow loaded"):
            self.check(name)

    def test_a_bad_version_is_rolled_back_though_the_controller_is_killed(self):
        """Guards against evidence or allowances that are lost with the controller."""
        for name in ("fail, killed at 2 s", "slow after 2 s, killed at 4 s"):
            self.check(name)


class GateTests(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.table = make_table(canaries=("n",), share=0.1)
        self.gate = VersionGate("n", self.table, lambda: self.now)
        self.gate.set_server(SERVICE, "v2", ("i", 1))

    def reply(self, limit, sent_at=None, order=7, start=("i", 1)):
        sent_at = self.now if sent_at is None else sent_at
        self.now += 0.01
        self.gate.handle_reply(
            EvidenceReply(SERVICE, order, start, "canary", sent_at, limit)
        )

    def admit(self, count):
        return [self.gate.try_admit() for _ in range(count)].count(True)

    def test_no_more_is_admitted_than_allowed(self):
        """Guards against a canary without a bound, also before the first reply."""
        self.assertEqual(self.admit(3), 0)
        self.now += 1
        self.reply(5)
        self.assertEqual(self.admit(9), 5)
        self.reply(7)
        self.assertEqual(self.admit(9), 2)

    def test_the_allowance_ends_without_replies(self):
        """Guards against exposure that goes on after the controller was killed."""
        self.now += 1
        self.reply(50)
        self.now += ALLOWANCE_SECONDS - 0.1
        self.assertEqual(self.admit(1), 1)
        self.now += 0.2
        self.assertEqual(self.admit(1), 0)

    def test_late_replies_and_those_to_others_change_nothing(self):
        """Guards against an allowance that a late datagram restores."""
        self.now += 2
        self.reply(0)
        self.reply(50, sent_at=self.now - 1)
        self.reply(50, order=6)
        self.reply(50, start=("i", 0))
        self.assertEqual(self.admit(1), 0)

    def test_steps_open_and_close_the_server(self):
        """Guards against old servers that serve at the end, or new ones after it."""
        for step, new, old in (
            (Step.FINISH, True, False),
            (Step.COMPLETED, True, False),
            (Step.ROLLED_BACK, False, True),
        ):
            gate_of = {}
            for version in ("v2", "v1"):
                table = make_table(step=step)
                gate = VersionGate("n", table, lambda: self.now)
                gate.set_server(SERVICE, version, ("i", 1))
                gate_of[version] = gate
            self.assertEqual(gate_of["v2"].try_admit(), new, step)
            self.assertEqual(gate_of["v1"].try_admit(), old, step)
            self.assertEqual(gate_of["v1"].is_closed(), not old, step)

    def test_a_new_version_is_held_until_its_order_could_be_known(self):
        """Guards against a server that serves before its node knows of the order."""
        gate = VersionGate("n", RolloutTable(random.Random(1)), lambda: self.now)
        gate.set_server(SERVICE, "v2", ("i", 1))
        self.assertTrue(gate.holds_back({"v1"}, 0.1))
        self.assertFalse(gate.holds_back({"v1", "v2"}, 0.1))
        self.assertFalse(gate.holds_back(set(), 0.1))
        self.now += 2.5
        self.assertFalse(gate.holds_back({"v1"}, 0.1))
        self.assertTrue(gate.holds_back({"v1"}, 9.0))


class ExposureTests(unittest.TestCase):
    def test_grants_stay_within_the_ceiling_of_the_store(self):
        """Guards against a sum of grants beyond the bound."""
        exposure = Exposure(ExposureSettings(), 0)
        self.assertEqual(exposure.grant("a", 0, 10), 0)
        exposure.ceiling = exposure.find_ceiling(0)
        self.assertEqual(exposure.ceiling, 42)
        self.assertEqual(exposure.grant("a", 0, 30), 30)
        self.assertEqual(exposure.grant("b", 0, 30), 12)
        self.assertEqual(exposure.find_ceiling(100), 42)
        self.assertEqual(exposure.find_ceiling(400), 82)

    def test_a_successor_counts_the_whole_ceiling_as_granted(self):
        """Guards against grants that are made again after a controller was killed."""
        exposure = Exposure(ExposureSettings(), 42)
        exposure.learn("a", 30)
        self.assertEqual(exposure.grant("a", 30, 10), 30)
        self.assertEqual(exposure.find_ceiling(0), 42)


class JudgeTests(unittest.TestCase):
    def setUp(self):
        self.judge = Judge()
        self.judge.add_old({"r": KindCounts(200, 8, {20: 180, 30: 12})}, 1.0)

    def test_a_few_failures_are_no_verdict(self):
        self.judge.add_new({"r": KindCounts(40, 3, {21: 37})})
        self.assertFalse(self.judge.is_bad)

    def test_half_the_responses_failing_is_bad(self):
        self.judge.add_new({"r": KindCounts(20, 10, {20: 10})})
        self.assertTrue(self.judge.is_bad)

    def test_late_faults_are_not_outweighed_by_earlier_responses(self):
        """Guards against a version that is good for seconds, then bad."""
        self.judge.add_new({"r": KindCounts(400, 4, {20: 396})})
        self.judge.add_new({"r": KindCounts(20, 11, {20: 9})})
        self.assertTrue(self.judge.is_bad)

    def test_three_times_as_slow_is_good_and_eight_times_bad(self):
        """Guards against slow machines that count against a version."""
        usual = self.judge.find_usual("r")
        self.judge.add_new(count_times(usual * 3, 60))
        self.assertFalse(self.judge.is_doubtful)
        self.judge.add_new(count_times(usual * 8, 12))
        self.assertTrue(self.judge.is_bad)

    def test_a_fault_that_all_servers_share_now_is_not_the_versions(self):
        """Guards against a dependency that fails for old and new alike."""
        self.judge.add_old({"r": KindCounts(40, 24, {20: 16})}, 9.0)
        self.judge.add_new({"r": KindCounts(30, 18, {20: 12})})
        self.assertFalse(self.judge.is_bad)

    def test_a_crash_counts_as_few_failures(self):
        """Guards against a machine that is killed and condemns a good version."""
        counter = EvidenceCounter()
        for _ in range(8):
            counter.record_lost("r", 1.0)
        self.judge.add_new(counter.kinds)
        self.assertFalse(self.judge.is_bad)

    def test_slow_responses_that_are_still_under_way_are_awaited(self):
        """Guards against a verdict by the fast responses of a half slow version."""
        self.judge.add_new({"r": KindCounts(14, 0, {20: 14})})
        self.judge.note_enough(2.0, is_late=False)
        self.assertEqual(self.judge.list_missing(), [])
        pending = 8 * self.judge.find_usual("r")
        self.assertFalse(self.judge.has_awaited(2.0 + pending))
        self.assertTrue(self.judge.has_awaited(2.0 + pending + 0.31))

    def test_slow_responses_of_a_cold_server_do_not_count(self):
        counter = EvidenceCounter()
        for _ in range(20):
            counter.record_response("r", False, 3.0, is_cold=True)
        self.judge.add_new(counter.kinds)
        self.assertFalse(self.judge.is_doubtful)


class StateTests(unittest.TestCase):
    def test_retries_go_to_old_servers(self):
        """Guards against a request that fails at one new server after another."""
        table = make_table(canaries=("n",), share=1.0)
        self.assertIs(table.draw_side(SERVICE, "r", is_retry=False), Side.NEW)
        self.assertIs(table.draw_side(SERVICE, "r", is_retry=True), Side.OLD)
        self.assertTrue(table.is_candidate(SERVICE, Side.NEW, "n", "v2"))
        self.assertFalse(table.is_candidate(SERVICE, Side.NEW, "m", "v2"))
        self.assertFalse(table.is_candidate(SERVICE, Side.OLD, "n", "v2"))

    def test_a_rollout_that_ended_does_not_begin_again(self):
        """Guards against a store that came back from an older copy."""
        table = make_table(step=Step.ROLLED_BACK, rejected=("v2",))
        self.assertFalse(table.put(SERVICE, RolloutState(7, "v2", 12.0)))
        self.assertIs(table.get(SERVICE).step, Step.ROLLED_BACK)

    def test_rolled_back_versions_stay_out_unless_ordered_anew(self):
        """Guards against requests to a version after the next order."""
        state = begin_state(ORDER, None, "c")
        third = RolloutOrder(SERVICE, "v3", 12.0, 9)
        state = begin_state(third, state, "c", {"v1", "v2"})
        self.assertEqual(state.rejected, ("v2",))
        self.assertFalse(state.may_serve("v2"))
        self.assertTrue(state.may_serve("v1"))
        again = begin_state(ORDER._replace(revision=11), state, "c", {"v1"})
        self.assertTrue(again.may_serve("v2"))
        self.assertFalse(again.may_serve("v3"))

    def test_an_order_of_the_old_version_takes_effect_at_once(self):
        """Guards against a service without servers after an order changes back."""
        state = begin_state(ORDER, None, "c", {"v1"})
        back = RolloutOrder(SERVICE, "v1", 12.0, 9)
        state = begin_state(back, state, "c", {"v1", "v2"})
        self.assertIs(state.step, Step.FINISH)
        self.assertFalse(state.may_serve("v2"))

    def test_too_few_new_servers_do_not_take_all_traffic(self):
        """Guards against old servers that stop while the new ones cannot bear it."""
        state = RolloutState(7, "v2", 12.0, step=Step.SHIFT, share=0.7)
        servers = [ServerView(f"o{i}", "v1", 4, True) for i in range(4)]
        rollout = ServiceRollout(state, 0.0, 0.0)
        few = [*servers, ServerView("n0", "v2", 4, True)]
        for server in servers:
            gate = VersionGate(server.node, make_table(step=Step.SHIFT), lambda: 1.0)
            gate.set_server(SERVICE, "v1", (server.node, 1))
            (report,) = gate.make_reports(running=3)
            rollout.handle_report(report, 1.0)
        self.assertIsNone(rollout.decide(few, 8.9))
        self.assertIs(rollout.decide(few, 10.9).step, Step.ROLLED_BACK)
        enough = [*few, *(ServerView(f"n{i}", "v2", 4, True) for i in range(1, 4))]
        self.assertIs(rollout.decide(enough, 8.9).step, Step.FINISH)

    def test_completion_waits_for_requests_in_flight(self):
        """Guards against requests that are cut when the old servers stop."""
        state = RolloutState(7, "v2", 12.0, step=Step.FINISH, share=1.0)
        servers = [ServerView("o", "v1", 4, True), ServerView("n", "v2", 4, True)]
        rollout = ServiceRollout(state, 0.0, 0.0)
        now = 1.0
        gate = VersionGate("o", make_table(step=Step.FINISH), lambda: now)
        gate.set_server(SERVICE, "v1", ("o", 1))
        for running, step in ((2, None), (0, Step.COMPLETED)):
            now += 1
            rollout.handle_report(gate.make_reports(running)[0], now)
            found = rollout.decide(servers, now)
            self.assertEqual(found and found.step, step)


class FormatTests(unittest.TestCase):
    def test_orders_and_statuses_have_the_platforms_format(self):
        value = b'{"service":"huvo11a","target_version":"v2","duration":"12s"}'
        item = Item("op/rollout/huvo11a", value, StoreRevision(3, 44))
        self.assertEqual(decode_order(item), RolloutOrder("huvo11a", "v2", 12.0, 44))
        status = encode_status("running", "v2")
        self.assertEqual(status, b'{"state":"running","target_version":"v2"}')

    def test_orders_that_cannot_be_followed_are_refused(self):
        for value in (
            b"{",
            b'{"service":"b","target_version":"v2","duration":"12s"}',
            b'{"service":"a","target_version":"","duration":"12s"}',
            b'{"service":"a","target_version":"v2","duration":"nans"}',
            b'{"service":"a","target_version":"v2","duration":"-1s"}',
        ):
            with self.assertRaises(NodeError):
                decode_order(Item("op/rollout/a", value, StoreRevision(1, 1)))
