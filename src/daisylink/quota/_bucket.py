"""Token buckets whose rate and depth follow the shares that their holder has.

The holder records each change of its shares once, and a tenant's bucket applies the
changes when it is next used. A change therefore costs the same for any number of
tenants, and a tenant that sends nothing needs no bucket.
"""

from collections import deque
from enum import Enum
from itertools import islice
from typing import NamedTuple

from daisylink.quota._limit import Limit

# More than all lenders of a zone make when it is cut off and comes back.
MAX_CHANGES = 256


class Portion(Enum):
    """Portion of a node's share that a holder has."""

    WHOLE = 0
    KEPT = 1
    LENT = 2


class Shares(NamedTuple):
    """Shares of nodes that see the same fleet size.

    :param size: number of nodes that share each quota.
    :param count: number of nodes whose shares these are.
    """

    size: int
    count: int
    portion: Portion

    def find_fraction(self, limit: Limit) -> float:
        """Return the fraction of a quota that these shares are."""
        fraction = self.count / self.size
        if self.portion is Portion.WHOLE:
            return fraction
        if limit.keeps_half(self.size):
            return fraction / 2
        return fraction if self.portion is Portion.LENT else 0.0


class ShareChange(NamedTuple):
    """The shares that a holder has from a moment on.

    :param at: seconds of the holder's clock.
    """

    at: float
    shares: tuple[Shares, ...]

    def find_fraction(self, limit: Limit) -> float:
        """Return the fraction of a quota that the holder has."""
        return sum(shares.find_fraction(limit) for shares in self.shares)


class ShareHistory:
    """The changes of a holder's shares, the latest last.

    :param at: when the holder started, with no shares and empty buckets.
    """

    def __init__(self, at: float):
        self.changes: deque[ShareChange] = deque([ShareChange(at, ())], MAX_CHANGES)
        # Position of the oldest change among all that there have been.
        self.oldest = 0

    @property
    def current(self) -> ShareChange:
        """Return the shares that the holder has now."""
        return self.changes[-1]

    def set_shares(self, shares: tuple[Shares, ...], at: float) -> None:
        """Record the shares that the holder has from a moment on."""
        if shares == self.current.shares:
            return
        if len(self.changes) == MAX_CHANGES:
            self.oldest += 1
        self.changes.append(ShareChange(max(at, self.current.at), shares))

    def find_since(self, position: int) -> tuple[int, list[ShareChange]]:
        """Return the changes from a position on, and the position of the first."""
        position = max(position, self.oldest)
        skipped = position - self.oldest
        if skipped == len(self.changes) - 1:
            return position, [self.changes[-1]]
        return position, list(islice(self.changes, skipped, None))


class Bucket:
    """Tokens of one tenant at one holder."""

    __slots__ = ("at", "position", "tokens")

    def __init__(self):
        self.tokens = 0.0
        self.at = float("-inf")
        self.position = -1

    def settle(self, history: ShareHistory, limit: Limit, now: float) -> None:
        """Add the tokens due until now, and cut them where shares have left.

        A bucket that is older than the history starts empty where that starts.
        """
        position, changes = history.find_since(self.position)
        if position != self.position:
            self.tokens = 0.0
            self.at = changes[0].at
        for index, change in enumerate(changes):
            is_last = index + 1 == len(changes)
            end = now if is_last else changes[index + 1].at
            fraction = change.find_fraction(limit)
            elapsed = max(0.0, end - self.at)
            grown = self.tokens + elapsed * limit.rate * fraction
            self.tokens = min(grown, limit.find_depth(fraction))
            self.at = max(self.at, end)
        self.position = position + len(changes) - 1

    def take(self) -> bool:
        """Take a token; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def is_full(self, history: ShareHistory, limit: Limit, now: float) -> bool:
        """Return whether the bucket, with the tokens due until now, is at its depth."""
        self.settle(history, limit, now)
        return self.tokens >= limit.find_depth(history.current.find_fraction(limit))

    def find_wait(self, history: ShareHistory, limit: Limit) -> float:
        """Return the seconds until there is a token, infinity if there will be none."""
        fraction = history.current.find_fraction(limit)
        if not fraction or limit.find_depth(fraction) < 1:
            return float("inf")
        return max(0.0, 1 - self.tokens) / (limit.rate * fraction)
