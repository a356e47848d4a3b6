"""Divides the fleet's retry budget of a service among its nodes.

The platform bounds the retries of all nodes together, in each window, by a share of the
requests plus a fixed number. Nodes do not agree on who retries; each keeps to a share
that it derives from the number of members. Designed for the loss of many responses at
once, at fleets so large that a share of the fixed number is less than one retry.
"""

from datetime import timedelta
from typing import NamedTuple

# Share of the fleet's retries that the nodes may use; the rest covers calls caused by
# retried requests, which count as retries too.
USED_SHARE = 0.7
# A node saves up this part of its share and earns the rest over a window.
SAVED_SHARE = 0.5
# A bucket that holds less than one token never allows a retry.
MIN_BURST = 1.0


class RetryBounds(NamedTuple):
    """Bounds on the retries of a service by all nodes together.

    :param ratio: retries for each request.
    :param slack: retries in a window beyond those.
    :param window: length of the window.
    """

    ratio: float
    slack: float
    window: timedelta


class RetryBudgetSettings(NamedTuple):
    """Bounds of the retries of one service at one node.

    :param ratio: tokens added by each first attempt.
    :param burst: capacity of the token bucket.
    :param per_second: tokens added each second.
    """

    ratio: float = 0.2
    burst: float = 10.0
    per_second: float = 0.0


def divide_retry_budget(bounds: RetryBounds, members: int) -> RetryBudgetSettings:
    """Return a node's share of the fleet's retry budget.

    What the nodes save and what they earn in a window stay within the fixed number,
    unless there are more nodes than that: then each may save a single retry, earned by
    its own requests.

    :param members: number of known members, this node included.
    """
    share = USED_SHARE * bounds.slack / members
    burst = max(MIN_BURST, SAVED_SHARE * share)
    earned = max(0.0, share - burst)
    return RetryBudgetSettings(
        bounds.ratio * USED_SHARE, burst, earned / bounds.window.total_seconds()
    )
