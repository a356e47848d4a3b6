"""Clock interface and its implementations."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

# Elsewhere than on Linux, the monotonic clock may count suspended time or not.
BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of time, passed in so that tests and benchmarks can control it."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary, fixed point; never decreases."""

    def boot(self) -> float:
        """Return the same, counting the time for which the machine was suspended."""


class SystemClock:
    """The machine's clock."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    monotonic = staticmethod(time.monotonic)

    @staticmethod
    def boot() -> float:
        """Return seconds since an arbitrary point, suspended time included."""
        return time.clock_gettime(BOOT_CLOCK)


class LoopClock:
    """Clock of an event loop, whose time may run faster or slower than real time.

    :param start: wall-clock time when the loop's time is 0.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, start: datetime | None = None):
        self.start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self.monotonic = loop.time
        self.boot = loop.time

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return self.start + timedelta(seconds=self.monotonic())


class ManualClock:
    """Clock that advances only when its attributes are set.

    :param start: initial wall-clock time.
    """

    def __init__(self, start: datetime | None = None):
        self.wall_time = start or datetime(2026, 1, 1, tzinfo=UTC)
        self.monotonic_seconds = 0.0

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return self.wall_time

    def monotonic(self) -> float:
        """Return seconds since the start."""
        return self.monotonic_seconds

    boot = monotonic
