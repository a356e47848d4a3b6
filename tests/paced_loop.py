"""An event loop whose clock advances only while the loop waits for I/O.

Timeouts in tests on real sockets then do not depend on the load of the machine: time
spent running code or taken by other processes does not count. Waiting is also
shortened, by a constant factor.
"""

import asyncio
import selectors
import time

# Seconds of the loop's clock per second of real waiting.
CLOCK_SPEEDUP = 3.0
# Longest single wait, in seconds of the loop's clock, before sockets are polled again.
SLICE_SECONDS = 0.006


class PacedSelector:
    """Selector that waits in short slices and advances the clock by each of them.

    Everything else that asyncio uses is delegated to the default selector.
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

    def pause(self, seconds):
        """Advance the clock as if the process had not run for a while."""
        self.paced.seconds += seconds
