"""How many requests a backend server that has just started or failed is given at once.

It is designed for servers that reject and fail requests while they start if they get as
many as their slots allow, and run fewer without fault. The limit falls with rejections
and rises with answers. Two signals do not lower it, because fewer requests would not
help: slowness, as a server that is slow for each slot answers no more requests with
fewer of them, and failures of a server that rejects nothing and has not just started,
as requests also fail because of services that they call.
"""

from enum import Enum

# The limit is multiplied by this after a rejection.
DECREASE_FACTOR = 0.5
# Failures count so long after a rejection, and so long after a start.
REJECTING_SECONDS = 1.0
STARTING_SECONDS = 5.0
# Requests that were sent before a reduction fail after it. They say nothing new.
SETTLE_SECONDS = 0.1
# Increase with each answer, divided by the limit: 1 after as many answers as it allows
# at once.
INCREASE = 1.0
MIN_LIMIT = 1.0
# A request that is rejected while no other one runs is not rejected because of too
# many: for this time nothing lowers the limit.
UNRELATED_SECONDS = 2.0


class ServerOutcome(Enum):
    """How the backend server answered a request.

    ``FAILED`` includes a connection that it dropped; a request that was ``REJECTED``
    did not run.
    """

    ANSWERED = "answered"
    REJECTED = "rejected"
    FAILED = "failed"


class ConcurrencyLimit:
    """The limit for one start of the local backend server; none until it rejects."""

    def __init__(self):
        self.value = float("inf")
        self.reduced_at = float("-inf")
        self.failures_count_until = float("-inf")
        self.unrelated_until = float("-inf")
        # Whether no other request ran when the last one ended.
        self.was_alone = False

    def get(self, slots: int) -> int:
        """Return the requests that may run at once, at most the server's slots."""
        return slots if self.value >= slots else int(self.value)

    def record(
        self, outcome: ServerOutcome, running: int, now: float, many_fail: bool = True
    ) -> None:
        """Record how the server answered a request.

        :param running: requests that it ran, with this one.
        :param now: seconds of the monotonic clock.
        :param many_fail: whether a large share of the recent requests failed; a few
            fail for reasons of their own.
        """
        ran_alone = self._observe(running)
        match outcome:
            case ServerOutcome.ANSWERED:
                if self.value < running + 1:
                    self.value += INCREASE / self.value
                return
            case ServerOutcome.REJECTED:
                until = now + REJECTING_SECONDS
                self.failures_count_until = max(self.failures_count_until, until)
            case ServerOutcome.FAILED if (
                not many_fail or now > self.failures_count_until
            ):
                return
        if now - self.reduced_at < SETTLE_SECONDS or now < self.unrelated_until:
            return
        if ran_alone:
            self.value = float("inf")
            self.unrelated_until = now + UNRELATED_SECONDS
            return
        self.reduced_at = now
        self.value = max(MIN_LIMIT, min(self.value, running) * DECREASE_FACTOR)

    def reset(self, now: float) -> None:
        """Begin anew with another start of the server.

        :param now: seconds of the monotonic clock.
        """
        self.value = float("inf")
        self.reduced_at = self.unrelated_until = float("-inf")
        self.failures_count_until = now + STARTING_SECONDS

    def _observe(self, running: int) -> bool:
        """Note the end of a request; return whether it certainly ran alone.

        One that ends alone may have begun beside others, unless the one before has
        ended alone too.

        :param running: requests that ran at its end, with this one.
        """
        was_alone, self.was_alone = self.was_alone, running <= MIN_LIMIT
        return was_alone and self.was_alone
