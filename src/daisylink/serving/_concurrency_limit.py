"""How many requests a backend server that has just started or failed is given at once.

It is designed for servers that reject or fail requests while they start if they get as
many as their slots allow, and run fewer without fault. The limit falls with rejections
and failures and rises with each answer that is neither. Slowness does not lower it: a
server that is slow for each slot answers no more requests with fewer of them.
"""

# Part of the limit that is kept after a failure.
KEPT_SHARE = 0.5
# Requests that were sent before a reduction fail after it. They say nothing new.
SETTLE_SECONDS = 0.1
# Rise with each answer without a fault, divided by the limit: one for each round.
RISE = 1.0
MIN_LIMIT = 1.0
# A request that fails while no other one runs does not fail because of too many: for
# this time no failure lowers the limit.
UNRELATED_SECONDS = 2.0


class ConcurrencyLimit:
    """The limit for one start of the local backend server; none until it fails."""

    def __init__(self):
        self.value = float("inf")
        self.reduced_at = float("-inf")
        self.unrelated_until = float("-inf")
        # Whether no other request ran when the last one ended.
        self.was_alone = False

    def get(self, slots: int) -> int:
        """Return the requests that may run at once, at most the server's slots."""
        return slots if self.value >= slots else int(self.value)

    def record(self, failed: bool, running: int, now: float) -> None:
        """Record how the server answered a request.

        :param failed: whether it rejected the request, failed or did not answer.
        :param running: requests that it ran, with this one.
        :param now: seconds of the monotonic clock.
        """
        ran_alone = self.observe(running)
        if not failed:
            if self.value < running + 1:
                self.value += RISE / self.value
            return
        if now - self.reduced_at < SETTLE_SECONDS or now < self.unrelated_until:
            return
        if ran_alone:
            self.value = float("inf")
            self.unrelated_until = now + UNRELATED_SECONDS
            return
        self.reduced_at = now
        self.value = max(MIN_LIMIT, min(self.value, running) * KEPT_SHARE)

    def observe(self, running: int) -> bool:
        """Note the end of a request; return whether it certainly ran alone.

        One that ends alone may have begun beside others, unless the one before has
        ended alone too.

        :param running: requests that ran at its end, with this one.
        """
        was_alone, self.was_alone = self.was_alone, running <= MIN_LIMIT
        return was_alone and self.was_alone

    def reset(self) -> None:
        """Begin anew with another start of the server."""
        self.value = float("inf")
        self.reduced_at = self.unrelated_until = float("-inf")
