"""Starts a request: its plan, its turn, limits and its tenant's quota."""

import math
from typing import Any

from daisylink.errors import ResultCode
from daisylink.quota import Admitted, Decision, MustAsk, Refused
from daisylink.request._authorization import remove_credentials
from daisylink.request._outcome import Refusal, make_refusal
from daisylink.request._plan import RequestPlan, plan_relayed, plan_request

MS_PER_SECOND = 1000


def start_request(exchange: Any, is_first: bool) -> None:
    """Plan a request and make its first attempt, or refuse it.

    One that must wait for its turn on its connection is not started.

    :param exchange: its :class:`~daisylink.request.Exchange`.
    :param is_first: whether all earlier requests of the connection are answered.
    """
    gateway = exchange.gateway
    now = gateway.now()
    plan = (
        _plan_relayed(exchange) if exchange.is_relay else _plan_entering(exchange, now)
    )
    if not is_first and not _may_start_early(exchange, plan):
        return
    exchange.started = True
    exchange.head = remove_credentials(exchange.head, gateway.version)
    if isinstance(plan, Refusal):
        exchange.send_refusal(plan)
        return
    exchange.plan = plan
    if plan.deadline <= now:
        exchange.send_refusal(make_refusal(ResultCode.REQUEST_DEADLINE_NOT_RUN))
        return
    if exchange.body.size > plan.body_limit:
        exchange.send_refusal(make_refusal(ResultCode.REQUEST_BODY_TOO_LARGE))
        return
    if exchange.is_relay or not plan.tenant:
        exchange.sender.begin(now)
    else:
        decision = gateway.quota.check(plan.tenant, exchange.handle_quota)
        apply_quota(exchange, decision)
    if not exchange.done:
        # A request that is refused at once needs no timer.
        exchange.start_timer(plan.deadline - now)


def apply_quota(exchange: Any, decision: Decision) -> None:
    """Send or refuse a request by the decision on its tenant's quota.

    :param exchange: its :class:`~daisylink.request.Exchange`.
    """
    exchange.quota_number = 0
    match decision:
        case Admitted():
            exchange.sender.begin(exchange.gateway.now())
        case Refused(retry):
            retry_ms = math.ceil(retry * MS_PER_SECOND)
            exchange.send_refusal(make_refusal(ResultCode.REQUEST_OVER_QUOTA, retry_ms))
        case MustAsk(number):
            exchange.quota_number = number


def _plan_relayed(exchange: Any) -> RequestPlan | Refusal:
    """Plan a request of another node, and record what that node says in it."""
    gateway, head = exchange.gateway, exchange.head
    plan = plan_relayed(head, exchange.started_at)
    gateway.record_peer_version(head.hop_metadata.version, exchange.caller.peer_host)
    if head.told_limit is not None:
        gateway.notices.record_told_limit(head.told_limit)
    return plan


def _plan_entering(exchange: Any, now: float) -> RequestPlan | Refusal:
    """Plan a request that enters at this node, by its parent's if it is a call."""
    gateway, head = exchange.gateway, exchange.head
    is_call = gateway.running.is_call(head.request_id)
    ages = None if is_call else gateway.ages
    # Time in which the request waited for its turn on its connection has passed.
    arrived_at = exchange.started_at
    plan = plan_request(head, gateway.version, arrived_at, gateway.pick_target, ages)
    if isinstance(plan, Refusal) or not is_call:
        return plan
    return gateway.running.plan_call(head.request_id, plan, now)


def _may_start_early(exchange: Any, plan: RequestPlan | Refusal) -> bool:
    """Return whether a request may start before its turn.

    Its connection may close before: when the node stops, when the rest of a response is
    lost of which the caller has a part, or after a response without a length to
    HTTP/1.0.
    """
    if exchange.gateway.stopping or exchange.caller.is_mid_response:
        return False
    if exchange.is_http_1_0:
        return False
    return isinstance(plan, RequestPlan) and plan.idempotent
