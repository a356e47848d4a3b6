"""Places a request at a server with a free slot, by asking a few.

It is designed for fleets in which a node hears from a given server twice a minute: its
reports tell which servers are fast, but not which are free. A request is therefore sent
to a server that may decline it at once. Only if several have does it wait, at the one
of them that is expected to answer first by what they have just reported. Each answer
costs two nodes time, so requests ask as often as servers turn out to be free.
"""

from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.request import RequestPlan, SlotSearch
from daisylink.rollout import Side
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.serving._pool_answers import PROBE_SHARE, PoolAnswers
from daisylink.serving._records import MemberRecord

# Servers that a request asks for a free slot, in the own zone and in all.
MAX_ASKED_NEAR = 2
MAX_ASKED = 3
# Weight of one answer in the share of servers that decline.
ANSWER_WEIGHT = 0.1
# Share of the requests that ask although hardly any server is free, to notice the next
# one that is.
MIN_ASKING_SHARE = 0.05
# Servers of which the one that is expected to be the fastest is asked. If all of them
# were compared, every node would ask the same few.
MAX_COMPARED_TO_ASK = 4
# Age of a request that returns, as a share of its objective.
RETURNING_AGE_SHARE = 0.05
# Service time of a fast server, relative to the usual one.
FAST_SERVER_TIME = 0.5
# Time in which no attempt can succeed: it would end with an unknown outcome.
MIN_ATTEMPT_SECONDS = 0.01
MS_PER_SECOND = 1000


class Placement(NamedTuple):
    """Where a request is sent next.

    :param may_wait: whether it may wait there, False if it goes elsewhere when no slot
        is free.
    """

    record: MemberRecord
    may_wait: bool


class Placer:
    """Chooses the server for each attempt of a request.

    :param balancer: knows the servers and how soon each is expected to answer.
    """

    def __init__(self, balancer: LoadBalancer):
        self.balancer = balancer
        self.declined_shares: dict[str, float] = {}
        self.answers = PoolAnswers()
        self.refused_at_once = 0

    def place(
        self, plan: RequestPlan, search: SlotSearch, now: float
    ) -> Placement | None:
        """Choose the server for a request's next attempt.

        :param search: the servers that the request was sent to before.
        :param now: seconds of the monotonic clock.
        :returns: the placement, or None if no server is left.
        """
        rollouts = self.balancer.rollouts
        if rollouts.get(plan.pool) is None:
            search.side = Side.ANY
            return self._place(plan, search, now)
        search.side = rollouts.draw_side(
            plan.pool, plan.route, is_retry=not search.is_new
        )
        self._forget_unusable(plan, search)
        placement = self._place(plan, search, now)
        if placement is None:
            other = rollouts.find_other_side(plan.pool, search.side)
            if other is not None:
                search.side = other
                placement = self._place(plan, search, now)
        return placement

    def _forget_unusable(self, plan: RequestPlan, search: SlotSearch) -> None:
        """Do not wait at a server that has declined and that the rollout left out."""
        for node, record in list(search.declined.items()):
            if not self.balancer.rollouts.is_candidate(
                plan.pool, search.side, node, record.software_version
            ):
                search.record_tried(node)

    def _place(
        self, plan: RequestPlan, search: SlotSearch, now: float
    ) -> Placement | None:
        if search.is_new and not self._draw_asking(plan.pool):
            search.may_ask = False
        search.is_new = False
        if search.may_ask:
            record = self._choose_to_ask(plan, search, now)
            if record is not None:
                return Placement(record, may_wait=self._is_last(plan, search))
            search.may_ask = False
        record = self._choose_to_wait(plan, search, now)
        return Placement(record, may_wait=True) if record is not None else None

    def record_answer(self, pool: str, declined: bool) -> None:
        """Record whether a server that was asked for a free slot declined."""
        share = self.declined_shares.get(pool, 0.0)
        self.declined_shares[pool] = share + ANSWER_WEIGHT * (declined - share)

    def record_served(self, plan: RequestPlan, may_wait: bool, now: float) -> None:
        """Record a response of a server.

        :param may_wait: whether the request could wait for a slot there.
        """
        if not may_wait:
            self.record_answer(plan.pool, declined=False)
        self.answers.record_served(plan.pool, plan.route, now)

    def record_refused(self, plan: RequestPlan, code: ResultCode, now: float) -> bool:
        """Record an attempt that was not run.

        :returns: whether another attempt may help.
        """
        self.answers.record_refused(plan.pool, plan.route, code, now)
        is_rejected = code is ResultCode.REQUEST_SHED_BY_SERVER
        rejecting = self.answers.is_rejecting(plan.pool, plan.route, now)
        return not (is_rejected and rejecting)

    def _draw_asking(self, pool: str) -> bool:
        """Return whether a new request asks."""
        free_share = 1 - self.declined_shares.get(pool, 0.0)
        return self.balancer.rng.random() < max(MIN_ASKING_SHARE, free_share)

    def cannot_meet_deadline(self, plan: RequestPlan, now: float) -> bool:
        """Return whether even a fast server could not answer before the deadline."""
        usual = self.balancer.response_times.usual_seconds.get(plan.route, 0.0)
        needed = max(usual * FAST_SERVER_TIME, MIN_ATTEMPT_SECONDS)
        return now + needed >= plan.deadline

    def is_pool_full(self, plan: RequestPlan, search: SlotSearch, now: float) -> bool:
        """Return whether the pool is unlikely to have room for a request.

        A request that returns, and some of the new ones, ask one node all the same.

        :param search: the servers that the request was sent to before.
        """
        answers = self.answers
        if search.tried:
            is_full = answers.is_full(plan.pool, plan.route, now)
        elif self._is_returning(plan, now) or plan.is_call:
            return False
        else:
            is_full = answers.is_exhausted(plan.pool, plan.route, now)
            is_full = is_full and self.balancer.rng.random() >= PROBE_SHARE
        self.refused_at_once += is_full
        return is_full

    def _is_returning(self, plan: RequestPlan, now: float) -> bool:
        """Return whether a new request was refused before, by its age."""
        seconds_left = plan.slo_deadline - now
        return seconds_left < plan.slo_ms / MS_PER_SECOND * (1 - RETURNING_AGE_SHARE)

    def _choose_to_ask(
        self, plan: RequestPlan, search: SlotSearch, now: float
    ) -> MemberRecord | None:
        """Return the server to ask next, None if more answers are of no use."""
        if len(search.declined) >= MAX_ASKED or self._is_late(plan, now):
            return None
        own_zone = self.balancer.directory.own_record.zone
        near = [item for item in search.declined.values() if item.zone == own_zone]
        record = self.balancer.choose(
            plan.pool,
            search.excluded,
            plan.slots,
            now,
            plan.route,
            plan.slo_ms / MS_PER_SECOND,
            any_zone=len(near) < MAX_ASKED_NEAR,
            max_compared=MAX_COMPARED_TO_ASK,
            side=search.side,
        )
        if record is None or record.zone == own_zone or not near:
            return record
        best = self._choose_fastest(near, plan, now)
        return record if self._is_remote_worthwhile(record, best, plan, now) else None

    def _choose_to_wait(
        self, plan: RequestPlan, search: SlotSearch, now: float
    ) -> MemberRecord | None:
        """Return the server to wait at: the best of those that have answered."""
        if not search.declined:
            return self.balancer.choose(
                plan.pool,
                search.tried,
                plan.slots,
                now,
                plan.route,
                plan.slo_ms / MS_PER_SECOND,
                side=search.side,
            )
        own_zone = self.balancer.directory.own_record.zone
        declined = search.declined.values()
        near = [item for item in declined if item.zone == own_zone]
        far = [item for item in declined if item.zone != own_zone]
        if not near or not far:
            return self._choose_fastest(near or far, plan, now)
        best_near = self._choose_fastest(near, plan, now)
        best_far = self._choose_fastest(far, plan, now)
        if self._is_remote_worthwhile(best_far, best_near, plan, now):
            return best_far
        return best_near

    def _choose_fastest(
        self, records: list[MemberRecord], plan: RequestPlan, now: float
    ) -> MemberRecord:
        estimate = self.balancer.response_times.estimate_seconds
        return min(
            records, key=lambda item: estimate(item, plan.route, plan.slots, now)
        )

    def _is_remote_worthwhile(
        self, far: MemberRecord, near: MemberRecord, plan: RequestPlan, now: float
    ) -> bool:
        return self.balancer.is_remote_worthwhile(
            far, near, plan.slots, now, plan.route, plan.slo_ms / MS_PER_SECOND
        )

    def _is_late(self, plan: RequestPlan, now: float) -> bool:
        """Return whether the objective is missed at a server of usual speed."""
        usual = self.balancer.response_times.usual_seconds.get(plan.route, 0.0)
        return now + usual > plan.slo_deadline

    def _is_last(self, plan: RequestPlan, search: SlotSearch) -> bool:
        """Return whether no server is left to ask after the next one."""
        asked = len(search.tried) + len(search.declined) + 1
        return not search.declined and asked >= self.balancer.count_servers(
            plan.pool, search.side
        )
