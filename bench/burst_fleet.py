"""A fleet under a burst: the real Placer, Attempts and Admission on an event queue.

Runs with 096c4a2 too, with which docs/design/overload.md compares: what that release
lacks is left out.
"""

import heapq
import itertools
import math
import random

from bench.burst_loads import BURST_FROM, BURST_SECONDS, END
from daisylink.errors import ResultCode
from daisylink.registry import MemberSettings, MemberTable
from daisylink.request import (
    Admitted,
    AttemptRefused,
    Attempts,
    DeadlinePassed,
    GiveUp,
    NoServer,
    Queued,
    Refused,
    RequestPlan,
    RequestPlanned,
    RetryBudget,
    SlotSearch,
)
from daisylink.serving import LoadBalancer, MemberRecord, ServerState
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.serving._placer import Placer

QUEUE = 256
ZONES = 3
ENTRIES = 12
# Share of the remaining time for which callers honour Retry-After.
RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_SECONDS = 0.02


class Entry:
    """An entry node."""

    def __init__(self, number, records, rng):
        own = MemberRecord(f"10.9.0.{number}:1", f"z{number % ZONES}", 1)
        members = MemberTable(MemberSettings(), own, lambda _: 0.0)
        for record in records:
            members.put(record)
        self.balancer = LoadBalancer(members, rng)
        self.placer = Placer(self.balancer)
        self.budget = RetryBudget()


class Caller:
    """A caller's request with its retry.

    :param parent: the request that waits for it, None for none.
    """

    def __init__(self, kind, now, limit, parent=None):
        self.kind = kind
        self.began_at = now
        self.ends_at = now + limit
        self.parent = parent
        self.has_retried = False


class Request:
    """One request as the entry node sees it."""

    def __init__(self, caller, entry, plan, work):
        self.caller = caller
        self.entry = entry
        self.plan = plan
        self.work = work
        self.search = SlotSearch(may_ask=True)
        try:
            self.attempts = Attempts(plan, entry.budget, entry.balancer.rng)
        except TypeError:
            # 096c4a2 does not spread Retry-After and takes no generator.
            self.attempts = Attempts(plan, entry.budget)
        self.node = ""
        self.state = "new"
        self.step = 0
        self.slot_since = 0.0


class Simulation:
    """A fleet under a burst.

    :param has_age: whether entry nodes estimate the age of requests from their limits.
    :param inherits: whether a call takes its urgency from the request that makes it.
    """

    def __init__(self, load, seed=1, has_age=True, inherits=True):
        self.rng = random.Random(seed)
        self.kinds = {kind.name: kind for kind in load.kinds}
        self.inherits = inherits
        self.slots = {}
        records = []
        for pool, (servers, slots) in load.pools.items():
            for number in range(servers):
                record = MemberRecord(
                    f"10.0.{pool}.{number}:1",
                    f"z{number % ZONES}",
                    1,
                    pool=pool,
                    server=ServerState.SERVING,
                    slots=slots,
                )
                records.append(record)
                self.slots[record.node] = slots
        self.admissions = {record.node: Admission() for record in records}
        for node, admission in self.admissions.items():
            admission.open(AdmissionLimits(self.slots[node], 1200, QUEUE))
        self.entries = [Entry(n, records, self.rng) for n in range(ENTRIES)]
        self.ages = make_ages() if has_age else None
        self.order = itertools.count()
        self.events = []
        # Callers by kind and second in which they began: all, and served in time.
        self.asked = {}
        self.in_time = {}
        # Slot time in seconds, by second of its end: of all requests, and of those past
        # their objective.
        self.used = {}
        self.wasted = {}
        self.statuses = {}
        self.hops = 0

    def run(self):
        """Run to the end."""
        for kind in self.kinds.values():
            if kind.per_second:
                self.push(self.rng.expovariate(kind.per_second), "arrive", kind)
        while self.events:
            now, _, event, item = heapq.heappop(self.events)
            if now <= END or event != "arrive":
                getattr(self, event)(item, now)
        return self

    def push(self, at, event, item):
        heapq.heappush(self.events, (at, next(self.order), event, item))

    def arrive(self, kind, now):
        in_burst = BURST_FROM <= now < BURST_FROM + BURST_SECONDS
        rate = kind.per_second * (kind.burst if in_burst else 1.0)
        self.push(now + self.rng.expovariate(rate), "arrive", kind)
        self.ask(Caller(kind, now, kind.limit), now)

    def ask(self, caller, now):
        """Enter a caller's request at a node."""
        kind = caller.kind
        if not caller.has_retried:
            key = (kind.name, int(caller.began_at))
            self.asked[key] = self.asked.get(key, 0) + 1
        entry = self.rng.choice(self.entries)
        sigma = math.sqrt(math.log(1 + kind.spread**2))
        work = self.rng.lognormvariate(math.log(kind.seconds) - sigma**2 / 2, sigma)
        plan = self.plan(caller, now)
        request = Request(caller, entry, plan, work)
        self.push(plan.deadline, "expire_deadline", request)
        self.perform(request, request.attempts.handle(RequestPlanned(), now), now)

    def plan(self, caller, now):
        kind = caller.kind
        stated_ms = max(1, round((caller.ends_at - now) * 1000))
        timeout_ms = round(kind.timeout * 1000)
        age_ms = max(0, timeout_ms - stated_ms)
        if self.ages is not None and caller.parent is None:
            age_ms = self.ages.estimate_ms(kind.name, timeout_ms, stated_ms, now)
        slo_deadline = now + max(0.001, kind.objective - age_ms / 1000)
        plan = RequestPlan(
            service=kind.pool,
            pool=kind.pool,
            idempotent=True,
            priority=kind.priority,
            deadline=now + min(timeout_ms, stated_ms) / 1000,
            body_limit=0,
            version=1,
            slots=3,
            slo_ms=round(kind.objective * 1000),
            route=kind.name,
            slo_deadline=slo_deadline,
        )
        if caller.parent is not None and self.inherits:
            plan = inherit(plan, caller.parent.plan)
        return plan

    def perform(self, request, action, now):
        if isinstance(action, GiveUp):
            self.give_up(request, action.refusal, now)
            return
        entry, plan = request.entry, request.plan
        if entry.placer.cannot_meet_deadline(plan, now):
            event = DeadlinePassed(may_have_run=False)
            self.perform(request, request.attempts.handle(event, now), now)
            return
        if hasattr(entry.placer, "is_pool_full"):
            from daisylink.request import PoolFull

            if entry.placer.is_pool_full(plan, request.search, now):
                self.perform(request, request.attempts.handle(PoolFull(), now), now)
                return
        self.hops += 1
        placement = entry.placer.place(plan, request.search, now)
        if placement is None:
            self.perform(request, request.attempts.handle(NoServer(), now), now)
            return
        request.node = placement.record.node
        request.step += 1
        entry.balancer.begin(request.node)
        decision = self.admit(request, placement.may_wait, now)
        match decision:
            case Admitted():
                if not placement.may_wait:
                    entry.placer.record_answer(plan.pool, declined=False)
                self.begin(request, now)
            case Queued(displaced, expires):
                request.state = "queued"
                self.push(min(expires, 1e9), "expire_wait", (request, request.step))
                if displaced is not None:
                    self.refuse(displaced, ResultCode.REQUEST_OVERLOADED, 200, now)
            case Refused(code, retry_ms):
                self.refuse(request, code, retry_ms, now)

    def admit(self, request, may_wait, now):
        plan = request.plan
        extra = {"is_call": plan.is_call} if hasattr(plan, "is_call") else {}
        if extra:
            extra["tenant"] = plan.tenant
        return self.admissions[request.node].try_admit(
            request,
            plan.priority,
            plan.deadline,
            now,
            plan.slo_deadline,
            plan.route,
            may_wait,
            **extra,
        )

    def refuse(self, request, code, retry_ms, now):
        entry, record = request.entry, request.node
        request.state = "new"
        request.step += 1
        self.report(request, now)
        entry.balancer.end(record)
        found = entry.balancer.directory.serving(request.plan.pool)[record]
        if code is ResultCode.REQUEST_NO_FREE_SLOT:
            request.search.record_declined(found)
            entry.placer.record_answer(request.plan.pool, declined=True)
        else:
            request.search.record_tried(record)
        event = AttemptRefused(code, retry_ms)
        if hasattr(entry.placer, "record_refused"):
            entry.placer.record_refused(request.plan, code, now)
        self.perform(request, request.attempts.handle(event, now), now)

    def begin(self, request, now):
        request.state = "running"
        request.step += 1
        request.slot_since = now
        self.push(now + request.work, "end_work", (request, request.step))

    def end_work(self, item, now):
        request, step = item
        if request.step != step:
            return
        called = request.caller.kind.calls
        if not called:
            self.end(request, True, now)
            return
        request.state = "waiting"
        kind = self.kinds[called]
        limit = request.plan.deadline - now
        self.ask(Caller(kind, now, max(0.001, limit), parent=request), now)

    def end(self, request, is_good, now):
        """End a request that holds a slot."""
        request.step += 1
        request.state = "done"
        self.account(request, now)
        admission = self.admissions[request.node]
        admitted = admission.release(now - request.slot_since, now, request.plan.route)
        self.report(request, now)
        request.entry.balancer.end(request.node)
        if hasattr(request.entry.placer, "record_served"):
            request.entry.placer.record_served(request.plan, True, now)
        self.answer(request, is_good, now)
        for other in admitted:
            self.begin(other, now)
        for other in admission.pop_expired():
            self.refuse(other, ResultCode.REQUEST_OVERLOADED, 0, now)

    def account(self, request, now):
        caller = request.caller
        due = caller.began_at + caller.kind.objective
        if caller.parent is not None:
            parent = caller.parent.caller
            due = parent.began_at + parent.kind.objective
        second = int(now)
        held = now - request.slot_since
        self.used[second] = self.used.get(second, 0.0) + held
        if now > due:
            self.wasted[second] = self.wasted.get(second, 0.0) + held

    def answer(self, request, is_good, now):
        caller = request.caller
        if caller.parent is not None:
            if caller.parent.state == "waiting":
                self.end(caller.parent, is_good, now)
            self.count(caller, is_good, now)
            return
        if is_good:
            self.count(caller, True, now)
        else:
            self.schedule_retry(caller, 0.0, now)

    def count(self, caller, is_good, now):
        if is_good and now - caller.began_at <= caller.kind.objective:
            key = (caller.kind.name, int(caller.began_at))
            self.in_time[key] = self.in_time.get(key, 0) + 1

    def give_up(self, request, refusal, now):
        request.state = "done"
        request.step += 1
        code = refusal.code.name
        self.statuses[code] = self.statuses.get(code, 0) + 1
        if request.caller.parent is not None:
            self.answer(request, False, now)
            return
        self.schedule_retry(request.caller, refusal.retry_ms / 1000, now)

    def schedule_retry(self, caller, retry_seconds, now):
        if caller.has_retried:
            return
        left = caller.ends_at - now
        wait = max(MIN_RETRY_SECONDS, min(retry_seconds, left * RETRY_AFTER_SHARE))
        if left <= wait:
            return
        caller.has_retried = True
        self.push(now + wait, "ask", caller)

    def expire_wait(self, item, now):
        request, step = item
        if request.state == "queued" and request.step == step:
            self.admissions[request.node].withdraw(request)
            self.refuse(request, ResultCode.REQUEST_DEADLINE_NOT_RUN, 0, now)

    def expire_deadline(self, request, now):
        if request.state == "queued":
            self.admissions[request.node].withdraw(request)
            request.entry.balancer.end(request.node)
            self.give_up(
                request,
                request.attempts.handle(DeadlinePassed(False), now).refusal,
                now,
            )
        elif request.state in ("running", "waiting"):
            self.end(request, False, now)

    def report(self, request, now):
        """Pass on the server's load as its responses do."""
        admission = self.admissions[request.node]
        load = (admission.in_use + admission.queued) / self.slots[request.node]
        seconds = admission.get_service_time(request.plan.route)
        request.entry.balancer.response_times.record_report(
            request.node, load, now, seconds, request.plan.route
        )

    def share(self, kind, first, last):
        """Return the share of a kind's callers served in time, by when they began."""
        seconds = range(first, last)
        asked = sum(self.asked.get((kind, second), 0) for second in seconds)
        good = sum(self.in_time.get((kind, second), 0) for second in seconds)
        return good / max(1, asked)

    def wasted_share(self, first, last):
        """Return the share of the slots' time used for requests past objective."""
        seconds = range(first, last)
        used = sum(self.used.get(second, 0.0) for second in seconds)
        return sum(self.wasted.get(second, 0.0) for second in seconds) / max(used, 1.0)


def make_ages():
    """Return an estimator that has seen first attempts only, None if there is none."""
    try:
        from daisylink.request import AgeEstimator
    except ImportError:
        return None
    return AgeEstimator()


def inherit(plan, parent):
    """Return a call's plan by that of its parent, as the server's node makes it."""
    try:
        from daisylink.request import inherit_plan
    except ImportError:
        return plan
    return inherit_plan(plan, parent)
