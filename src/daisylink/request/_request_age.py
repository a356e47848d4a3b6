"""Estimates how long ago a request was first sent, from the time limit it states.

It is designed for overload in which every refused request returns once. A caller's
limit is often longer than the route's ``timeout``, so the time that a retry has lost
does not show against the timeout. It shows against the limit that callers state on a
first attempt, which is learned here for each route.

A first attempt states the same limit each time, while retries state whatever is left.
Limits are therefore counted in slots of time, each of which has one vote: a limit
counts as one of first attempts only while it stands out in many slots. A burst of
callers with short limits, or of retries that all state half of their limit, fills a few
slots only.
"""

from collections import Counter, deque

# Limits that differ by less are the same: callers round, and connecting takes time.
LIMIT_STEP_MS = 50
# A slot ends when it is this old and has enough requests, or at the longest age.
SLOT_SECONDS = 1.0
MAX_SLOT_SECONDS = 10.0
MIN_SLOT_REQUESTS = 10
# Slots remembered: two minutes or more, many times as long as an overload.
MAX_SLOTS = 120
MIN_SLOTS = 3
# Share of a slot's requests that a limit needs to stand out there. Half of the requests
# are retries at worst, and their limits are spread.
STANDS_OUT_SHARE = 0.2
# Share of the slots in which the longest limit stands out. Bursts of callers with short
# limits can hide it for most of the slots.
LONGEST_SHARE = 0.1
# The same for a shorter limit: retries concentrate on a shorter one during overload.
SHORTER_SHARE = 0.5
MAX_LIMITS = 64
MAX_ROUTES = 1000


class _RouteLimits:
    """Limits that the callers of one route state.

    :param now: seconds of the monotonic clock.
    """

    __slots__ = ("began_at", "counts", "first_limits", "slots", "total", "votes")

    def __init__(self, now: float):
        self.began_at = now
        self.total = 0
        self.counts: Counter[int] = Counter()
        self.slots: deque[tuple[int, ...]] = deque()
        self.votes: Counter[int] = Counter()
        # Limits of first attempts in steps, in ascending order.
        self.first_limits: tuple[int, ...] = ()

    def record(self, limit: int, now: float) -> None:
        """Count a request that states a limit, in steps."""
        age = now - self.began_at
        is_full = self.total >= MIN_SLOT_REQUESTS and age >= SLOT_SECONDS
        if is_full or age >= MAX_SLOT_SECONDS:
            self._end_slot(now)
        self.total += 1
        if limit in self.counts or len(self.counts) < MAX_LIMITS:
            self.counts[limit] += 1

    def _end_slot(self, now: float) -> None:
        least = max(2, self.total * STANDS_OUT_SHARE)
        found = tuple(item for item, count in self.counts.items() if count >= least)
        if found:
            self.slots.append(found)
            self.votes.update(found)
        if len(self.slots) > MAX_SLOTS:
            self.votes.subtract(self.slots.popleft())
            self.votes = +self.votes
        self.first_limits = self._find_first_limits()
        self.counts.clear()
        self.total = 0
        self.began_at = now

    def _find_first_limits(self) -> tuple[int, ...]:
        slots = len(self.slots)
        if slots < MIN_SLOTS:
            return ()
        least = max(2, slots * LONGEST_SHARE)
        known = [item for item, votes in self.votes.items() if votes >= least]
        longest = max(known, default=0)
        return tuple(
            sorted(
                item
                for item in known
                if item == longest or self.votes[item] >= slots * SHORTER_SHARE
            )
        )


class AgeEstimator:
    """Estimates the age of requests by the limits that they state."""

    def __init__(self):
        self.routes: dict[str, _RouteLimits] = {}

    def estimate_ms(
        self, route: str, timeout_ms: int, stated_ms: int | None, now: float
    ) -> int:
        """Return the estimated age of a request in milliseconds, and learn from it.

        :param route: name of the request's route.
        :param timeout_ms: the route's timeout: the limit to assume as long as that of
            first attempts is unknown.
        :param stated_ms: time that the caller has left, None if it states none.
        :param now: seconds of the monotonic clock.
        """
        if stated_ms is None:
            return 0
        limits = self.routes.get(route)
        if limits is None:
            if len(self.routes) >= MAX_ROUTES:
                self.routes.clear()
            limits = self.routes[route] = _RouteLimits(now)
        limit = round(stated_ms / LIMIT_STEP_MS)
        limits.record(limit, now)
        if not limits.first_limits:
            return max(0, timeout_ms - stated_ms)
        # The shortest limit that the request can have begun with: in doubt it is young.
        for first in limits.first_limits:
            if first == limit:
                return 0
            if first > limit:
                return first * LIMIT_STEP_MS - stated_ms
        return 0
