"""Which share of the local server's slots each group of requests had of late.

It is designed for minutes of overload in which the requests that earn most would take
every slot: a group that waits is due for a small share of the slots' time all the same,
so that its callers see some service and its service time stays known.
"""

import math
from collections.abc import Hashable

# Seconds over which shares are averaged.
AVERAGING_SECONDS = 3.0
# Share of the slots' time that is kept for groups that wait, and the most for one.
GUARANTEED_SHARE = 0.2
MAX_GROUP_SHARE = 0.05
MAX_GROUPS = 2000


class SlotShares:
    """Slot time by group, exponentially averaged."""

    def __init__(self):
        self.used: dict[Hashable, tuple[float, float]] = {}

    def charge(self, group: Hashable, seconds: float, now: float) -> None:
        """Count a slot that a group has taken for some seconds.

        :param now: seconds of the monotonic clock.
        """
        if len(self.used) >= MAX_GROUPS and group not in self.used:
            self._forget_idle(now)
        self.used[group] = (self._get_seconds(group, now) + seconds, now)

    def count_slots(self, group: Hashable, now: float) -> float:
        """Return the number of slots that a group has had on average of late."""
        return self._get_seconds(group, now) / AVERAGING_SECONDS

    def is_due(self, group: Hashable, slots: int, waiting: int, now: float) -> bool:
        """Return whether a waiting group has had less than it is guaranteed.

        :param slots: slots of the server.
        :param waiting: number of groups that wait.
        """
        share = min(MAX_GROUP_SHARE, GUARANTEED_SHARE / max(1, waiting))
        return self.count_slots(group, now) < share * slots

    def _get_seconds(self, group: Hashable, now: float) -> float:
        seconds, at = self.used.get(group, (0.0, now))
        return seconds * math.exp((at - now) / AVERAGING_SECONDS)

    def _forget_idle(self, now: float) -> None:
        """Forget the groups that had no slot lately, or all if there are none."""
        oldest = now - 2 * AVERAGING_SECONDS
        self.used = {
            group: item for group, item in self.used.items() if item[1] > oldest
        }
        if len(self.used) >= MAX_GROUPS:
            self.used.clear()
