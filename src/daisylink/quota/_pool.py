"""A coordinator's side of a shard: the shares lent to it, and tokens for requests.

It is designed for renewals that arrive late, because the process was frozen or the
machine suspended: a lease counts from the coordinator's own time that it repeats.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from daisylink.quota._bucket import Bucket, Portion, ShareHistory, Shares
from daisylink.quota._limit import Limit
from daisylink.quota._loan import LEASE_SECONDS
from daisylink.quota._messages import QuotaAnswer, QuotaAsk, QuotaLend, QuotaLent

# Longest retry time; callers honour up to a third of their limit of 4 s.
MAX_RETRY_SECONDS = 2.0
# Retry time where the tenant is not known yet: a version reaches the next node sooner.
UNKNOWN_TENANT_SECONDS = 0.2
# A repeated message arrives well within this number of others.
MAX_ANSWERS = 1024


class Lease(NamedTuple):
    """A share that is lent.

    :param ends_at: when the lease ends, in seconds of the coordinator's clock.
    :param size: fleet size that the lender stated.
    """

    ends_at: float
    size: int


class TenantPool(Bucket):
    """Tokens of one tenant.

    :ivar turn_at: when there is a token for the next request that is refused.
    """

    __slots__ = ("turn_at",)

    def __init__(self):
        super().__init__()
        self.turn_at = float("-inf")


class Pool:
    """The shares of one shard that are lent to this node.

    :param process: number that distinguishes the starts of this process.
    :param find_limit: returns a tenant's limit, None if the tenant is not known.
    :param now: seconds of a clock that counts while the machine is suspended.
    """

    def __init__(
        self,
        shard: int,
        process: int,
        find_limit: Callable[[str], Limit | None],
        now: float,
    ):
        self.shard = shard
        self.process = process
        self.find_limit = find_limit
        self.leases: dict[str, Lease] = {}
        self.history = ShareHistory(now)
        self.tenants: dict[str, TenantPool] = {}
        self.answers: OrderedDict[tuple[str, int], QuotaAnswer] = OrderedDict()
        self.next_end = float("inf")

    def handle_lend(self, node: str, message: QuotaLend, now: float) -> QuotaLent:
        """Take a share that is lent or renewed; reply with the time."""
        self.expire(now)
        is_current = message.process == self.process and message.time <= now
        ends_at = message.time + LEASE_SECONDS
        if is_current and ends_at > now and message.size > 0:
            previous = self.leases.get(node)
            if previous is not None:
                ends_at = max(ends_at, previous.ends_at)
            self.leases[node] = Lease(ends_at, message.size)
            self.next_end = min(self.next_end, ends_at)
            if previous is None or previous.size != message.size:
                self._update_shares(now)
        return QuotaLent(self.shard, self.process, now)

    def handle_ask(self, node: str, message: QuotaAsk, now: float) -> QuotaAnswer:
        """Decide on one request; a repeated message gets the same answer."""
        key = (node, message.number)
        answer = self.answers.get(key)
        if answer is None:
            answer = self._decide(message, now)
            self.answers[key] = answer
            if len(self.answers) > MAX_ANSWERS:
                self.answers.popitem(last=False)
        return answer

    def expire(self, now: float) -> None:
        """Return the shares whose leases have ended, each at its end."""
        if now < self.next_end:
            return
        ended = sorted(
            (lease.ends_at, node)
            for node, lease in self.leases.items()
            if lease.ends_at <= now
        )
        for ends_at, node in ended:
            del self.leases[node]
            self._update_shares(ends_at)
        ends = (lease.ends_at for lease in self.leases.values())
        self.next_end = min(ends, default=float("inf"))

    def forget_idle(self, now: float) -> None:
        """Forget the tenants with full buckets; a new bucket holds no more tokens."""
        self.expire(now)
        for name, tenant in list(self.tenants.items()):
            limit = self.find_limit(name)
            if limit is None or tenant.is_full(self.history, limit, now):
                del self.tenants[name]

    def _update_shares(self, at: float) -> None:
        sizes = Counter(lease.size for lease in self.leases.values())
        shares = (
            Shares(size, count, Portion.LENT) for size, count in sorted(sizes.items())
        )
        self.history.set_shares(tuple(shares), at)

    def _decide(self, message: QuotaAsk, now: float) -> QuotaAnswer:
        limit = self.find_limit(message.tenant)
        if limit is None:
            return QuotaAnswer(message.number, False, UNKNOWN_TENANT_SECONDS)
        self.expire(now)
        tenant = self.tenants.get(message.tenant)
        if tenant is None:
            tenant = self.tenants[message.tenant] = TenantPool()
        tenant.settle(self.history, limit, now)
        if tenant.take():
            return QuotaAnswer(message.number, True)
        wait = min(tenant.find_wait(self.history, limit), MAX_RETRY_SECONDS)
        rate = limit.rate * self.history.current.find_fraction(limit)
        turn = max(tenant.turn_at, now + wait)
        retry = min(turn - now, MAX_RETRY_SECONDS)
        if rate and turn - now < MAX_RETRY_SECONDS:
            tenant.turn_at = turn + 1 / rate
        return QuotaAnswer(message.number, False, retry, rate)
