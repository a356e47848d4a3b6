"""A fixed run of the state machine that drives a node's connections."""

import unittest

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.connection_machine import SETTINGS, ConnectionMachine

EXAMPLES = 100
STEPS = 40
# Bytes of an upload of 20,000 bytes and half of the head behind it.
READ_BYTES_TO_SECOND_HEAD = 20_140


class ConnectionMachineTests(unittest.TestCase):
    def test_callers_and_servers_get_what_they_are_owed(self):
        """Guards against the kinds of review/1, 4, 6 and 7, and invalid statuses.

        Bytes are divided and endless, answers spoiled, invalid, late and repeated.
        """
        profile = settings(
            SETTINGS,
            derandomize=True,
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
        )
        run_state_machine_as_test(ConnectionMachine, settings=profile)


class FirstItem:
    """Takes the place of drawn data: the same item of each list."""

    def __init__(self, index=0):
        self.index = index

    def draw(self, _strategy):
        return self.index


class KeptExampleTests(unittest.TestCase):
    """Counterexamples that the machine has found, with their causes."""

    def setUp(self):
        self.machine = ConnectionMachine()
        self.machine.start()
        self.addCleanup(self.machine.teardown)

    def check(self):
        self.machine.answers_are_whole_and_in_order()
        self.machine.requests_arrive_unchanged()
        self.machine.requests_end_in_time()
        self.machine.held_bytes_are_bounded()

    def pass_time(self, *acts):
        for act in acts:
            self.machine.pass_time(act)
            self.check()

    def send(self, count, size=0, reads=(300_000,)):
        self.machine.send_requests(FirstItem(), count, False, size, False, reads)
        self.check()

    def test_a_read_that_ends_within_a_second_head(self):
        """All bytes of the read counted as that head's: no request had an end."""
        self.send(2, size=20_000, reads=(READ_BYTES_TO_SECOND_HEAD, 300_000))
        self.pass_time(1.0, 0.3, 0.3)

    def test_what_cannot_be_read_behind_a_whole_request(self):
        """Refusing the rest forgot to start the request in front."""
        self.machine.disturb_as_caller(FirstItem(), "no request")
        self.pass_time(1.0, 0.3, 0.3)

    def test_a_response_without_end_behind_another(self):
        """It was read without bound until its turn came."""
        self.send(2)
        for _ in range(4):
            self.machine.begin_long_answer(FirstItem(1), 200)
            self.check()

    def test_a_version_that_comes_into_force_beside_requests(self):
        self.send(12, size=3000)
        self.pass_time("reload", 0.02)
        self.machine.answer(FirstItem(), False)
        self.pass_time("reload", 1.0, 0.3, 0.3)
