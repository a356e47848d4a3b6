"""Expected service times where the usual one is unknown or too short to rely on."""

# Part of the time left to its objective that a request of an unknown kind is expected
# to take, so that a process that has just started does not queue all that comes.
UNKNOWN_TIME_SHARE = 0.4
# Margin for service times above the usual one, as a share of it; without a margin half
# of the requests that wait as long as they may end after their objective.
MARGIN_SHARE = 0.5
# The most that the margin takes of the time that a request could wait.
MAX_MARGIN_SHARE = 0.25


def find_start_margin(seconds: float, seconds_left: float) -> float:
    """Return the seconds by which a request should start early to be in time.

    :param seconds: expected service time.
    :param seconds_left: time left to the objective.
    """
    room = max(0.0, seconds_left - seconds)
    return min(seconds * MARGIN_SHARE, room * MAX_MARGIN_SHARE)


def assume_service_time(seconds_left: float) -> float:
    """Return the seconds to assume for a kind of which no service time is known.

    :param seconds_left: time left to the objective, infinity without one.
    """
    if seconds_left == float("inf"):
        return 0.0
    return max(0.0, seconds_left) * UNKNOWN_TIME_SHARE
