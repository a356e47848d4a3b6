"""An event loop whose clock runs only while the process waits.

Tests on real sockets get the same verdict on a busy machine as on an idle one: time
that other processes take does not count, and waiting costs a fraction of its time.
"""

import asyncio
import selectors
import time

# Seconds of the loop's clock for one second of waiting.
CLOCK_SPEEDUP = 3.0
# Longest wait, in seconds of the loop's clock, before the sockets are looked at again.
SLICE_SECONDS = 0.006


class PacedSelector:
    """Waits in slices, and moves the loop's clock by what was waited.

    Only asyncio's own selector methods are used, so the rest passes through.
    """

    def __init__(self):
        self.default_selector = selectors.DefaultSelector()
        self.seconds = 0.0

    def __getattr__(self, name):
        return getattr(self.default_selector, name)

    def select(self, timeout=None):
        if timeout is not None and timeout <= 0:
            return self.default_selector.select(0)
        slice_seconds = (
            SLICE_SECONDS if timeout is None else min(timeout, SLICE_SECONDS)
        )
        started = time.monotonic()
        events = self.default_selector.select(slice_seconds / CLOCK_SPEEDUP)
        waited = (time.monotonic() - started) * CLOCK_SPEEDUP
        self.seconds += min(slice_seconds, waited) if events else slice_seconds
        return events


class PacedLoop(asyncio.SelectorEventLoop):
    """An event loop on a :class:`PacedSelector`."""

    def __init__(self):
        self.paced = PacedSelector()
        super().__init__(self.paced)

    def time(self):
        return self.paced.seconds
