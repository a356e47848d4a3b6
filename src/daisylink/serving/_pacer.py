"""Spaces the requests to a backend server that names the rate that it takes.

It is designed for a server in trouble, whose rate may be far below what its slots allow
and may change with each response. Whatever reaches the server takes a turn.
"""

# Turns that nobody took in this time may follow one another at once.
BURST_SECONDS = 0.25
# A server that takes nothing still gets a request now and then: otherwise no response
# could tell that it takes more.
MIN_RATE = 0.5


class Pacer:
    """Turns at the rate of a backend server.

    :ivar rate: turns a second, None without a limit.
    """

    def __init__(self):
        self.rate: float | None = None
        # When the next turn would be if each was taken at its time.
        self.due_at = float("-inf")

    @property
    def is_limited(self) -> bool:
        """Return whether the rate is limited."""
        return self.rate is not None

    @property
    def turn_at(self) -> float:
        """Return when the next turn can be taken, in seconds of the monotonic clock."""
        return self.due_at - BURST_SECONDS if self.is_limited else float("-inf")

    def set_rate(self, rate: float | None, now: float) -> None:
        """Limit the rate, or end the limit.

        The first turn under a new limit is a whole interval away.

        :param rate: turns a second, None for no limit.
        :param now: seconds of the monotonic clock.
        """
        if rate is None:
            self.rate = None
            return
        was_limited = self.is_limited
        self.rate = max(rate, MIN_RATE)
        first_due = now + 1 / self.rate + BURST_SECONDS
        self.due_at = min(self.due_at, first_due) if was_limited else first_due

    def has_turn(self, now: float) -> bool:
        """Return whether a turn can be taken."""
        return now >= self.turn_at

    def take(self, now: float) -> None:
        """Take a turn."""
        if self.is_limited:
            self.due_at = max(self.due_at, now) + 1 / self.rate

    def expect_wait(self, now: float, ahead: int) -> float:
        """Return the seconds until a turn can be taken.

        :param ahead: number of turns that others take first.
        """
        if not self.is_limited:
            return 0.0
        return max(0.0, self.turn_at + ahead / self.rate - now)
