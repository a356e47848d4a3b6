"""A request that crashes servers for one calling service, and is sound for another.

review/13: the answers that one service got to a path cleared the request of another
service that crashed servers, for as long as both were sent.
"""

import asyncio
import unittest
from contextlib import closing
from datetime import timedelta

import msgspec

from daisylink.clock import ManualClock
from daisylink.errors import ResultCode
from daisylink.logs import configure_logging
from daisylink.request import Fingerprint, LostRequest, QuarantineStatus
from daisylink.serving import Quarantine, Strike
from daisylink.serving._suspect_trials import MIN_PAUSE_SECONDS, SuspectTrials
from daisylink.sidecar._strikes import (
    SIDECAR_QUARANTINE_SETTINGS,
    StrikeReporter,
    StrikeReporterSettings,
)
from tests.sidecar_case import Machine, SidecarTestCase
from tests.test_strikes_over_restarts import ReporterFleet
from tests.test_suspect_trials import (
    CRASHES,
    DELAYS,
    MAX_RETRIES,
    NODES,
    POOL,
    Directory,
    make_record,
)

CRASHING = Fingerprint(b"h", b"page", b"dispatch")
SOUND = Fingerprint(b"h", b"page", b"files")
THIRD = Fingerprint(b"h", b"page", b"roster")
PATH = "/x/page"
DOWN_SECONDS = 1.0
LIFETIME_SECONDS = SIDECAR_QUARANTINE_SETTINGS.strike_lifetime.total_seconds()
QUARANTINED = QuarantineStatus.QUARANTINED
# Fields of a strike in records of the release before callers were told apart.
OLD_FIELDS = 7


def as_old_release(strike):
    """Return a strike as a node of the release before sends it."""
    return msgspec.convert(msgspec.to_builtins(strike)[:OLD_FIELDS], Strike)


class CallerTests(unittest.TestCase):
    """Crashes and answers at one node."""

    def setUp(self):
        configure_logging("CRITICAL")
        self.clock = ManualClock()
        self.quarantine = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        self.reporter = self.make_reporter("n0", self.quarantine)

    def make_reporter(self, node, quarantine):
        settings = StrikeReporterSettings()
        return StrikeReporter(settings, node, quarantine, self.clock, lambda: NODES)

    @property
    def now(self):
        return self.clock.monotonic()

    def advance(self, seconds):
        self.clock.monotonic_seconds += seconds
        self.clock.wall_time += timedelta(seconds=seconds)

    def crash(self, *contents):
        self.advance(2.0)
        lost = [LostRequest(content, is_repeat=False) for content in contents]
        self.reporter.record_crash(lost, self.now)

    def answer(self, content):
        self.advance(0.2)
        self.reporter.record_answered(content, self.now)

    def find_status(self, content, quarantine=None):
        return (quarantine or self.quarantine).find_status(content, self.now)

    def test_answers_to_another_service_clear_no_request_that_crashes_servers(self):
        """review/13: 20 crashes in 40 s."""
        for _ in range(CRASHES):
            self.crash(CRASHING)
            self.answer(SOUND)
        self.assertIs(self.find_status(CRASHING), QUARANTINED)
        self.assertIs(self.find_status(SOUND), QuarantineStatus.CLEAR)

    def test_its_own_answer_clears_a_request(self):
        for _ in range(CRASHES - 1):
            self.crash(CRASHING, SOUND)
        self.answer(SOUND)
        self.crash(CRASHING)
        self.assertIs(self.find_status(CRASHING), QUARANTINED)
        self.assertIs(self.find_status(SOUND), QuarantineStatus.SUSPECT)
        self.answer(CRASHING)
        self.assertIs(self.find_status(CRASHING), QuarantineStatus.CLEAR)

    def test_crashes_by_several_services_count_together(self):
        """A request that crashes servers may come again at any machine."""
        for content in (CRASHING, SOUND, THIRD):
            self.crash(content)
        for content in (CRASHING, SOUND, THIRD):
            self.assertIs(self.find_status(content), QUARANTINED)

    def test_callers_in_flight_at_one_crash_do_not_count_twice(self):
        self.crash(CRASHING, SOUND, THIRD)
        self.assertIs(self.find_status(CRASHING), QuarantineStatus.SUSPECT)

    def test_readers_of_the_record_learn_both(self):
        """Also a node that starts after the other service was answered."""
        for _ in range(CRASHES):
            self.crash(CRASHING)
        reader = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        reading = self.make_reporter("n1", reader)
        for is_answered in (False, True):
            if is_answered:
                self.answer(SOUND)
            strikes = self.reporter.list_current(self.now)
            for is_starting in (False, True):
                reading.handle_record("n0", strikes, self.now, is_starting)
            self.assertIs(self.find_status(CRASHING, reader), QUARANTINED)
        self.assertIs(self.find_status(SOUND, reader), QuarantineStatus.CLEAR)

    def test_an_answer_elsewhere_changes_this_nodes_record(self):
        """Its strikes would refuse the other service at a node that starts later."""
        for _ in range(CRASHES):
            self.crash(CRASHING)
        reader = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        reading = self.make_reporter("n1", reader)
        strikes = self.reporter.list_current(self.now)
        reading.handle_record("n0", strikes, self.now, is_starting=False)
        reading.record_answered(SOUND, self.now)
        answered = reading.list_current(self.now)
        self.assertTrue(self.reporter.handle_record("n1", answered, self.now, False))
        for strike in self.reporter.list_current(self.now):
            self.assertTrue(strike.is_caller_bound)
        self.assertIs(self.find_status(CRASHING), QUARANTINED)

    def test_a_strike_learned_from_an_answer_lasts_no_longer(self):
        """Its node may be gone by then, so that only the answer names it."""
        self.crash(CRASHING)
        self.advance(LIFETIME_SECONDS - 5.0)
        del self.reporter.reported[next(iter(self.reporter.reported))]
        self.answer(SOUND)
        reader = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        reading = self.make_reporter("n1", reader)
        strikes = self.reporter.list_current(self.now)
        reading.handle_record("n0", strikes, self.now, is_starting=False)
        self.assertIs(self.find_status(CRASHING, reader), QuarantineStatus.SUSPECT)
        self.advance(6.0)
        self.assertIs(self.find_status(CRASHING, reader), QuarantineStatus.CLEAR)

    def test_a_node_of_the_release_before_is_understood(self):
        """Its strikes count against each caller, its pardons for each."""
        for number in range(CRASHES):
            strike = as_old_release(Strike.from_fingerprint(CRASHING, f"c{number}"))
            self.advance(2.0)
            self.quarantine.merge_strikes((strike,), self.now)
        self.assertIs(self.find_status(SOUND), QUARANTINED)
        self.answer(SOUND)
        self.assertIs(self.find_status(SOUND), QuarantineStatus.CLEAR)
        self.crash(CRASHING)
        (strike,) = [s for s in self.reporter.list_current(self.now) if not s.pardoned]
        pardon = msgspec.structs.replace(as_old_release(strike), pardoned=True)
        self.quarantine.merge_strikes((pardon,), self.now)
        self.assertIs(self.find_status(CRASHING), QuarantineStatus.CLEAR)


class RestartTests(unittest.TestCase):
    def test_restarts_in_turn_keep_the_callers_apart(self):
        configure_logging("CRITICAL")
        fleet = ReporterFleet()
        nodes = list(fleet.reporters)
        for node in nodes[:CRASHES]:
            lost = [LostRequest(CRASHING, is_repeat=False)]
            fleet.reporters[node].record_crash(lost, fleet.now)
            fleet.advance(2.0)
        fleet.reporters[nodes[-1]].record_answered(SOUND, fleet.now)
        fleet.advance(0.1)
        for node in nodes * 2:
            fleet.restart(node)
            fleet.advance(4.0)
        for reporter in fleet.reporters.values():
            find_status = reporter.quarantine.find_status
            self.assertIs(find_status(CRASHING, fleet.now), QUARANTINED)
            self.assertIs(find_status(SOUND, fleet.now), QuarantineStatus.CLEAR)


class OtherCallerTrialTests(unittest.TestCase):
    """A service whose request has crashed no server is not refused for long."""

    def setUp(self):
        self.quarantine = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
        records = {name: make_record(name) for name in NODES}
        self.trials = [
            SuspectTrials(self.quarantine, Directory(records[node], records))
            for node in NODES
        ]
        self.now = 0.0
        for _ in range(CRASHES):
            self.crash(CRASHING)

    def crash(self, content):
        self.now += 2.0
        strike = Strike.from_fingerprint(content, f"at {self.now}", is_repeat=True)
        self.quarantine.merge_strikes((strike,), self.now)

    def try_once(self, content):
        """Return how many nodes try a request now; its servers crash."""
        triers = sum(t.begin(content, POOL, self.now) for t in self.trials)
        if triers:
            self.quarantine.end(content)
            self.crash(content)
        return triers

    def test_its_first_request_is_tried_at_once_by_one_node(self):
        """It was refused for 30 s, if it had not been answered meanwhile."""
        self.now += 0.1
        self.assertEqual(sum(t.begin(SOUND, POOL, self.now) for t in self.trials), 1)
        self.assertFalse(any(t.begin(SOUND, POOL, self.now) for t in self.trials))
        self.assertFalse(any(t.begin(CRASHING, POOL, self.now) for t in self.trials))
        self.quarantine.end(SOUND)
        self.quarantine.merge_strikes(self.quarantine.make_pardons(SOUND), self.now)
        for content in (SOUND, THIRD):
            status = self.quarantine.find_status(content, self.now)
            self.assertIs(status, QuarantineStatus.CLEAR)
        self.assertIs(self.quarantine.find_status(CRASHING, self.now), QUARANTINED)

    def test_one_that_crashes_servers_for_all_is_tried_less_often_than_allowed(self):
        tried = 0
        while self.now < 500.0:
            self.now += 1.0
            tried += sum(self.try_once(item) for item in (SOUND, THIRD, CRASHING))
        self.assertLessEqual(tried, MAX_RETRIES)

    def test_each_caller_of_a_sound_page_is_tried_without_a_pause(self):
        """The pause after one caller's trial refused the next one's."""
        self.quarantine.strikes.clear()
        callers = (CRASHING, SOUND, THIRD)
        for number in range(CRASHES):
            for content in callers:
                strike = Strike.from_fingerprint(content, f"all {number}")
                self.quarantine.merge_strikes((strike,), self.now)
            self.now += 2.0
        self.now += DELAYS[0]
        for content in callers:
            self.now += MIN_PAUSE_SECONDS / 50
            triers = [t for t in self.trials if t.begin(content, POOL, self.now)]
            self.assertEqual(len(triers), 1)
            self.quarantine.end(content)
            pardons = self.quarantine.make_pardons(content)
            self.quarantine.merge_strikes(pardons, self.now)
            triers[0].record_answered(content)
            status = self.quarantine.find_status(content, self.now)
            self.assertIs(status, QuarantineStatus.CLEAR)


class CallingServiceTests(SidecarTestCase):
    """Fleets of which two services call a third one."""

    async def start_caller(self, store, number, pool):
        machine = Machine(store, number, pool=pool)
        await machine.start()
        await self.wait_for(lambda: machine.sidecar.is_ready)
        await machine.send_heartbeat()
        return machine

    async def revive(self, machines, addresses):
        """Start the backend servers that have crashed again."""
        await asyncio.sleep(DOWN_SECONDS)
        for machine, address in zip(machines, addresses, strict=True):
            if not machine.server.server.is_serving():
                await machine.server.start(int(address.rpartition(":")[2]))
            await machine.send_heartbeat()
        await asyncio.sleep(DOWN_SECONDS)

    def test_a_service_is_served_while_anothers_request_is_contained(self):
        async def scenario(store, *machines):
            with closing(await self.start_caller(store, 8, "two")) as caller:
                await play(caller, machines)

        async def play(caller, machines):
            addresses = [machine.server.address for machine in machines]
            for machine in machines:
                machine.server.crash_path = PATH
                machine.server.crash_caller = "two"
            for number in range(CRASHES + 2):
                await caller.request(f"c{number}", path=PATH)
                await self.revive(machines, addresses)
                for machine in machines:
                    name = f"s{number}-{machine.number}"
                    response = await machine.request(name, path=PATH)
                    self.assertEqual(response.status, 200)
            response = await caller.request("last", path=PATH)
            self.assertEqual(response.code, ResultCode.REQUEST_QUARANTINED)
            runs = [name for m in machines for name in m.server.runs if name[0] == "c"]
            self.assertLessEqual(len(runs), CRASHES + 1)

        self.run_machines(scenario, count=3)

    def test_a_request_that_crashes_servers_for_every_service_is_contained(self):
        """Each service had three crashes of its own if callers were only told apart."""

        async def scenario(store, *machines):
            with closing(await self.start_caller(store, 8, "two")) as caller:
                await play([caller, machines[0]], machines)

        async def play(callers, machines):
            addresses = [machine.server.address for machine in machines]
            for machine in machines:
                machine.server.crash_path = PATH
            for number in range(CRASHES + 3):
                caller = callers[number % len(callers)]
                await caller.request(f"c{number}", path=PATH)
                await self.revive(machines, addresses)
            runs = [name for machine in machines for name in machine.server.runs]
            self.assertLessEqual(len(runs), CRASHES + 1)
            for caller in callers:
                response = await caller.request(f"l{caller.number}", path=PATH)
                self.assertEqual(response.code, ResultCode.REQUEST_QUARANTINED)

        self.run_machines(scenario, count=3)
