"""What the version in force says of one request; fixed for the request's life."""

from collections.abc import Callable
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.request._head import RequestHead
from daisylink.request._outcome import Refusal, make_refusal
from daisylink.version import Priority, RouteEntry, RouteTarget, Version

MAX_DEPTH = 16
MAX_ATTEMPTS = 4
MS_PER_SECOND = 1000
KILOBYTE = 1024
# A node that starts knows a version after a few calls to the store.
NOT_READY_RETRY_MS = 250


class RequestPlan(NamedTuple):
    """How a request is to be served.

    :param deadline: seconds of the monotonic clock.
    :param version: number of the version it began with.
    :param route: name of the route, "" if another node planned it.
    :param origin: service beside the node at which the request began.
    :param instance: backend server that alone may run it, "" for any.
    :param max_attempts: servers that it may reach.
    :param slo_deadline: until when an answer meets the objective, in monotonic seconds.
    """

    service: str
    pool: str
    idempotent: bool
    priority: Priority
    deadline: float
    body_limit: int
    version: int
    slots: int
    slo_ms: int
    route: str = ""
    origin: str = ""
    instance: str = ""
    max_attempts: int = MAX_ATTEMPTS
    slo_deadline: float = float("inf")


def first_target(entry: RouteEntry) -> RouteTarget:
    """Return the first target of a route."""
    return entry.targets[0]


def plan_request(
    head: RequestHead,
    version: Version | None,
    now: float,
    pick: Callable[[RouteEntry], RouteTarget] = first_target,
) -> RequestPlan | Refusal:
    """Plan a caller's request by a version, or refuse it.

    A caller that states less time than the route gives has spent the rest already, in
    earlier attempts; that counts against the objective.

    :param pick: chooses a target of a split route.
    """
    if version is None:
        return make_refusal(ResultCode.REQUEST_NOT_READY, NOT_READY_RETRY_MS)
    if head.depth > MAX_DEPTH:
        return make_refusal(ResultCode.REQUEST_TOO_DEEP)
    entry = version.route_table.find_route(head.host, head.path)
    if entry is None:
        return make_refusal(ResultCode.REQUEST_NO_ROUTE)
    route = entry.route
    if route.methods and head.method.decode("latin-1") not in route.methods:
        return make_refusal(ResultCode.REQUEST_METHOD)
    body_limit = route.body_limit_kb * KILOBYTE
    if head.length is not None and head.length > body_limit:
        return make_refusal(ResultCode.REQUEST_BODY_TOO_LARGE)
    deadline_ms = entry.deadline_ms
    if head.deadline_ms is not None:
        deadline_ms = min(deadline_ms, head.deadline_ms)
    target = pick(entry)
    slo_ms = route.slo_ms or target.service.slo_ms
    spent_ms = entry.deadline_ms - deadline_ms
    slo_left_ms = max(1, slo_ms - spent_ms) if slo_ms else 0
    return RequestPlan(
        service=target.service.name,
        pool=target.pool.name,
        idempotent=route.idempotent,
        priority=route.priority,
        deadline=now + deadline_ms / MS_PER_SECOND,
        body_limit=body_limit,
        version=version.number,
        slots=target.pool.slots,
        slo_ms=slo_ms,
        route=route.name,
        max_attempts=route.max_attempts or MAX_ATTEMPTS,
        slo_deadline=_find_end(now, slo_left_ms),
    )


def plan_relayed(head: RequestHead, now: float) -> RequestPlan:
    """Plan a request that an entry node planned already."""
    hop = head.hop_metadata
    return RequestPlan(
        service="",
        pool=hop.pool,
        idempotent=hop.idempotent,
        priority=hop.priority,
        deadline=now + hop.deadline_ms / MS_PER_SECOND,
        body_limit=head.length if head.length is not None else 2**62,
        version=0,
        slots=0,
        slo_ms=hop.slo_ms,
        route=hop.route,
        slo_deadline=_find_end(now, hop.slo_ms),
        origin=hop.origin,
        instance=hop.instance,
    )


def _find_end(now: float, milliseconds: int) -> float:
    """Return when a time is over; 0 stands for none."""
    return now + milliseconds / MS_PER_SECOND if milliseconds else float("inf")
