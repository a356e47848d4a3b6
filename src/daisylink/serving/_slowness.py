"""How slow a backend server's machine is at this moment, from the server's responses.

It is designed for machines that take 2.5 times as long for about 0.6 s, 15 in 100 of
them at any moment. A service time that was measured in such a moment says little about
the server afterwards, and the usual one says little about the next half second. So the
two are kept apart: service times are divided by the slowness during the run, and an
expected time is multiplied by the present one.
"""

from collections import deque
from itertools import chain

# A figure that is older says nothing about the present.
SLOWNESS_LIFETIME_SECONDS = 0.3
# How much longer a machine is expected to stay as slow as it is: a slow moment takes
# about 0.6 s and is noticed within it.
SLOWNESS_LASTS_SECONDS = 0.4
# Figures that are closer together count as one, so that few are kept for a busy server.
SAMPLE_SPACING_SECONDS = 0.025
# Enough for the runs of the last second.
MAX_SAMPLES = 40
USUAL = 1.0


def expect_seconds(seconds: float, slowness: float) -> float:
    """Return how long work takes on a machine that is slowed at this moment.

    :param seconds: how long it usually takes there.
    :param slowness: present slowness of the machine, 1 as usual.
    """
    if slowness <= USUAL:
        return seconds * slowness
    excess = SLOWNESS_LASTS_SECONDS * (1 - USUAL / slowness)
    return min(seconds * slowness, seconds + excess)


class Slowness:
    """The recent slowness of one machine."""

    def __init__(self):
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self.last = USUAL
        self.at = float("-inf")

    def record(self, slowness: float, now: float) -> None:
        """Record a figure of the server.

        :param slowness: how long work takes, relative to the usual time.
        :param now: seconds of the monotonic clock.
        """
        self.last = slowness
        self.at = now
        samples = self.samples
        if not samples or now - samples[-1][0] >= SAMPLE_SPACING_SECONDS:
            samples.append((now, slowness))

    def is_known(self, now: float) -> bool:
        """Return whether the last figure still counts."""
        return now - self.at <= SLOWNESS_LIFETIME_SECONDS

    def get(self, now: float) -> float:
        """Return the present slowness, 1 if it is unknown."""
        return self.last if self.is_known(now) else USUAL

    def expect_seconds(self, seconds: float, now: float) -> float:
        """Return how long work takes that usually takes some seconds."""
        return expect_seconds(seconds, self.get(now))

    def average(self, since: float, now: float) -> float:
        """Return the mean slowness in a time that ends now, 1 where it is unknown.

        A figure counts for the time since the one before, within its lifetime, and the
        last one for the time after it.
        """
        seconds = now - since
        if seconds <= 0 or not self.samples or self.at < since:
            return USUAL
        end = min(now, self.at + SLOWNESS_LIFETIME_SECONDS)
        excess = (end - self.at) * (self.last - USUAL)
        later_at, later = self.at, self.last
        # Before the first figure the slowness is unknown.
        earlier = chain(reversed(self.samples), [(float("-inf"), USUAL)])
        for at, slowness in earlier:
            begin = max(since, at, later_at - SLOWNESS_LIFETIME_SECONDS)
            excess += max(0.0, later_at - begin) * (later - USUAL)
            later_at, later = at, slowness
            if at <= since:
                break
        return USUAL + excess / seconds
