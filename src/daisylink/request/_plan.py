"""Plans a request by the version in force; the plan does not change afterwards."""

from collections.abc import Callable
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.request._authorization import NoKey, UnknownKey, authorize
from daisylink.request._head import RequestHead
from daisylink.request._outcome import Refusal, make_refusal
from daisylink.request._request_age import AgeEstimator
from daisylink.version import (
    Priority,
    Route,
    RouteEntry,
    RouteTarget,
    Tenant,
    Version,
)

MAX_DEPTH = 16
MAX_ATTEMPTS = 4
MS_PER_SECOND = 1000
KILOBYTE = 1024
# A starting node installs its first version after a few calls to the store.
NOT_READY_RETRY_MS = 250


class RequestPlan(NamedTuple):
    """How a request is served.

    :param service: name of the service, "" if another node planned the request.
    :param pool: name of the pool that serves the request.
    :param idempotent: whether the request may run more than once.
    :param deadline: seconds of the monotonic clock.
    :param body_limit: largest request body in bytes.
    :param version: number of the version that the plan follows, 0 if another node
        planned the request.
    :param slots: slots of a server of the pool, where its record states none.
    :param slo_ms: latency objective in milliseconds, 0 for none; for a relayed request
        the milliseconds that were left of it at the entry node.
    :param route: name of the route, "" if another node planned it.
    :param origin: service of the node where a relayed request entered.
    :param max_attempts: maximum number of attempts that reach a backend server.
    :param slo_deadline: until when a response meets the objective, in seconds of the
        monotonic clock.
    :param tenant: name of the tenant whose API key the request carries, "" for none.
    :param is_call: whether a backend server makes the request for one that it runs,
        which holds a slot until the response.
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
    max_attempts: int = MAX_ATTEMPTS
    slo_deadline: float = float("inf")
    tenant: str = ""
    is_call: bool = False


def first_target(entry: RouteEntry) -> RouteTarget:
    """Return the first target of a route."""
    return entry.targets[0]


def plan_request(
    head: RequestHead,
    version: Version | None,
    now: float,
    pick: Callable[[RouteEntry], RouteTarget] = first_target,
    ages: AgeEstimator | None = None,
) -> RequestPlan | Refusal:
    """Plan a caller's request, or refuse it.

    What a caller is estimated to have spent on earlier attempts counts against the
    objective.

    :param version: the version in force, None before the first one.
    :param now: seconds of the monotonic clock.
    :param pick: chooses a target of a split route.
    :param ages: estimates the age of the request; without it, a caller that states a
        shorter deadline than the route's has spent the difference.
    """
    if version is None:
        return make_refusal(ResultCode.REQUEST_NOT_READY, NOT_READY_RETRY_MS)
    if head.depth > MAX_DEPTH:
        return make_refusal(ResultCode.REQUEST_TOO_DEEP)
    entry = version.route_table.find_route(head.host, head.path)
    tenant = None
    if not version.tenants.is_empty:
        match authorize(head.headers, version.tenants):
            case Tenant() as tenant:
                pass
            case UnknownKey():
                return make_refusal(ResultCode.REQUEST_API_KEY_UNKNOWN)
            case NoKey() if entry is not None and not entry.route.admits_anonymous:
                return make_refusal(ResultCode.REQUEST_API_KEY_MISSING)
    if entry is None:
        return make_refusal(ResultCode.REQUEST_NO_ROUTE)
    route = entry.route
    if route.methods and head.method.decode("latin-1") not in route.methods:
        return make_refusal(ResultCode.REQUEST_METHOD)
    body_limit = min(route.body_limit_kb * KILOBYTE, version.limits.body_bytes)
    if head.length is not None and head.length > body_limit:
        return make_refusal(ResultCode.REQUEST_BODY_TOO_LARGE)
    deadline_ms = entry.deadline_ms
    if head.deadline_ms is not None:
        deadline_ms = min(deadline_ms, head.deadline_ms)
    target = pick(entry)
    slo_ms = route.slo_ms or target.service.slo_ms
    spent_ms = entry.deadline_ms - deadline_ms
    if ages is not None:
        spent_ms = ages.estimate_ms(
            route.name, entry.deadline_ms, head.deadline_ms, now
        )
    slo_left_ms = max(1, slo_ms - spent_ms) if slo_ms else 0
    return RequestPlan(
        service=target.service.name,
        pool=target.pool.name,
        idempotent=route.idempotent,
        priority=_choose_priority(route, tenant),
        deadline=now + deadline_ms / MS_PER_SECOND,
        body_limit=body_limit,
        version=version.number,
        slots=target.pool.slots,
        slo_ms=slo_ms,
        route=route.name,
        max_attempts=route.max_attempts or MAX_ATTEMPTS,
        slo_deadline=_find_end(now, slo_left_ms),
        tenant=tenant.name if tenant is not None else "",
    )


def plan_relayed(head: RequestHead, now: float) -> RequestPlan:
    """Plan a relayed request by the metadata of its entry node."""
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
        tenant=head.tenant,
        is_call=head.is_call,
    )


def _choose_priority(route: Route, tenant: Tenant | None) -> Priority:
    """Return the tenant's priority if it has one, otherwise the route's."""
    if tenant is None or tenant.priority is None:
        return route.priority
    return tenant.priority


def _find_end(now: float, milliseconds: int) -> float:
    """Return when a duration ends, infinity for a duration of 0."""
    return now + milliseconds / MS_PER_SECOND if milliseconds else float("inf")
