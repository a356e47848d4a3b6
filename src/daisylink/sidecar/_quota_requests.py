"""Requests that wait for a coordinator's answer on their tenant's quota."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from daisylink.quota import (
    Admitted,
    CoordinatorDirectory,
    Decision,
    LimitTable,
    Loan,
    MustAsk,
    NodeQuota,
    Pool,
    QuotaAnswer,
    QuotaAsk,
    Refused,
    find_shard,
)
from daisylink.registry import LeaseStore

# Time for an answer, until the request is asked for again and then decided alone.
ASK_SECONDS = 0.025
MAX_ASKS = 2
NUMBER_BITS = 31


class QuotaTransport(NamedTuple):
    """What the driver acts on.

    :param send: sends a message to a node.
    :param call_later: sets a timer and returns its handle, which can be cancelled.
    :param spawn: starts a task.
    :param store: holds the fleet size.
    """

    send: Callable[[str, Any], None]
    call_later: Callable[..., asyncio.TimerHandle]
    spawn: Callable[[Coroutine[Any, Any, None]], Any]
    store: LeaseStore


class PendingRequest:
    """A request that waits for a coordinator's answer."""

    __slots__ = ("asks", "is_remote", "on_decision", "target", "tenant", "timer")

    def __init__(self, tenant: str, on_decision: Callable[[Decision], None]):
        self.tenant = tenant
        self.on_decision = on_decision
        self.target = ""
        self.is_remote = False
        self.asks = 0
        self.timer: asyncio.TimerHandle | None = None


class QuotaRequests:
    """Decides on requests, asking coordinators where that is needed.

    :param node: name of this node.
    :param loans: where this node's share of each shard is.
    :param pools: this node's pools, for shards that it coordinates itself.
    :param now: seconds of a clock that counts while the machine is suspended.
    """

    def __init__(
        self,
        node: str,
        limits: LimitTable,
        node_quota: NodeQuota,
        loans: list[Loan],
        pools: list[Pool],
        directory: CoordinatorDirectory,
        transport: QuotaTransport,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self.node = node
        self.limits = limits
        self.node_quota = node_quota
        self.loans = loans
        self.pools = pools
        self.directory = directory
        self.transport = transport
        self.now = now
        self.pending: dict[int, PendingRequest] = {}
        # Numbers of a former process at this address are not used again soon.
        self.last_number = rng.getrandbits(NUMBER_BITS)
        self.counts: Counter[str] = Counter()
        # Refusals by tenant since they were last logged.
        self.refusals: Counter[str] = Counter()
        # Whether this node uses or lends a share.
        self.has_share = False

    def check(self, tenant: str, on_decision: Callable[[Decision], None]) -> Decision:
        """Decide on a request of a tenant.

        :param on_decision: called later with the decision if the result is
            :class:`MustAsk`, unless :meth:`cancel` is called first. The decision is
            :class:`MustAsk` once more, with another number, if a coordinator of
            another zone is asked next.
        """
        limit = self.limits.find(tenant)
        if limit is None:
            return Admitted()
        decision = self.node_quota.check(tenant, limit, self.now())
        if isinstance(decision, MustAsk):
            decision = self._ask(PendingRequest(tenant, on_decision), decision.is_held)
        return self._count(tenant, decision)

    def cancel(self, number: int) -> None:
        """Forget a request that waits for an answer."""
        request = self.pending.pop(number, None)
        if request is not None and request.timer is not None:
            request.timer.cancel()

    def handle_answer(self, message: QuotaAnswer, node: str) -> None:
        """Handle a coordinator's answer on a request that waits for it."""
        request = self.pending.get(message.number)
        if request is None or request.target != node:
            self.counts["late"] += 1
            return
        self.cancel(message.number)
        self._deliver(request, self._handle_answer(request, message))

    def _ask(self, request: PendingRequest, is_held: bool) -> Decision:
        """Ask a coordinator, the own zone's first.

        :param is_held: whether the own zone's refuses the tenant for now.
        """
        if is_held:
            if self._choose_remote(request):
                return self._send_ask(request)
            return self.node_quota.refuse_held(request.tenant, self.now())
        request.target = self._find_coordinator(request.tenant)
        if not request.target:
            self._choose_remote(request)
        return self._send_ask(request)

    def _choose_remote(self, request: PendingRequest) -> bool:
        """Choose a coordinator of another zone, which may have tokens left.

        :returns: whether there is one.
        """
        now = self.now()
        if not self.node_quota.may_ask_remote(request.tenant, now):
            return False
        node = self.directory.find_remote(find_shard(request.tenant), now)
        if node:
            request.target = node
            request.is_remote = True
        return bool(node)

    def _send_ask(self, request: PendingRequest) -> Decision:
        if not request.target:
            return self._decide_alone(request)
        self.last_number += 1
        number = self.last_number
        request.asks = 0
        if request.target == self.node:
            ask = QuotaAsk(number, request.tenant)
            pool = self.pools[find_shard(request.tenant)]
            answer = pool.handle_ask(self.node, ask, self.now())
            return self._handle_answer(request, answer)
        self.pending[number] = request
        self._repeat_ask(number, request)
        return MustAsk(number)

    def _repeat_ask(self, number: int, request: PendingRequest) -> None:
        if request.asks == MAX_ASKS:
            del self.pending[number]
            self.counts["unanswered"] += 1
            if request.is_remote:
                self.directory.record_silent(request.target, self.now())
            self._deliver(request, self._decide_alone(request))
            return
        request.asks += 1
        if request.asks == MAX_ASKS and not request.is_remote:
            # The coordinator may be gone; a second token taken there is lost.
            self._choose_remote(request)
        self.counts["asked"] += 1
        self.transport.send(request.target, QuotaAsk(number, request.tenant))
        request.timer = self.transport.call_later(
            ASK_SECONDS, self._repeat_ask, number, request
        )

    def _handle_answer(self, request: PendingRequest, answer: QuotaAnswer) -> Decision:
        if answer.is_granted:
            if request.is_remote:
                self.node_quota.handle_remote_grant(request.tenant)
            return Admitted()
        now = self.now()
        refusal = self.node_quota.handle_refusal(
            request.tenant, answer, request.is_remote, now
        )
        if request.is_remote or not self._choose_remote(request):
            return refusal
        return self._send_ask(request)

    def _decide_alone(self, request: PendingRequest) -> Decision:
        limit = self.limits.find(request.tenant)
        if limit is None:
            return Admitted()
        return self.node_quota.decide_alone(request.tenant, limit, self.now())

    def _deliver(self, request: PendingRequest, decision: Decision) -> None:
        request.on_decision(self._count(request.tenant, decision))

    def _count(self, tenant: str, decision: Decision) -> Decision:
        if isinstance(decision, Refused):
            self.counts[f"refused_{decision.decided_by}"] += 1
            self.refusals[tenant] += 1
        elif isinstance(decision, Admitted):
            self.counts["admitted"] += 1
        return decision

    def _find_coordinator(self, tenant: str) -> str:
        """Return the node of the own zone to ask, "" for none."""
        shard = find_shard(tenant)
        loan = self.loans[shard]
        if loan.is_answering:
            return loan.coordinator
        if self.has_share:
            return ""
        # A node that has just started borrows before it lends.
        return self.directory.find_local(shard, self.now())
