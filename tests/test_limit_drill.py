"""The drill of limits and leaves counts what its bounds mean, and nothing else."""

import asyncio
import unittest
from types import SimpleNamespace

from bench.limit_drill import LEAVING_HEADER, LIMIT_HEADER, LimitDrill

ENTRY = 3
INSTANCE = "i-1"


class LeavingCountTests(unittest.TestCase):
    def count_after_leaving(self, *told):
        """Return the late requests, one second after another, of a told machine."""

        async def count():
            drill = LimitDrill(1, None, "")
            times = iter(range(1, 11))
            drill.now = lambda: float(next(times))
            for header in told:
                drill.told_at[header, INSTANCE, ENTRY] = 1.0
            ages = [drill.make_arrival(INSTANCE, ENTRY) for _ in range(3)]
            return drill.count_after_leaving(SimpleNamespace(arrivals=ages))

        return asyncio.run(count())

    def test_requests_within_a_limit_are_not_late_after_a_leave(self):
        """Those that came while the server named a limit counted as late."""
        self.assertEqual(self.count_after_leaving(LIMIT_HEADER), 0)

    def test_requests_after_a_leave_are_late(self):
        self.assertGreater(self.count_after_leaving(LEAVING_HEADER), 0)
