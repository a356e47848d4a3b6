"""A fixed run of the state machine that drives a node's connections."""

import unittest

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.connection_machine import SETTINGS, ConnectionMachine

EXAMPLES = 100
STEPS = 40


class ConnectionMachineTests(unittest.TestCase):
    def test_callers_and_servers_get_what_they_are_owed(self):
        """Guards against the kind of review/1 and review/4: divided, endless bytes."""
        profile = settings(
            SETTINGS,
            derandomize=True,
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
        )
        run_state_machine_as_test(ConnectionMachine, settings=profile)
