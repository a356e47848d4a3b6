"""Quotas: the decision objects, and a fleet of them in simulated time."""

import random
import unittest
from types import SimpleNamespace

from bench.quota_fleet import QuotaFleet, find_bound, find_highest, make_tenants
from daisylink.logs import configure_logging
from daisylink.quota import (
    Bucket,
    FleetSize,
    Limit,
    Loan,
    Pool,
    Portion,
    QuotaAsk,
    QuotaBounds,
    QuotaLend,
    QuotaLent,
    ShareHistory,
)
from daisylink.quota._bucket import MAX_CHANGES, Shares
from daisylink.quota._fleet_size import LEFT_NODE_SECONDS, LOST_NODE_SECONDS
from daisylink.version import TenantTable

BOUNDS = QuotaBounds()
LARGE = Limit.from_quota(278.0, 278.0, BOUNDS)
SMALL = Limit.from_quota(1.5, 1.5, BOUNDS)
PROCESS = 7


def whole(count, size):
    return (Shares(size, count, Portion.WHOLE),)


class BucketTests(unittest.TestCase):
    def test_tokens_are_cut_when_shares_leave_and_not_added_when_they_join(self):
        """A share that moves between coordinators must not carry tokens to both."""
        history = ShareHistory(0.0)
        bucket = Bucket()
        history.set_shares(whole(2, 4), 0.0)
        bucket.settle(history, LARGE, 100.0)
        self.assertAlmostEqual(bucket.tokens, LARGE.depth / 2)
        history.set_shares(whole(1, 4), 100.0)
        history.set_shares(whole(2, 4), 100.0)
        bucket.settle(history, LARGE, 100.0)
        self.assertAlmostEqual(bucket.tokens, LARGE.depth / 4)

    def test_a_new_bucket_is_as_if_it_had_been_there_since_the_start(self):
        """A tenant with a request a minute would else be refused by each new bucket."""
        history = ShareHistory(0.0)
        history.set_shares(whole(1, 4), 10.0)
        bucket = Bucket()
        bucket.settle(history, SMALL, 14.0)
        self.assertAlmostEqual(bucket.tokens, 4.0 * SMALL.rate / 4)

    def test_a_bucket_older_than_the_history_starts_empty(self):
        history = ShareHistory(0.0)
        history.set_shares(whole(1, 1), 0.0)
        bucket = Bucket()
        bucket.settle(history, LARGE, 50.0)
        for number in range(MAX_CHANGES + 5):
            history.set_shares(whole(number % 2, 4), 50.0 + number)
        bucket.settle(history, LARGE, 50.0 + MAX_CHANGES + 5)
        self.assertLessEqual(bucket.tokens, LARGE.find_depth(1 / 4))

    def test_minimum_depths_stay_within_their_part_of_the_tolerance(self):
        """A depth of 1 at each of many holders would let 80 requests more run."""
        rng = random.Random(7)
        for limit in (SMALL, LARGE, Limit.from_quota(74.0, 74.0, BOUNDS)):
            allowed = limit.rate * 5 + limit.rate
            tolerance = allowed * BOUNDS.over + BOUNDS.slack
            for holders in (*range(1, 40), 80, 300):
                weights = [rng.uniform(0.5, 1.0) for _ in range(holders)]
                fractions = [weight / sum(weights) for weight in weights]
                depths = sum(map(limit.find_depth, fractions))
                self.assertLessEqual(depths, limit.depth + tolerance / 4 + 1e-9)
            self.assertGreaterEqual(limit.find_depth(limit.min_fraction), 1.0)


class PoolTests(unittest.TestCase):
    def make_pool(self):
        return Pool(0, PROCESS, lambda _tenant: LARGE, 0.0)

    def test_a_renewal_that_waited_while_the_process_was_frozen_lends_nothing(self):
        """Its lender has used the share itself since the lease ended."""
        pool = self.make_pool()
        pool.handle_lend("n", QuotaLend(0, 4, PROCESS, 10.0), 10.1)
        pool.handle_lend("n", QuotaLend(0, 4, PROCESS, 10.4), 12.0)
        self.assertEqual(pool.leases, {})
        answer = pool.handle_ask("n", QuotaAsk(1, "t"), 12.0)
        self.assertFalse(answer.is_granted)

    def test_a_renewal_of_another_process_lends_nothing(self):
        """Clocks start anew with a machine, so a former time tells nothing."""
        pool = self.make_pool()
        pool.handle_lend("n", QuotaLend(0, 4, PROCESS + 1, 10.0), 10.1)
        pool.handle_lend("m", QuotaLend(0, 4, PROCESS, 99.0), 10.1)
        self.assertEqual(pool.leases, {})

    def test_tokens_end_with_the_lease_that_brought_them(self):
        pool = self.make_pool()
        pool.handle_lend("n", QuotaLend(0, 4, PROCESS, 10.0), 10.0)
        pool.handle_lend("m", QuotaLend(0, 4, PROCESS, 10.9), 10.9)
        granted = sum(
            pool.handle_ask("n", QuotaAsk(number, "t"), 11.9).is_granted
            for number in range(500)
        )
        # Of "n" 1 s and of "m" nothing, because its lease ended at 11.9.
        self.assertEqual(granted, 0)

    def test_a_repeated_question_takes_one_token(self):
        """A lost answer is asked for again; the request counts once."""
        pool = self.make_pool()
        pool.handle_lend("n", QuotaLend(0, 1, PROCESS, 10.0), 10.0)
        ask = QuotaAsk(1, "t")
        self.assertTrue(pool.handle_ask("n", ask, 10.5).is_granted)
        before = pool.tenants["t"].tokens
        self.assertTrue(pool.handle_ask("n", ask, 10.5).is_granted)
        self.assertEqual(pool.tenants["t"].tokens, before)

    def test_refused_requests_are_told_different_times(self):
        """Callers that return at one moment would be refused again."""
        pool = self.make_pool()
        pool.handle_lend("n", QuotaLend(0, 80, PROCESS, 10.0), 10.0)
        times = [
            pool.handle_ask("n", QuotaAsk(number, "t"), 10.01).retry
            for number in range(4)
        ]
        self.assertEqual(times, sorted(set(times)))


class LoanTests(unittest.TestCase):
    def test_a_share_is_lent_on_only_when_the_lease_has_certainly_ended(self):
        loan = Loan(0)
        loan.tick(["a", "b"], (), 4, 0.0)
        ((node, message),) = loan.handle_reply("a", QuotaLent(0, 1, 50.0), 4, 0.01)
        self.assertEqual((node, message.time), ("a", 50.0))
        lent_to_b = None
        for step in range(1, 40):
            now = step * 0.1
            for node, _ in loan.tick(["a", "b"], (), 4, now):
                if node != "b":
                    continue
                for _, lend in loan.handle_reply("b", QuotaLent(0, 2, now), 4, now):
                    lent_to_b = lent_to_b or (now if lend.process else None)
            if loan.coordinator == "":
                self.assertGreaterEqual(now, 1.01)
        self.assertIsNotNone(lent_to_b)
        self.assertGreaterEqual(lent_to_b, 1.01)
        self.assertLess(lent_to_b, 1.6)

    def test_nodes_of_an_earlier_release_hold_no_shard(self):
        """They never reply, so the next by rank is asked after three attempts."""
        loan = Loan(0)
        asked = []
        for step in range(20):
            for node, _ in loan.tick(["old", "older", "new"], (), 4, step * 0.1):
                asked.append(node)
                if node == "new":
                    loan.handle_reply(node, QuotaLent(0, 1, step * 0.1), 4, step * 0.1)
        self.assertEqual(loan.coordinator, "new")
        self.assertEqual(asked[:6], ["old"] * 3 + ["older"] * 3)


class FleetSizeTests(unittest.TestCase):
    def test_nodes_that_disappear_are_counted_and_those_that_leave_are_not(self):
        """Nodes of a zone that is cut off go on with their shares."""
        size = FleetSize(0.0)
        size.set_members(["a", "b", "c", "d"], 0.0)
        size.record_left("b")
        size.set_members(["a"], 10.0)
        size.tick(10.0 + LEFT_NODE_SECONDS, False)
        self.assertEqual(size.size, 3)
        size.tick(10.0 + LOST_NODE_SECONDS, False)
        self.assertEqual(size.size, 1)

    def test_a_process_that_starts_while_a_zone_is_cut_off_does_not_forget_it(self):
        size = FleetSize(0.0)
        size.handle_stored(b"80", 1)
        size.set_members([f"n{number}" for number in range(53)], 0.1)
        self.assertEqual(size.find_share_size(5.0), 80)
        self.assertIsNone(size.tick(30.0, True))

    def test_a_new_node_uses_its_share_when_the_others_know_it(self):
        size = FleetSize(0.0)
        size.handle_stored(b"3", 1)
        size.set_members(["a", "b", "c", "new"], 0.1)
        self.assertEqual(size.find_share_size(1.5), 0)
        size.handle_stored(b"4", 2)
        self.assertEqual(size.find_share_size(1.6), 4)

    def test_a_start_waits_for_what_a_former_process_lent(self):
        size = FleetSize(0.0)
        size.handle_stored(b"3", 1)
        size.set_members(["a", "b", "c"], 0.1)
        self.assertFalse(size.may_use_lent_part(1.01))
        self.assertTrue(size.may_use_lent_part(1.03))

    def test_a_start_uses_only_what_a_former_process_kept(self):
        fleet = QuotaFleet(make_tenants(1, 150.0), {"a": 1}, 1, stored=3)
        fleet.start_all()
        fleet.run(0.3)
        (machine,) = fleet.machines.values()
        for loan in machine.driver.loans:
            loan.coordinator = ""
            machine.driver._update_share(loan, fleet.now)
            current = machine.driver.node_quota.histories[loan.shard].current
            self.assertAlmostEqual(current.find_fraction(LARGE), 1 / 6)
            self.assertEqual(current.find_fraction(SMALL), 0)


class FleetTests(unittest.TestCase):
    """The worst of bench.quota_drill: 8 times the usual rate, and trouble at 8 s."""

    def setUp(self):
        configure_logging("CRITICAL")

    def play(self, trouble=None, factor=8.0, seed=3):
        tenants = make_tenants(12, 150.0)
        fleet = QuotaFleet(tenants, {"a": 10, "b": 10, "c": 10}, seed, stored=30)
        fleet.start_all()
        fleet.load(
            lambda tenant: tenant.rate / 1.6 * factor,
            lambda _now: {"a": 1, "b": 1, "c": 1},
            0.0,
            16.0,
        )
        if trouble is not None:
            fleet.call_later(8.0, lambda: trouble(fleet))
        fleet.run(16.0)
        for tenant in tenants:
            with self.subTest(tenant=tenant.name):
                highest = find_highest(fleet.admitted[tenant.name], 5.0)
                self.assertLessEqual(highest, find_bound(tenant, BOUNDS))
        return fleet

    def count_share(self, fleet, begin, end):
        """Return the share of their quotas that all tenants get in a span."""
        times = [at for times in fleet.admitted.values() for at in times]
        rate = sum(tenant.rate for tenant in fleet.tenants.values())
        return sum(begin <= at < end for at in times) / (rate * (end - begin))

    def test_most_of_an_excess_costs_no_message_and_the_quota_is_served(self):
        fleet = self.play()
        self.assertGreater(self.count_share(fleet, 8, 16), 0.95)
        self.assertLess(fleet.asks["t0"], 0.4 * len(fleet.arrivals["t0"]))
        # A node that has one request of a tenant in a second asks for each of them.
        offered = sum(map(len, fleet.arrivals.values()))
        self.assertLess(fleet.sent["QuotaAsk"], 0.7 * offered)

    def test_tenants_within_their_quotas_are_served(self):
        """A fixed share of 1/30 of a small tenant's depth is below one request."""
        fleet = self.play(factor=1.0)
        for name, times in fleet.admitted.items():
            with self.subTest(tenant=name):
                after = [at for at in times if at >= 8]
                offered = [at for at in fleet.arrivals[name] if at >= 8]
                self.assertGreaterEqual(len(after) / len(offered), 0.95)

    def test_a_zone_that_is_cut_off_and_returns(self):
        def cut(fleet):
            fleet.cut_off("c")
            fleet.call_later(5.0, lambda: fleet.rejoin("c"))

        fleet = self.play(cut)
        self.assertGreater(self.count_share(fleet, 8, 13), 0.8)

    def test_coordinators_that_are_frozen_and_continue(self):
        def freeze(fleet):
            frozen = [m for m in fleet.machines.values() if m.driver.pools[0].leases]
            self.assertTrue(frozen)
            for machine in frozen:
                machine.is_frozen = True
                fleet.call_later(3.0, machine.thaw)

        fleet = self.play(freeze)
        self.assertGreater(self.count_share(fleet, 11, 16), 0.8)

    def test_a_lowered_quota_binds_one_window_after_it_is_in_force(self):
        """Tokens and rates of the former quota must not outlast it."""
        lowered = make_tenants(12, 30.0)
        table = TenantTable.from_keys((tenant, ()) for tenant in lowered)

        def lower(fleet):
            for number, machine in enumerate(fleet.machines.values()):
                driver = machine.driver
                fleet.call_later(
                    number / 30,
                    lambda d=driver: d.set_version(SimpleNamespace(tenants=table)),
                )

        fleet = self.play(lower)
        for tenant in lowered:
            times = [at for at in fleet.admitted[tenant.name] if at >= 10.0]
            highest = find_highest(times, 5.0)
            self.assertLessEqual(highest, find_bound(tenant, BOUNDS))

    def test_callers_that_move_to_another_zone_are_served(self):
        """A zone has a third of the quota; without the others 0.858 were served."""
        tenants = make_tenants(12, 150.0)
        fleet = QuotaFleet(tenants, {"a": 10, "b": 10, "c": 10}, 3, stored=30)
        fleet.start_all()

        def choose(now):
            moved = 0.68 if 8 <= now < 13 else 0.0
            return {"a": 1 - moved, "b": 1 + moved, "c": 1}

        fleet.load(lambda t: t.rate * 0.9, choose, 0.0, 13.0)
        fleet.run(13.1)
        served = offered = 0
        for name, times in fleet.admitted.items():
            served += sum(at >= 8 for at in times)
            offered += sum(at >= 8 for at in fleet.arrivals[name])
        self.assertGreaterEqual(served / offered, 0.95)

    def test_all_nodes_killed_and_started_again(self):
        def kill(fleet):
            for number, machine in enumerate(list(fleet.machines.values())):
                fleet.kill(machine)
                fleet.call_later(number / 60, lambda m=machine: fleet.start(m))

        fleet = self.play(kill)
        self.assertGreater(self.count_share(fleet, 11, 16), 0.9)

    def test_a_third_more_nodes_join(self):
        def join(fleet):
            for number in range(10):
                fleet.start(fleet.add_machine(f"new{number}:7", "abc"[number % 3]))

        fleet = self.play(join)
        self.assertGreater(self.count_share(fleet, 12, 16), 0.9)
        self.assertEqual(fleet.stored.value, b"40")
        self.assertLessEqual(fleet.store_writes, 3)

    def test_a_zone_of_few_nodes_serves_small_tenants(self):
        """Its pool has a depth below one request; another zone has the tokens."""
        tenants = make_tenants(82)[60:]
        fleet = QuotaFleet(tenants, {"a": 30, "b": 30, "c": 2}, 5, stored=62)
        fleet.start_all()
        fleet.load(lambda t: t.rate / 1.6, lambda _now: {"c": 1}, 10.0, 20.0)
        fleet.run(21.0)
        admitted = sum(map(len, fleet.admitted.values()))
        self.assertGreater(admitted / sum(map(len, fleet.arrivals.values())), 0.95)
