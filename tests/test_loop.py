"""Shutdown of a process whose circuits components still fire events."""

import asyncio
import unittest

from daisylink.loop import LoopRunner


class ShutdownTests(unittest.TestCase):
    def test_component_events_do_not_interrupt_the_shutdown(self):
        """Events of components stop the loop while tasks are cancelled.

        The shutdown then failed with 'Event loop stopped'.
        """
        ended = []

        async def finish_slowly():
            try:
                await asyncio.sleep(60)
            finally:
                await asyncio.sleep(0.05)
                ended.append(True)

        async def schedule_events(loop, poller):
            loop.create_task(finish_slowly())
            await asyncio.sleep(0)
            for delay in (0.01, 0.02, 0.03):
                loop.call_later(delay, poller.wake)

        main = LoopRunner()
        main.run(schedule_events(main.loop, main.application.poller))
        self.assertEqual(ended, [True])
