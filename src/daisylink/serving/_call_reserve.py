"""Keeps slots free of long requests for the calls that other requests wait for.

It is designed for a burst of long requests at a server that short calls share. Going
first in the queue is not enough there: a call that arrives while long requests hold
every slot waits until one of them ends, and its parent holds a slot elsewhere for that
time. Nothing is reserved at a server that has no calls.
"""

from collections import Counter
from collections.abc import Callable

from daisylink.serving._slot_shares import SlotShares

# A request is long if it takes so many times as long as the calls.
LONG_FACTOR = 4.0
# Calls that use fewer slots on average have nothing reserved.
MIN_CALL_SLOTS = 0.1


class CallReserve:
    """Decides whether a request may take a free slot.

    :param get_service_time: returns the usual service time of a kind in seconds.
    """

    def __init__(self, get_service_time: Callable[[str], float]):
        self.get_service_time = get_service_time
        self.running: Counter[str] = Counter()
        self.calls = SlotShares()

    def begin(self, kind: str, is_call: bool, seconds: float, now: float) -> None:
        """Count a request that takes a slot.

        :param seconds: expected service time.
        :param now: seconds of the monotonic clock.
        """
        self.running[kind] += 1
        if is_call:
            self.calls.charge(kind, seconds, now)

    def end(self, kind: str) -> None:
        """Count a request that releases its slot."""
        self.running[kind] -= 1
        if self.running[kind] <= 0:
            del self.running[kind]

    def may_start(self, kind: str, is_call: bool, slots: int, now: float) -> bool:
        """Return whether a request may take a free slot.

        :param slots: slots of the server.
        :param now: seconds of the monotonic clock.
        """
        if is_call or slots <= 1 or not self.calls.used:
            return True
        in_use = {item: self.calls.count_slots(item, now) for item in self.calls.used}
        used = sum(in_use.values())
        if used < MIN_CALL_SLOTS:
            return True
        usual = sum(self.get_service_time(item) * in_use[item] for item in in_use)
        least = LONG_FACTOR * usual / used
        if self.get_service_time(kind) < least:
            return True
        long_requests = sum(
            count
            for item, count in self.running.items()
            if self.get_service_time(item) >= least
        )
        reserved = min(slots - 1, max(1, round(used)))
        return long_requests < slots - reserved
