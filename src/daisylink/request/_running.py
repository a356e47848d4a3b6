"""Recognizes the calls that a backend server makes for a request that it runs.

It is designed for chains of services under overload: a request that waits for a call
holds a slot the whole time, so a call that is late or refused wastes what was already
done for its parent. A call enters at the node beside the server that makes it, and its
request id is its parent's with a separator and a suffix.
"""

from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.request._outcome import Refusal, make_refusal
from daisylink.request._plan import RequestPlan

# Requests of which it is remembered that they were given up, and for how long. Their
# server may run for a while after that.
MAX_ABANDONED = 4096
ABANDONED_SECONDS = 10.0
MAX_SUFFIX_PARTS = 4


class _Run(NamedTuple):
    """A request that the local server runs, and how many runs have its id."""

    plan: RequestPlan
    count: int


class RunningRequests:
    """Requests that the local backend server runs now, by id.

    :param separator: stands between the id of the parent and the suffix of a call,
        empty if calls are not recognized.
    """

    def __init__(self, separator: bytes):
        self.separator = separator
        self.runs: dict[bytes, _Run] = {}
        # When they were given up, by id, the latest last.
        self.abandoned: dict[bytes, float] = {}
        self.calls = 0
        self.orphans = 0

    def begin(self, request_id: bytes, plan: RequestPlan) -> None:
        """Note that the server runs a request."""
        if not self.separator or not request_id:
            return
        run = self.runs.get(request_id)
        self.abandoned.pop(request_id, None)
        self.runs[request_id] = _Run(plan, run.count + 1 if run is not None else 1)

    def end(self, request_id: bytes, is_answered: bool, now: float) -> None:
        """Note that a run of a request has ended.

        :param is_answered: whether the server answered. What it calls after that is
            not for the request; otherwise its calls are of no use to anyone.
        :param now: seconds of the monotonic clock.
        """
        run = self.runs.pop(request_id, None)
        if run is None:
            return
        if run.count > 1:
            self.runs[request_id] = run._replace(count=run.count - 1)
        elif not is_answered:
            self.abandoned.pop(request_id, None)
            self.abandoned[request_id] = now
            if len(self.abandoned) > MAX_ABANDONED:
                del self.abandoned[next(iter(self.abandoned))]

    def is_call(self, request_id: bytes) -> bool:
        """Return whether an id is that of a call of a known request."""
        return bool(self._find_parent_id(request_id))

    def plan_call(
        self, request_id: bytes, plan: RequestPlan, now: float
    ) -> RequestPlan | Refusal:
        """Return the plan of a request, by its parent's if it is a call of one.

        :param now: seconds of the monotonic clock.
        :returns: the plan, or a refusal if nobody can use the response any more.
        """
        parent_id = self._find_parent_id(request_id)
        if not parent_id:
            return plan
        run = self.runs.get(parent_id)
        is_gone = run is None and self._is_abandoned(parent_id, now)
        if is_gone or (run is not None and run.plan.deadline <= now):
            self.orphans += 1
            return make_refusal(ResultCode.REQUEST_DEADLINE_NOT_RUN)
        if run is None:
            return plan
        self.calls += 1
        return inherit_plan(plan, run.plan)

    def _find_parent_id(self, request_id: bytes) -> bytes:
        """Return the id of the known request that a call is made for, empty if none."""
        if not self.separator:
            return b""
        parent_id = request_id.rpartition(self.separator)[0]
        # A suffix may contain the separator too.
        for _ in range(MAX_SUFFIX_PARTS):
            if not parent_id or parent_id in self.runs or parent_id in self.abandoned:
                break
            parent_id = parent_id.rpartition(self.separator)[0]
        else:
            return b""
        return parent_id

    def _is_abandoned(self, request_id: bytes, now: float) -> bool:
        given_up_at = self.abandoned.get(request_id, float("-inf"))
        return now - given_up_at < ABANDONED_SECONDS


def inherit_plan(plan: RequestPlan, parent: RequestPlan) -> RequestPlan:
    """Return the plan of a call with its parent's priority and end of objective.

    The call's own objective does not count: a response after it is still of use as long
    as the parent can be answered in time.
    """
    slo_deadline = parent.slo_deadline
    if slo_deadline == float("inf"):
        slo_deadline = plan.slo_deadline
    return plan._replace(
        priority=parent.priority,
        deadline=min(plan.deadline, parent.deadline),
        slo_deadline=slo_deadline,
        is_call=True,
    )
