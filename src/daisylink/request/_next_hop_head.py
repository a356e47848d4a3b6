"""Builds the request head for the next hop: another node or the backend server."""

from typing import Any

from daisylink.request._head import (
    CALL_HEADER,
    DEPTH_HEADER,
    HAS_LOST_ATTEMPT,
    HOP_HEADER,
    IS_CALL,
    LIMIT_HEADER,
    LOST_HEADER,
    MAY_NOT_WAIT,
    TENANT_HEADER,
    WAIT_HEADER,
    Header,
    HopMetadata,
    ToldLimit,
    build_hop_head,
    encode_hop_metadata,
    encode_told_limit,
)
from daisylink.request._header_text import encode_value
from daisylink.request._plan import RequestPlan

# Time for the next node's response to arrive before this node's deadline.
HOP_MARGIN_MS = 5
MS_PER_SECOND = 1000


def make_next_hop_head(sender: Any) -> bytes:
    """Return the head for the next hop of an attempt.

    :param sender: the :class:`~daisylink.request.RequestSender` of the request.
    """
    exchange, gateway = sender.exchange, sender.gateway
    if sender.local_run is not None:
        return _make_server_head(exchange)
    expect = exchange.head.expects_continue and not exchange.has_sent_continue
    told_limit = gateway.notices.find_told_limit(sender.target_record)
    return _make_relay_head(sender, expect, told_limit)


def _make_relay_head(sender: Any, expect: bool, told_limit: ToldLimit | None) -> bytes:
    """Return the head for the node of the chosen backend server.

    :param expect: whether to send ``Expect: 100-continue``.
    :param told_limit: limit of that server as this node knows it.
    """
    head, plan, gateway = sender.exchange.head, sender.exchange.plan, sender.gateway
    now = gateway.now()
    hop = HopMetadata(
        plan.pool,
        max(1, _count_left_ms(plan.deadline, now) - HOP_MARGIN_MS),
        plan.idempotent,
        plan.priority,
        gateway.origin,
        "",
        gateway.version_number,
        _count_slo_ms(plan, now),
        plan.route,
    )
    extra = [(HOP_HEADER, encode_hop_metadata(hop)), (DEPTH_HEADER, b"%d" % head.depth)]
    if told_limit is not None:
        extra.append((LIMIT_HEADER, encode_told_limit(told_limit)))
    if plan.is_call:
        extra.append((CALL_HEADER, IS_CALL))
    if sender.attempts.has_lost_attempt:
        extra.append((LOST_HEADER, HAS_LOST_ATTEMPT))
    if not sender.may_wait:
        extra.append((WAIT_HEADER, MAY_NOT_WAIT))
    if plan.tenant:
        extra.append((TENANT_HEADER, encode_value(plan.tenant)))
    return build_hop_head(head, extra, expect)


def _make_server_head(exchange: Any) -> bytes:
    """Return the head for the local backend server."""
    head, plan, gateway = exchange.head, exchange.plan, exchange.gateway
    header_names = gateway.header_names
    left_ms = _count_left_ms(plan.deadline, gateway.now())
    headers: list[Header] = [(header_names.deadline, b"%d" % left_ms)]
    if header_names.target:
        headers.append((header_names.target, encode_value(gateway.own_record.instance)))
    if header_names.origin:
        headers.append((header_names.origin, encode_value(exchange.origin)))
    if header_names.tenant and plan.tenant:
        headers.append((header_names.tenant, encode_value(plan.tenant)))
    headers.append((DEPTH_HEADER, b"%d" % (head.depth + 1)))
    return build_hop_head(head, headers)


def _count_left_ms(deadline: float, now: float) -> int:
    """Return the time left in whole milliseconds, at least 1."""
    return max(1, round((deadline - now) * MS_PER_SECOND))


def _count_slo_ms(plan: RequestPlan, now: float) -> int:
    """Return the milliseconds left to meet the objective.

    :returns: at least 1, or 0 without an objective.
    """
    if plan.slo_deadline == float("inf"):
        return 0
    left_ms = round((plan.slo_deadline - now) * MS_PER_SECOND)
    return max(1, left_ms - HOP_MARGIN_MS)
