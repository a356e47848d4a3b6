"""The conditions under which the controller of rollouts writes a step."""

import asyncio
import random
import unittest

from daisylink import platform
from daisylink.logs import configure_logging
from daisylink.registry import StoreRevision
from daisylink.rollout import CONTROLLER_KEY, RolloutOrder, RolloutTable, ServerView
from daisylink.sidecar._platform_adapter import RolloutFormats
from daisylink.sidecar._rollout_controller import FleetView, RolloutController

FORMATS = RolloutFormats(
    platform.ORDER_PREFIX,
    platform.decode_order,
    platform.status_key,
    platform.encode_status,
)


class RecordingStore:
    def __init__(self):
        self.conditions = []

    async def transact(self, conditions, puts):
        self.conditions.append(conditions)
        return StoreRevision(0, 9)


class ConditionTests(unittest.TestCase):
    def test_a_takeover_before_the_write_does_not_give_it_the_new_key(self):
        """A step decided under one key landed under that of a later controller."""
        configure_logging("CRITICAL")
        store = RecordingStore()
        writes = []
        fleet = FleetView(
            lambda _service: [ServerView("n", "v1", 4, True)],
            lambda _service: True,
            lambda: 7,
        )
        controller = RolloutController(
            "n",
            store,
            FORMATS,
            RolloutTable(random.Random(1)),
            fleet,
            lambda: 0.0,
            writes.append,
            lambda _service, _state: None,
        )
        controller.handle_key(b"n 7", StoreRevision(0, 1))
        controller.handle_order("one", RolloutOrder("one", "v2", 12.0, 5))
        controller.tick(0)
        controller.handle_key(b"other 8", StoreRevision(0, 2))
        (write,) = writes
        asyncio.run(write)
        self.assertEqual(store.conditions[0][CONTROLLER_KEY], StoreRevision(0, 1))
