"""Jittered exponential backoff of failed store calls."""

import random
from datetime import timedelta
from typing import NamedTuple

# Doublings after which every delay is at its maximum; further ones would overflow.
MAX_DOUBLINGS = 16


class BackoffSettings(NamedTuple):
    """Delays after failed calls.

    :param base_delay: delay after the first failed call; doubles with each further
        one.
    :param max_delay: longest delay, short enough that a record is back within two
        seconds of the store's return.
    """

    base_delay: timedelta = timedelta(milliseconds=100)
    max_delay: timedelta = timedelta(milliseconds=800)


class Backoff:
    """Counts failures in a row and says when the next call may be made.

    :param rng: source of jitter.
    """

    def __init__(self, settings: BackoffSettings, rng: random.Random):
        self.base_seconds = settings.base_delay.total_seconds()
        self.max_seconds = settings.max_delay.total_seconds()
        self.rng = rng
        self.failures = 0
        self.retry_at = 0.0

    def record_failure(self, now: float) -> None:
        """Delay the next call, by more after each failure in a row.

        :param now: seconds of the monotonic clock.
        """
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        delay = min(self.base_seconds * 2**doublings, self.max_seconds)
        self.retry_at = now + self.rng.uniform(delay / 2, delay)

    def record_success(self) -> None:
        """End the row of failures."""
        self.failures = 0
