"""Decides on requests at the entry node, from its own tokens and coordinators' answers.

It is designed for a tenant that sends 8 times its usual rate: after a coordinator's
refusal the tenant's requests are refused here until a token is due, without a message.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from daisylink.quota._bucket import Bucket, Portion, ShareHistory, Shares
from daisylink.quota._limit import Limit
from daisylink.quota._messages import QuotaAnswer
from daisylink.quota._pool import MAX_RETRY_SECONDS
from daisylink.quota._ranking import SHARDS, find_shard

# Longest time for which a coordinator's refusal is believed.
MAX_HOLD_SECONDS = 0.2
# The same for a coordinator of another zone, which is asked only when the own one
# refuses: all zones refuse under an excess, and asking them again gains little. Each
# refusal in a row doubles the time.
MIN_REMOTE_HOLD_SECONDS = 0.25
MAX_REMOTE_HOLD_SECONDS = 8.0
# Retry time where nobody can be asked: a lease has ended by then.
NO_COORDINATOR_SECONDS = 1.0
MIN_RETRY_SECONDS = 0.005
# Retry times that reach the maximum are spread over its upper half.
RETRY_JITTER = (0.5, 1.0)


class Admitted(NamedTuple):
    """A request may run."""


class Refused(NamedTuple):
    """A request is beyond its tenant's quota.

    :param retry: seconds until a similar one is expected to be admitted.
    :param decided_by: ``own`` (no coordinator could be asked, or none answered),
        ``held`` (an earlier refusal still holds) or ``coordinator``.
    """

    retry: float
    decided_by: str


class MustAsk(NamedTuple):
    """A coordinator is to be asked for a token.

    :param number: identifies the request; 0 while no message was sent.
    :param is_held: whether a refusal of the own zone's coordinator still holds, so
        that only coordinators of other zones are worth a message.
    """

    number: int = 0
    is_held: bool = False


Decision = Admitted | Refused | MustAsk


class Hold:
    """What coordinators' last refusals of a tenant said.

    Times are in seconds of the node's clock.

    :ivar until: until when the own zone's coordinator is not asked.
    :ivar turn_at: when there is a token for the next request that is refused.
    :ivar rate: tokens a second of the coordinator that refused, 0 if unknown.
    :ivar remote_until: until when no coordinator of another zone is asked.
    :ivar remote_seconds: how long another zone's next refusal is believed.
    """

    __slots__ = ("rate", "remote_seconds", "remote_until", "turn_at", "until")

    def __init__(self):
        self.until = self.turn_at = self.remote_until = float("-inf")
        self.rate = 0.0
        self.remote_seconds = MIN_REMOTE_HOLD_SECONDS


class NodeQuota:
    """This node's shares, and what coordinators said.

    Times are in seconds of the clock of ``now``.

    :param rng: spreads retry times.
    :param now: seconds of a clock that counts while the machine is suspended.
    """

    def __init__(self, rng: random.Random, now: float):
        self.rng = rng
        self.histories = [ShareHistory(now) for _ in range(SHARDS)]
        self.buckets: dict[str, Bucket] = {}
        self.holds: dict[str, Hold] = {}

    def set_share(self, shard: int, size: int, is_lent: bool, now: float) -> None:
        """Record what this node has of a shard's quotas.

        :param size: number of nodes that share each quota, 0 for no share yet.
        """
        portion = Portion.KEPT if is_lent else Portion.WHOLE
        shares = (Shares(size, 1, portion),) if size else ()
        self.histories[shard].set_shares(shares, now)

    def check(self, tenant: str, limit: Limit, now: float) -> Decision:
        """Decide on a new request; :class:`MustAsk` if only a coordinator can."""
        if self._take(tenant, limit, now):
            return Admitted()
        hold = self.holds.get(tenant)
        if hold is None or now >= hold.until:
            return MustAsk()
        if now >= hold.remote_until:
            return MustAsk(is_held=True)
        return self.refuse_held(tenant, now)

    def may_ask_remote(self, tenant: str, now: float) -> bool:
        """Return whether another zone's coordinator may be asked for the tenant."""
        hold = self.holds.get(tenant)
        return hold is None or now >= hold.remote_until

    def handle_remote_grant(self, tenant: str) -> None:
        """Handle a token that a coordinator of another zone granted."""
        hold = self.holds.get(tenant)
        if hold is not None:
            hold.remote_seconds = MIN_REMOTE_HOLD_SECONDS

    def handle_refusal(
        self, tenant: str, answer: QuotaAnswer, is_remote: bool, now: float
    ) -> Refused:
        """Handle a coordinator's refusal.

        :param is_remote: whether it is a coordinator of another zone.
        """
        hold = self.holds.get(tenant)
        if hold is None:
            hold = self.holds[tenant] = Hold()
        if is_remote:
            hold.remote_until = now + hold.remote_seconds
            hold.remote_seconds = min(2 * hold.remote_seconds, MAX_REMOTE_HOLD_SECONDS)
            if now < hold.turn_at:
                return Refused(self._limit_retry(hold.turn_at - now), "coordinator")
        else:
            # The turn, not the first free token, which is another node's.
            hold.until = now + min(answer.retry, MAX_HOLD_SECONDS)
        hold.rate = answer.rate
        hold.turn_at = now + answer.retry
        return Refused(self._limit_retry(answer.retry), "coordinator")

    def refuse_held(self, tenant: str, now: float) -> Refused:
        """Refuse a request without asking; each next one gets a later turn."""
        hold = self.holds[tenant]
        if hold.rate and hold.turn_at - now < MAX_RETRY_SECONDS:
            hold.turn_at = max(hold.turn_at, now) + 1 / hold.rate
        return Refused(self._limit_retry(hold.turn_at - now), "held")

    def decide_alone(self, tenant: str, limit: Limit, now: float) -> Decision:
        """Decide on a request that no coordinator answered."""
        if self._take(tenant, limit, now):
            return Admitted()
        history = self.histories[find_shard(tenant)]
        wait = self.buckets[tenant].find_wait(history, limit)
        wait = min(wait, NO_COORDINATOR_SECONDS)
        return Refused(self._limit_retry(wait), "own")

    def forget_idle(
        self, find_limit: Callable[[str], Limit | None], now: float
    ) -> None:
        """Forget the tenants with full buckets, and refusals that hold no longer.

        :param find_limit: returns a tenant's limit, None if the tenant is not known.
        """
        for name, bucket in list(self.buckets.items()):
            limit = find_limit(name)
            history = self.histories[find_shard(name)]
            if limit is None or bucket.is_full(history, limit, now):
                del self.buckets[name]
        for name, hold in list(self.holds.items()):
            if now >= max(hold.until, hold.remote_until + MAX_REMOTE_HOLD_SECONDS):
                del self.holds[name]

    def _take(self, tenant: str, limit: Limit, now: float) -> bool:
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = Bucket()
        bucket.settle(self.histories[find_shard(tenant)], limit, now)
        return bucket.take()

    def _limit_retry(self, retry: float) -> float:
        if retry >= MAX_RETRY_SECONDS:
            return MAX_RETRY_SECONDS * self.rng.uniform(*RETRY_JITTER)
        return max(retry, MIN_RETRY_SECONDS)
