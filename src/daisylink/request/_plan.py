"""What the version in force says of one request; fixed for the request's life."""

from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.request._head import RequestHead
from daisylink.request._outcome import Refusal, refuse
from daisylink.version import Priority, Version

MAX_DEPTH = 16
MILLISECONDS = 1000
KILOBYTE = 1024
NOT_READY_RETRY_MS = 1000


class RequestPlan(NamedTuple):
    """How a request is to be served.

    :param deadline: seconds of the monotonic clock.
    :param version: number of the version it began with.
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


def plan_request(
    head: RequestHead, version: Version | None, now: float
) -> RequestPlan | Refusal:
    """Plan a caller's request by a version, or refuse it."""
    if version is None:
        return refuse(ResultCode.REQUEST_NOT_READY, NOT_READY_RETRY_MS)
    if head.depth > MAX_DEPTH:
        return refuse(ResultCode.REQUEST_TOO_DEEP)
    entry = version.table.find_route(head.host, head.path)
    if entry is None:
        return refuse(ResultCode.REQUEST_NO_ROUTE)
    route = entry.route
    if route.methods and head.method.decode("latin-1") not in route.methods:
        return refuse(ResultCode.REQUEST_METHOD)
    body_limit = route.body_limit_kb * KILOBYTE
    if head.length is not None and head.length > body_limit:
        return refuse(ResultCode.REQUEST_BODY_TOO_LARGE)
    deadline_ms = entry.deadline_ms
    if head.deadline_ms is not None:
        deadline_ms = min(deadline_ms, head.deadline_ms)
    return RequestPlan(
        service=entry.service.name,
        pool=entry.pool.name,
        idempotent=route.idempotent,
        priority=route.priority,
        deadline=now + deadline_ms / MILLISECONDS,
        body_limit=body_limit,
        version=version.number,
        slots=entry.pool.slots,
        slo_ms=entry.service.slo_ms,
    )


def plan_relayed(head: RequestHead, now: float) -> RequestPlan:
    """Plan a request that an entry node planned already."""
    hop = head.hop
    return RequestPlan(
        service="",
        pool=hop.pool,
        idempotent=hop.idempotent,
        priority=hop.priority,
        deadline=now + hop.deadline_ms / MILLISECONDS,
        body_limit=head.length if head.length is not None else 2**62,
        version=0,
        slots=0,
        slo_ms=0,
    )
