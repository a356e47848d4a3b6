"""Rate limit for large pull replies.

It keeps many nodes that return at once from overloading a single node.
"""

import random
from collections import deque
from datetime import timedelta
from typing import NamedTuple

MAX_ALTERNATES = 3
MAX_SERVED = 64
MS_PER_SECOND = 1000


class SnapshotLimitSettings(NamedTuple):
    """Limits on the large replies of a node.

    :param per_second: large replies per second.
    :param burst: large replies in a burst.
    :param retry_delay: mean delay after which a refused node asks again.
    """

    per_second: float = 20.0
    burst: int = 8
    retry_delay: timedelta = timedelta(milliseconds=300)


class SnapshotLimiter:
    """A token bucket for large replies, and the nodes that were served last."""

    def __init__(self, settings: SnapshotLimitSettings, rng: random.Random):
        self.per_second = settings.per_second
        self.burst = settings.burst
        self.retry_ms = settings.retry_delay.total_seconds() * MS_PER_SECOND
        self.rng = rng
        self.tokens = float(settings.burst)
        self.filled_at = 0.0
        self.served: deque[str] = deque(maxlen=MAX_SERVED)

    def admit(self, node: str, now: float) -> bool:
        """Consume a token for a node; return whether one was available."""
        added = (now - self.filled_at) * self.per_second
        self.tokens = min(float(self.burst), self.tokens + added)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.served.append(node)
        return True

    def retry_after_ms(self) -> int:
        """Return a random delay in ms after which a refused node may ask again."""
        return round(self.rng.uniform(0.5, 1.5) * self.retry_ms)

    def alternates(self, node: str) -> tuple[str, ...]:
        """Return recently served nodes, which a refused node can ask instead."""
        others = [served for served in self.served if served != node]
        return tuple(self.rng.sample(others, min(MAX_ALTERNATES, len(others))))
