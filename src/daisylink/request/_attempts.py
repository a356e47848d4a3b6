"""Retry policy of a single request: whether to send it, retry it or give up."""

import random
from dataclasses import dataclass

from daisylink.errors import ResultCode
from daisylink.request._outcome import Refusal, make_refusal
from daisylink.request._plan import RequestPlan
from daisylink.request._retry_after import choose_retry_ms

# Nodes that a request is sent to, those that decline it included. If so many of a pool
# have no room, hardly any other has.
MAX_HOPS = 5
DEFAULT_RETRY_MS = 500


@dataclass(frozen=True)
class RequestPlanned:
    """Event: the request was planned and its first attempt is due."""


@dataclass(frozen=True)
class AttemptRefused:
    """Event: the next hop certainly did not run the request.

    :param code: why the attempt was refused.
    :param retry_ms: milliseconds after which a retry may succeed, 0 if unknown.
    """

    code: ResultCode
    retry_ms: int = 0

    @property
    def reached_server(self) -> bool:
        """Return whether the request reached a backend server."""
        return self.code is ResultCode.REQUEST_SHED_BY_SERVER


@dataclass(frozen=True)
class AttemptLost:
    """Event: the connection to the next hop broke; the request may have run."""


@dataclass(frozen=True)
class DeadlinePassed:
    """Event: the deadline has passed.

    :param may_have_run: whether a hop may have begun the request.
    """

    may_have_run: bool


@dataclass(frozen=True)
class PoolFull:
    """Event: the request's pool is unlikely to have room for it."""


@dataclass(frozen=True)
class NoServer:
    """Event: no backend server is left to try."""


Event = (
    RequestPlanned | AttemptRefused | AttemptLost | DeadlinePassed | PoolFull | NoServer
)


@dataclass(frozen=True)
class Try:
    """Action: choose a backend server and send the request to it."""


@dataclass(frozen=True)
class GiveUp:
    """Action: send the caller a refusal."""

    refusal: Refusal


Action = Try | GiveUp


class RetryBudget:
    """Token bucket that bounds the retries of one service.

    :param ratio: tokens added by each first attempt.
    :param burst: capacity of the bucket, in tokens.
    :param per_second: tokens added each second.
    """

    def __init__(
        self, ratio: float = 0.2, burst: float = 10.0, per_second: float = 0.0
    ):
        self.ratio = ratio
        self.burst = burst
        self.per_second = per_second
        self.tokens = burst
        self.refilled_at = float("-inf")

    def deposit(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def has_token(self, now: float) -> bool:
        """Return whether a retry is allowed.

        :param now: seconds of the monotonic clock.
        """
        if self.per_second:
            elapsed = max(0.0, now - self.refilled_at)
            self.refilled_at = now
            gained = self.tokens + elapsed * self.per_second
            self.tokens = min(self.burst, gained)
        return self.tokens >= 1

    def try_withdraw(self, now: float) -> bool:
        """Take a token.

        :returns: whether there was one.
        """
        if not self.has_token(now):
            return False
        self.tokens -= 1
        return True


class Attempts:
    """Decides on the attempts of one request.

    An idempotent request is retried after any lost attempt, any other request only if
    it certainly was not run. Retries end at the deadline or when the budget is spent.
    Only retries after an attempt that reached a backend server count against the budget
    and the route's limit: a refusal by the server's node costs the server nothing.

    :param plan: the plan of the request.
    :param budget: retry budget of the request's service at this node.
    :param rng: spreads the times at which refused callers return.
    """

    def __init__(
        self,
        plan: RequestPlan,
        budget: RetryBudget,
        rng: random.Random | None = None,
    ):
        self.rng = rng or random.Random()
        self.plan = plan
        self.budget = budget
        self.count = 0
        self.servers_reached = 0
        self.has_lost_attempt = False
        self.last_refusal = make_refusal(ResultCode.REQUEST_NO_SERVER, DEFAULT_RETRY_MS)

    def handle(self, event: Event, now: float, replayable: bool = True) -> Action:
        """Handle an event.

        :param now: seconds of the monotonic clock.
        :param replayable: whether the whole request body is still buffered.
        :returns: the next action.
        """
        match event:
            case RequestPlanned():
                self.budget.deposit()
                self.count = 1
                return Try()
            case AttemptRefused(code, retry_ms):
                self.last_refusal = make_refusal(code, retry_ms)
                if event.reached_server:
                    self.servers_reached += 1
                return self._retry(replayable, now)
            case AttemptLost():
                self.has_lost_attempt = True
                self.servers_reached += 1
                return self._retry(replayable and self.plan.idempotent, now)
            case DeadlinePassed(may_have_run):
                if may_have_run or self.has_lost_attempt:
                    return GiveUp(make_refusal(ResultCode.REQUEST_DEADLINE_UNKNOWN))
                code = ResultCode.REQUEST_DEADLINE_NOT_RUN
                retry_ms = choose_retry_ms(0, self.plan, now, self.rng)
                return GiveUp(make_refusal(code, retry_ms))
            case PoolFull():
                if not self.servers_reached and self.count == 1:
                    self.last_refusal = make_refusal(ResultCode.REQUEST_OVERLOADED)
                return self._give_up(now)
            case NoServer():
                return self._give_up(now)

    def can_retry_after_loss(self, now: float) -> bool:
        """Return whether a request that may have run could be retried."""
        return (
            self.plan.idempotent
            and self.count < MAX_HOPS
            and self.servers_reached + 1 < self.plan.max_attempts
            and self.budget.has_token(now)
        )

    def _give_up(self, now: float) -> GiveUp:
        """Give up with the last refusal, or an unknown outcome after a lost attempt."""
        if self.has_lost_attempt:
            return GiveUp(make_refusal(ResultCode.REQUEST_ANSWER_LOST))
        expected_ms = self.last_refusal.retry_ms
        retry_ms = choose_retry_ms(expected_ms, self.plan, now, self.rng)
        return GiveUp(self.last_refusal._replace(retry_ms=retry_ms))

    def _retry(self, allowed: bool, now: float) -> Action:
        if not allowed or self.count >= MAX_HOPS:
            return self._give_up(now)
        if self.servers_reached >= self.plan.max_attempts:
            return self._give_up(now)
        if self.servers_reached and not self.budget.try_withdraw(now):
            return self._give_up(now)
        self.count += 1
        return Try()
