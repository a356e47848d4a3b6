"""When a refused caller should return.

It is designed for overload in which thousands of callers are refused within a second.
If all of them were told the same time, they would return at once; if the time were
long, they would return when the objective is missed.
"""

import random

from daisylink.request._plan import RequestPlan

MS_PER_SECOND = 1000
MIN_RETRY_MS = 20
# Uniform around the moment at which capacity is expected, from and to these factors.
SPREAD = (0.6, 1.4)
# Share of the time left to the objective, and to the deadline once the objective cannot
# be met, after which a retry is too late to be served.
OBJECTIVE_SHARE = 0.5
DEADLINE_SHARE = 0.25


def choose_retry_ms(
    expected_ms: int, plan: RequestPlan, now: float, rng: random.Random
) -> int:
    """Return the milliseconds after which a refused request should return.

    :param expected_ms: when capacity is expected, 0 if unknown.
    :param now: seconds of the monotonic clock.
    :param rng: spreads the callers.
    """
    deadline_ms = max(0.0, plan.deadline - now) * MS_PER_SECOND
    slo_ms = max(0.0, plan.slo_deadline - now) * MS_PER_SECOND
    latest = min(slo_ms * OBJECTIVE_SHARE, deadline_ms * DEADLINE_SHARE)
    if latest < MIN_RETRY_MS:
        latest = deadline_ms * DEADLINE_SHARE
    # A service whose capacity is unknown is asked again in the middle of that time.
    middle = min(expected_ms or latest, latest / SPREAD[1])
    return max(MIN_RETRY_MS, round(middle * rng.uniform(*SPREAD)))
