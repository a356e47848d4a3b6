"""The end of a process whose circuits components still have something to do."""

import asyncio
import unittest

from daisylink.loop import LoopRunner


class EndTests(unittest.TestCase):
    def test_events_of_components_do_not_cut_the_end_short(self):
        """Seen once in a run of the request matrix: 'Event loop stopped'."""
        ended = []

        async def end_slowly():
            try:
                await asyncio.sleep(60)
            finally:
                await asyncio.sleep(0.05)
                ended.append(True)

        async def leave_work(loop, poller):
            loop.create_task(end_slowly())
            await asyncio.sleep(0)
            for delay in (0.01, 0.02, 0.03):
                loop.call_later(delay, poller.wake)

        main = LoopRunner()
        main.run(leave_work(main.loop, main.application.poller))
        self.assertEqual(ended, [True])
