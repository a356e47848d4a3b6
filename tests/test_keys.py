"""A keyed request runs at most once, despite failures between it and its resend."""

import asyncio
import random
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import HealthCheck, given, settings, strategies

from bench.fabric import FleetSimulator
from daisylink.errors import ResultCode
from daisylink.process import FleetSettings
from daisylink.process._events import ClaimEnded, ClaimRequested
from daisylink.process._replicas import REPLICAS_PER_SHARD, ReplicaSettings, find_shard
from daisylink.request import ClaimGranted, ClaimKnown, ClaimRefused, RunResult
from daisylink.standin import CallerClient, Placement
from tests.support import HOST, FleetTestCase, make_content

KEY = bytes(range(16))
ZONES = ("x", "y", "z")
SETTLE_SECONDS = 8.0


class KeyFleet:
    """A fabric with a replica map, and the claims made in it."""

    def __init__(self, size=9, seed=1, lost_majority_wait=60):
        replicas = ReplicaSettings(
            lost_majority_wait=timedelta(seconds=lost_majority_wait)
        )
        self.fabric = FleetSimulator(seed)
        self.settings = FleetSettings(replicas=replicas)
        for number in range(size):
            self.fabric.add(ZONES[number % 3], self.settings)
        self.fabric.run(SETTLE_SECONDS)
        self.tickets = 0
        self.ran = Counter()

    def live_hosts(self):
        return [host for host in self.fabric.hosts.values() if host.alive]

    def find_key_placement(self):
        maps = [host.fleet.replica_manager for host in self.live_hosts()]
        newest = max(maps, key=lambda item: item.map.number)
        return newest.find_placement(find_shard(KEY))

    def claim(self, host, key=KEY, seconds=1.0):
        """Claim a key at a node; return the outcome, None if the node is dead."""
        self.tickets += 1
        ticket = self.tickets
        if not host.alive:
            return None
        self.fabric.deliver_event(host, ClaimRequested(ticket, key))
        self.fabric.run(seconds, until=lambda: ticket in host.claim_outcomes)
        outcome = host.claim_outcomes.get(ticket)
        if isinstance(outcome, ClaimGranted):
            self.ran[key] += 1
        return outcome

    def end(self, host, run_result, response=b""):
        if host.alive:
            self.fabric.deliver_event(
                host, ClaimEnded(self.tickets, run_result, response)
            )
            self.fabric.run(0.1)
            if run_result is RunResult.NOT_RUN:
                self.ran[KEY] -= 1


class KeeperTests(unittest.TestCase):
    def test_each_shard_has_replicas_in_three_zones(self):
        fleet = KeyFleet()
        for host in fleet.live_hosts():
            self.assertEqual(host.fleet.replica_manager.map.number, 1)
            for placement in host.fleet.replica_manager.map.shards:
                zones = {
                    host.fleet.directory.records[replica.node].zone
                    for replica in placement.keepers
                }
                self.assertEqual(len(zones), REPLICAS_PER_SHARD)

    def test_a_resend_through_any_node_gets_the_recorded_response(self):
        fleet = KeyFleet()
        first = fleet.live_hosts()[0]
        self.assertIsInstance(fleet.claim(first), ClaimGranted)
        running = fleet.claim(fleet.live_hosts()[4])
        self.assertEqual(running, ClaimKnown(False, b""))
        fleet.tickets = 1
        fleet.end(first, RunResult.ANSWERED, b"whole answer")
        fleet.tickets = 9
        for host in fleet.live_hosts():
            self.assertEqual(fleet.claim(host), ClaimKnown(True, b"whole answer"))

    def test_a_request_that_was_not_run_may_run_again(self):
        fleet = KeyFleet()
        self.assertIsInstance(fleet.claim(fleet.live_hosts()[0]), ClaimGranted)
        fleet.end(fleet.live_hosts()[0], RunResult.NOT_RUN)
        self.assertIsInstance(fleet.claim(fleet.live_hosts()[1]), ClaimGranted)

    def test_records_survive_the_loss_of_replicas_one_after_another(self):
        fleet = KeyFleet(size=15)
        self.assertIsInstance(fleet.claim(fleet.live_hosts()[0]), ClaimGranted)
        fleet.end(fleet.live_hosts()[0], RunResult.ANSWERED, b"kept")
        for _ in range(3):
            placement = fleet.find_key_placement()
            fleet.fabric.kill(fleet.fabric.hosts[placement.keepers[0].node])
            fleet.fabric.run(30.0)
            self.assertGreater(fleet.find_key_placement().epoch, placement.epoch)
            for host in fleet.live_hosts()[:4]:
                self.assertEqual(fleet.claim(host), ClaimKnown(True, b"kept"))

    def test_a_lost_majority_refuses_unrun_and_starts_empty_only_after_the_wait(self):
        fleet = KeyFleet(size=15, lost_majority_wait=40)
        for replica in fleet.find_key_placement().keepers[:2]:
            fleet.fabric.kill(fleet.fabric.hosts[replica.node])
        refused = fleet.claim(fleet.live_hosts()[0])
        self.assertIsInstance(refused, ClaimRefused)
        self.assertEqual(refused.code, ResultCode.REQUEST_KEY_UNSETTLED)
        fleet.fabric.run(30.0)
        self.assertIsInstance(fleet.claim(fleet.live_hosts()[1]), ClaimRefused)
        fleet.fabric.run(60.0)
        self.assertIsInstance(fleet.claim(fleet.live_hosts()[2]), ClaimGranted)

    def test_a_zone_cut_off_refuses_unrun_and_the_rest_goes_on(self):
        fleet = KeyFleet()
        for other in ("y", "z", "platform"):
            fleet.fabric.partition("x", other)
        cut = [host for host in fleet.live_hosts() if host.fleet.own_record.zone == "x"]
        rest = [
            host for host in fleet.live_hosts() if host.fleet.own_record.zone != "x"
        ]
        self.assertIsInstance(fleet.claim(cut[0]), ClaimRefused)
        fleet.fabric.run(20.0)
        self.assertIsInstance(fleet.claim(rest[0]), ClaimGranted)
        self.assertIsInstance(fleet.claim(cut[1]), ClaimRefused)
        fleet.fabric.heal_partitions()
        fleet.fabric.run(10.0)
        self.assertEqual(fleet.claim(cut[1]), ClaimKnown(False, b""))

    def test_a_full_shard_refuses_claims_instead_of_dropping_records(self):
        fleet = KeyFleet()
        settings_ = fleet.live_hosts()[0].fleet.key_records.settings._replace(
            max_records=1
        )
        for host in fleet.live_hosts():
            host.fleet.key_records.settings = settings_
        other = KEY[:1] + bytes(15)
        self.assertIsInstance(fleet.claim(fleet.live_hosts()[0]), ClaimGranted)
        self.assertIsInstance(fleet.claim(fleet.live_hosts()[1], other), ClaimRefused)
        self.assertIsInstance(fleet.claim(fleet.live_hosts()[2]), ClaimKnown)

    @settings(
        max_examples=15,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["claim", "claim", "kill", "revive", "cut", "heal", "run", "pause"]
                ),
                strategies.integers(0, 8),
            ),
            min_size=6,
            max_size=14,
        )
    )
    def test_no_interleaving_runs_a_key_twice(self, steps):
        fleet = KeyFleet()
        fabric = fleet.fabric
        names = list(fabric.hosts)
        killed = 0
        for kind, number in steps:
            host = fabric.hosts[names[number]]
            match kind:
                case "claim":
                    fleet.claim(host, seconds=0.002 * (number + 1))
                case "kill" if host.alive and killed < 1:
                    killed += 1
                    fabric.kill(host)
                case "revive" if not host.alive:
                    fabric.restart(host)
                case "cut":
                    fabric.partition(ZONES[number % 3], ZONES[(number + 1) % 3])
                    fabric.partition(ZONES[number % 3], "platform")
                case "heal":
                    fabric.heal_partitions()
                case "pause":
                    host.paused_until = fabric.now + number
                case "run":
                    killed = 0
                    fabric.run(15.0)
        fabric.heal_partitions()
        fabric.run(15.0)
        for host in fleet.live_hosts():
            fleet.claim(host)
        granted = sum(
            isinstance(item, ClaimGranted) for item in fabric.all_claim_outcomes
        )
        self.assertLessEqual(granted, 1)


class KeyedCallTests(FleetTestCase):
    placements = [Placement(zone, "a") for zone in ZONES for _ in range(2)]

    def run_calls(self, scenario):
        async def run(fleet, operations):
            await fleet.start(self.placements)
            await operations.accept(make_content("a"), "")
            await fleet.wait_for_servers()
            await fleet.wait_for(
                lambda: all(
                    node.fleet.replica_manager.map.number for node in fleet.nodes
                )
            )
            await scenario(fleet)

        self.run_fleet(run)

    @staticmethod
    def runs(fleet, name):
        return sum(backend.runs[name] for backend in fleet.backends)

    def test_a_resend_gets_the_whole_response_without_a_second_run(self):
        async def scenario(fleet):
            headers = {"idempotency-key": "k1", "x-request-id": "k1"}
            responses = []
            for node in fleet.nodes:
                caller = CallerClient(str(node.callers_address))
                response = await caller.call("POST", "/a/write", HOST, b"abc", headers)
                responses.append((response.status, response.body, response.is_complete))
                caller.close()
            self.assertEqual(len(set(responses)), 1, responses)
            self.assertEqual(responses[0][0], 200)
            self.assertEqual(self.runs(fleet, "k1"), 1)

        self.run_calls(scenario)

    def test_a_resend_after_a_crash_is_not_run_again(self):
        async def scenario(fleet):
            headers = {
                "idempotency-key": "k2",
                "x-request-id": "k2",
                "x-standin-sleep-ms": "400",
            }
            caller = CallerClient(str(fleet.nodes[0].callers_address))
            call = asyncio.create_task(
                caller.call("POST", "/a/write", HOST, b"abc", headers)
            )
            await fleet.wait_for(lambda: self.runs(fleet, "k2") == 1)
            runner = next(b for b in fleet.backends if b.runs["k2"])
            runner.kill()
            response = await call
            self.assertEqual(response.outcome, "unknown")
            for node in random.Random(1).sample(fleet.nodes, 4):
                other = CallerClient(str(node.callers_address))
                response = await other.call("POST", "/a/write", HOST, b"abc", headers)
                self.assertEqual(response.code, ResultCode.REQUEST_KEY_RUNNING)
                self.assertEqual(response.outcome, "unknown")
            self.assertEqual(self.runs(fleet, "k2"), 1)

        self.run_calls(scenario)

    def test_a_long_response_is_not_stored_but_known_to_have_run(self):
        async def scenario(fleet):
            headers = {
                "idempotency-key": "k3",
                "x-request-id": "k3",
                "x-standin-answer-bytes": "100000",
            }
            caller = CallerClient(str(fleet.nodes[0].callers_address))
            response = await caller.call("POST", "/a/write", HOST, b"abc", headers)
            self.assertEqual(len(response.body), 100_000)
            caller = CallerClient(str(fleet.nodes[3].callers_address))
            response = await caller.call("POST", "/a/write", HOST, b"abc", headers)
            self.assertEqual(response.code, ResultCode.REQUEST_KEY_DONE)
            self.assertEqual(response.outcome, "ran")
            self.assertEqual(self.runs(fleet, "k3"), 1)

        self.run_calls(scenario)
