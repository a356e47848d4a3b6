"""How well the local backend server answers, as the node beside it sees.

It is designed for a server whose checks are good while it rejects or fails many of its
requests. An entry node sends a given server too few requests to notice; the node beside
the server sees them all. While the share of failures is high, as large a share of the
requests that can go elsewhere does. If all servers fail alike, that costs them little.
"""

import math
import random

# Time over which an outcome loses two thirds of its weight.
MEMORY_SECONDS = 2.0
UNWELL_SHARE = 0.3
# Outcomes, by weight, without which nothing is concluded.
MIN_OUTCOMES = 4.0
# The rest shows when a server that fails all requests is well again.
MAX_DECLINED_SHARE = 0.9


class ServerHealth:
    """The recent share of failures of the local backend server.

    :param rng: decides which requests go elsewhere.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.outcomes = 0.0
        self.failures = 0.0
        self.updated_at = 0.0

    def record(self, failed: bool, now: float) -> None:
        """Record how the server answered a request.

        :param failed: whether it rejected the request, failed or did not answer.
        :param now: seconds of the monotonic clock.
        """
        self._age(now)
        self.outcomes += 1
        self.failures += failed

    def is_unwell(self, now: float) -> bool:
        """Return whether many of the recent requests failed."""
        self._age(now)
        if self.outcomes < MIN_OUTCOMES:
            return False
        return self.failures >= self.outcomes * UNWELL_SHARE

    def may_try(self, now: float) -> bool:
        """Return whether a request that could go elsewhere is sent to the server."""
        if not self.is_unwell(now):
            return True
        share = min(MAX_DECLINED_SHARE, self.failures / self.outcomes)
        return self.rng.random() >= share

    def _age(self, now: float) -> None:
        kept = math.exp((self.updated_at - now) / MEMORY_SECONDS)
        self.updated_at = now
        self.outcomes *= kept
        self.failures *= kept
