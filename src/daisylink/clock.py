"""The clock as an interface, and the system's own clock."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time that is passed in, so that tests and benches drive it."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> float:
        """Return seconds from a fixed, arbitrary start; never goes back."""


class SystemClock:
    """Clock of the machine."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    monotonic = staticmethod(time.monotonic)


class LoopClock:
    """Clock of an event loop, whose time may run at another pace than the machine's.

    :param start: wall-clock time at the loop's zero.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, start: datetime | None = None):
        self.start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self.monotonic = loop.time

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return self.start + timedelta(seconds=self.monotonic())


class ManualClock:
    """Clock that moves only when told to.

    :param start: first wall-clock time.
    """

    def __init__(self, start: datetime | None = None):
        self.wall = start or datetime(2026, 1, 1, tzinfo=UTC)
        self.monotonic_seconds = 0.0

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return self.wall

    def monotonic(self) -> float:
        """Return seconds since the start."""
        return self.monotonic_seconds
