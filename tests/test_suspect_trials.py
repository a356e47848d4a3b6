"""A request that is refused because servers crashed with it has a way back."""

import unittest
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.request import Fingerprint, QuarantineStatus
from daisylink.serving import MemberRecord, Quarantine, ServerState, Strike
from daisylink.serving._suspect_trials import MIN_PAUSE_SECONDS, SuspectTrials
from daisylink.sidecar._strikes import SIDECAR_QUARANTINE_SETTINGS
from tests.connection_model import read_messages
from tests.sidecar_case import SidecarTestCase
from tests.simulated_network import CallerTestCase, make_request
from tests.test_popular_request import fingerprint

PAGE = Fingerprint(b"h", b"page")
CRASHES = SIDECAR_QUARANTINE_SETTINGS.crash_limit
DELAYS = [delay.total_seconds() for delay in SIDECAR_QUARANTINE_SETTINGS.trial_delays]
NODES = [f"n{number}" for number in range(6)]
POOL = "one"
# What the pages allow after the third crash.
MAX_RETRIES = 3


def add_crash(quarantine, content, number, now, age=0.0):
    """Count a crash against a request, as if it had been tried again and again."""
    strike = Strike.from_fingerprint(content, f"crash {number}", is_repeat=True)
    quarantine.merge_strikes((strike,), now, find_age=lambda _strike: age)


def make_record(node):
    return MemberRecord(node, "a", 0, pool=POOL, server=ServerState.SERVING)


class Directory(NamedTuple):
    """Directory of one pool."""

    own_record: MemberRecord
    records: dict[str, MemberRecord]

    def serving(self, _pool):
        return self.records


class TrialScheduleTests(unittest.TestCase):
    """Which node tries a request, and when; all nodes know the same crashes."""

    def setUp(self):
        self.quarantine = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        self.trials = {node: self.make_trials(node) for node in NODES}
        for number in range(CRASHES):
            add_crash(self.quarantine, PAGE, number, 0.0)

    def make_trials(self, node):
        records = {name: make_record(name) for name in NODES}
        return SuspectTrials(self.quarantine, Directory(records[node], records))

    def find_triers(self, now):
        """Return the nodes that begin a trial."""
        return [
            node
            for node, trials in self.trials.items()
            if trials.begin(PAGE, POOL, now)
        ]

    def test_one_node_tries_it_after_some_seconds(self):
        """It was refused by all nodes until its strikes expired."""
        self.assertEqual(self.find_triers(DELAYS[0] - 1.0), [])
        chosen = {
            trials.find_node(PAGE, POOL, DELAYS[0]).node
            for trials in self.trials.values()
        }
        self.assertEqual(self.find_triers(DELAYS[0]), list(chosen))
        self.assertEqual(self.find_triers(DELAYS[0]), [])

    def test_a_request_that_crashes_servers_is_tried_less_often_than_is_allowed(self):
        now, triers = 0.0, []
        for number in range(600):
            now += 1.0
            found = self.find_triers(now)
            triers += found
            if found:
                self.quarantine.end(PAGE)
                add_crash(self.quarantine, PAGE, f"trial {number}", now)
        self.assertEqual(len(triers), len(DELAYS))
        self.assertLess(len(triers), MAX_RETRIES)

    def test_a_trial_without_a_verdict_is_repeated_after_a_pause(self):
        """Its caller may leave before the server has answered."""
        (first,) = self.find_triers(DELAYS[0])
        self.quarantine.end(PAGE)
        self.assertEqual(self.find_triers(DELAYS[0] + 1.0), [])
        self.assertEqual(self.find_triers(DELAYS[0] + MIN_PAUSE_SECONDS), [first])

    def test_a_sound_answer_ends_the_quarantine(self):
        self.find_triers(DELAYS[0])
        self.quarantine.end(PAGE)
        self.quarantine.merge_strikes(self.quarantine.make_pardons(PAGE), DELAYS[0])
        status = self.quarantine.find_status(PAGE, DELAYS[0] + 1.0)
        self.assertIs(status, QuarantineStatus.CLEAR)


class TriedRequestTests(CallerTestCase):
    """What callers get meanwhile."""

    def test_others_are_refused_while_one_runs_and_served_after_it(self):
        gateway = self.node.gateway
        quarantine = gateway.quarantine
        gateway.on_suspect_answered = lambda content: quarantine.merge_strikes(
            quarantine.make_pardons(content), self.node.loop.time()
        )
        for number in range(CRASHES):
            add_crash(quarantine, fingerprint("page"), number, 0.0, age=0.0)
        self.send(make_request("page"))
        self.assertEqual(self.node.find_ends("page"), [])
        (refused,) = read_messages(bytes(self.caller.received))
        seconds = int(refused.headers["daisylink-retry-after-ms"]) / 1000
        self.assertAlmostEqual(seconds, DELAYS[0] + 1.0, delta=0.1)
        self.node.advance(DELAYS[0])
        self.caller = self.node.connect()
        self.send(make_request("page"))
        other = self.node.connect()
        other.send(make_request("page"))
        self.settle()
        (refused,) = read_messages(bytes(other.received))
        code = int(refused.headers["daisylink-code"])
        self.assertEqual(code, ResultCode.REQUEST_QUARANTINED)
        self.answer("page")
        self.assertEqual(read_messages(bytes(self.caller.received))[0].first[1], "200")
        other.send(make_request("page"))
        self.settle()
        self.assertEqual(len(self.node.find_ends("page")), 1)
        (end,) = self.node.find_ends("page")
        self.assertEqual(end.received.count(b"GET /x/page "), 2)


class FleetTrialTests(SidecarTestCase):
    def test_one_answer_clears_a_request_for_the_whole_fleet(self):
        """No node had a way to find out that it is sound."""

        async def scenario(_store, *machines):
            content = fingerprint("page")
            for machine in machines:
                quarantine = machine.sidecar.gateway.quarantine
                for number in range(CRASHES):
                    now = machine.sidecar.now()
                    add_crash(quarantine, content, number, now, age=DELAYS[0])
            response = await machines[0].request("r1", path="/x/page")
            self.assertEqual(response.status, 200)
            self.assertEqual(sum(len(machine.server.runs) for machine in machines), 1)
            for machine in machines:
                gateway = machine.sidecar.gateway
                await self.wait_for(
                    lambda gateway=gateway: (
                        gateway.quarantine.find_status(content, gateway.now())
                        is QuarantineStatus.CLEAR
                    ),
                    2,
                )

        self.run_machines(scenario, count=3)
