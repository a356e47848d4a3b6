"""Decides, for one request, whether to try, try again or give up."""

from dataclasses import dataclass

from daisylink.errors import ResultCode
from daisylink.request._outcome import Refusal, make_refusal
from daisylink.request._plan import RequestPlan

MAX_HOPS = 8
DEFAULT_RETRY_MS = 500
MS_PER_SECOND = 1000
# When a caller comes back, as a share of its time left: late enough for a queue to
# have moved on, early enough to be answered still.
RETRY_SHARE = 0.25


@dataclass(frozen=True)
class RequestPlanned:
    """Event: the request was planned."""


@dataclass(frozen=True)
class AttemptRefused:
    """Event: the next hop certainly did not run the request."""

    code: ResultCode
    retry_ms: int = 0

    @property
    def reached(self) -> bool:
        """Return whether the request came as far as a backend server."""
        return self.code is ResultCode.REQUEST_SHED_BY_SERVER


@dataclass(frozen=True)
class AttemptLost:
    """Event: the next hop went away, and may have run the request."""


@dataclass(frozen=True)
class DeadlinePassed:
    """Event: the deadline has passed.

    :param may_have_run: whether a hop may have begun the request.
    """

    may_have_run: bool


@dataclass(frozen=True)
class NoServer:
    """Event: there is no backend server left to try."""


Event = RequestPlanned | AttemptRefused | AttemptLost | DeadlinePassed | NoServer


@dataclass(frozen=True)
class Try:
    """Action: choose a backend server and send the request."""


@dataclass(frozen=True)
class GiveUp:
    """Action: answer the caller at once."""

    refusal: Refusal


Action = Try | GiveUp


class RetryBudget:
    """Bounds retries of one service to a share of first attempts.

    :param ratio: retries earned by a first attempt.
    :param burst: retries that can be saved up.
    :param per_second: retries earned by time alone.
    """

    def __init__(
        self, ratio: float = 0.2, burst: float = 10.0, per_second: float = 0.0
    ):
        self.ratio = ratio
        self.burst = burst
        self.per_second = per_second
        self.tokens = burst
        self.filled_at = float("-inf")

    def deposit(self) -> None:
        """Count a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def has_token(self, now: float) -> bool:
        """Return whether a retry is left.

        :param now: seconds of the monotonic clock.
        """
        if self.per_second:
            elapsed = max(0.0, now - self.filled_at)
            self.filled_at = now
            gained = self.tokens + elapsed * self.per_second
            self.tokens = min(self.burst, gained)
        return self.tokens >= 1

    def try_withdraw(self, now: float) -> bool:
        """Take a retry from the budget; return whether there was one."""
        if not self.has_token(now):
            return False
        self.tokens -= 1
        return True


class Attempts:
    """The attempts of one request.

    An idempotent request is tried again after any loss, another one only when it
    certainly was not run; both within the deadline and under the budget. Only tries
    that follow one which reached a backend server count against the budget and the
    route's limit: a refusal by the node beside the server cost the server nothing.

    :param budget: the node's budget of retries.
    """

    def __init__(self, plan: RequestPlan, budget: RetryBudget):
        self.plan = plan
        self.budget = budget
        self.count = 0
        self.reached = 0
        self.lost = False
        self.last = make_refusal(ResultCode.REQUEST_NO_SERVER, DEFAULT_RETRY_MS)

    def handle(self, event: Event, now: float, replayable: bool = True) -> Action:
        """Take an event and return what is to be done.

        :param now: seconds of the monotonic clock.
        :param replayable: whether the request can be sent again from its start.
        """
        match event:
            case RequestPlanned():
                self.budget.deposit()
                self.count = 1
                return Try()
            case AttemptRefused(code, retry_ms):
                self.last = make_refusal(code, retry_ms)
                if event.reached:
                    self.reached += 1
                return self._try_again(replayable, now)
            case AttemptLost():
                self.lost = True
                self.reached += 1
                return self._try_again(replayable and self.plan.idempotent, now)
            case DeadlinePassed(may_have_run):
                if may_have_run or self.lost:
                    return GiveUp(make_refusal(ResultCode.REQUEST_DEADLINE_UNKNOWN))
                return GiveUp(
                    make_refusal(ResultCode.REQUEST_DEADLINE_NOT_RUN, DEFAULT_RETRY_MS)
                )
            case NoServer():
                return self._give_up(now)

    def can_retry_after_loss(self, now: float) -> bool:
        """Return whether a request that may have run could be tried once more."""
        return (
            self.plan.idempotent
            and self.count < MAX_HOPS
            and self.reached + 1 < self.plan.max_attempts
            and self.budget.has_token(now)
        )

    def _give_up(self, now: float) -> GiveUp:
        """Answer with the last refusal; none is certain after a loss."""
        if self.lost:
            return GiveUp(make_refusal(ResultCode.REQUEST_ANSWER_LOST))
        left_ms = (self.plan.deadline - now) * MS_PER_SECOND
        retry_ms = max(self.last.retry_ms, round(left_ms * RETRY_SHARE))
        return GiveUp(self.last._replace(retry_ms=retry_ms))

    def _try_again(self, allowed: bool, now: float) -> Action:
        if not allowed or self.count >= MAX_HOPS:
            return self._give_up(now)
        if self.reached >= self.plan.max_attempts:
            return self._give_up(now)
        if self.reached and not self.budget.try_withdraw(now):
            return self._give_up(now)
        self.count += 1
        return Try()
