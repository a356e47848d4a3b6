"""Decides on the steps of one service's rollout, at the fleet's controller.

It is designed for a service with 24 servers of each version, 350 requests a second and
a time limit of 12 to 16 s. A verdict of good leaves time for two steps of traffic and
for the requests in flight at the old servers.
"""

import math
from typing import NamedTuple

from msgspec.structs import replace

from daisylink.rollout._evidence import KindCounts, subtract
from daisylink.rollout._exposure import Exposure, ExposureSettings
from daisylink.rollout._gate import UNLIMITED
from daisylink.rollout._judge import Judge
from daisylink.rollout._messages import EvidenceReply, EvidenceReport
from daisylink.rollout._order import RolloutState, Step


class ControllerSettings(NamedTuple):
    """Times of a rollout, in seconds.

    :param observe: how long the target version is observed before a verdict of good;
        bad versions become bad up to 5 s after their start.
    :param short_observe: the same when the time limit is near.
    :param min_elapsed_share: part of the time limit before which there is none.
    :param finish: time before the limit at which the old servers get nothing more.
    :param shift: longest time of one step of traffic, and shortest.
    :param decide: time before the limit at which an undecided rollout is decided; what
        is in flight then has some time to end.
    :param complete: time before the limit at which nodes that have not confirmed are
        no longer waited for.
    :param settle: how long a controller collects before it judges new responses, as
        the old servers' usual times have to be known.
    :param silent: a node that did not report for so long gets no canary's requests.
    """

    observe: float = 5.2
    short_observe: float = 3.0
    min_elapsed_share: float = 0.5
    finish: float = 3.2
    shift: tuple[float, float] = (0.6, 0.3)
    decide: float = 1.2
    complete: float = 0.25
    settle: float = 0.7
    silent: float = 1.0


DEFAULT_SETTINGS = ControllerSettings()
DEFAULT_EXPOSURE = ExposureSettings()
# Share of the requests that entry nodes send to the canaries; allowances bound it.
CANARY_DRAW = 0.14
SHIFT_SHARES = (0.35, 0.7)
# Load at which canaries are to run: bad versions may be bad only with nearly all slots
# in use.
CANARY_LOAD = 0.8
MAX_CANARIES = 3
# After so many requests the next servers become canaries, so that a slow machine does
# not stand for a version.
REQUESTS_PER_CANARY = 80
# Time that an allowance has to last: reports are 0.3 s apart and may be lost.
ALLOWANCE_RESERVE_SECONDS = 0.9
MIN_WANTED = 6
# Slots of the target version for each slot in use, and for each slot of the old
# servers, one of which is enough.
SLOTS_PER_RUNNING = 1.1
SLOTS_PER_OLD_SLOT = 0.9
DEFAULT_SLOTS = 8
# A controller that begins later after the order has taken over from another one.
SUCCESSOR_SECONDS = 2.0


class ServerView(NamedTuple):
    """A server of the service, by its node's member record.

    :param is_serving: whether it accepts new requests.
    """

    node: str
    version: str
    slots: int
    is_serving: bool


class ServiceRollout:
    """The rollout of one service.

    :param state: the stored state.
    :param started_at: when the order was given, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        state: RolloutState,
        started_at: float,
        now: float,
        settings: ControllerSettings = DEFAULT_SETTINGS,
        exposure_settings: ExposureSettings = DEFAULT_EXPOSURE,
    ):
        self.state = state
        self.settings = settings
        self.started_at = started_at
        self.began_at = now
        self.exposure = Exposure(exposure_settings, state.granted)
        self.judge = Judge()
        self.reports: dict[str, tuple[EvidenceReport, float]] = {}
        # Evidence of each server by kind that the judge has, and its total responses.
        self.counted: dict[str, dict[str, KindCounts]] = {}
        self.totals: dict[str, dict[str, int]] = {}
        self.first_new_at = float("inf")
        if state.observed_from >= 0:
            self.first_new_at = started_at + state.observed_from
        self.admitted_at_choice = 0
        self.step_at = now
        self.is_successor = now - started_at > SUCCESSOR_SECONDS

    @property
    def limit_at(self) -> float:
        """Return the time limit, in seconds of the monotonic clock."""
        return self.started_at + self.state.duration

    @property
    def requests(self) -> int:
        """Return the number of the service's requests since the order."""
        return sum(sum(kinds.values()) for kinds in self.totals.values())

    def adopt(self, state: RolloutState, now: float) -> None:
        """Continue from a state that the store holds now."""
        if (state.step, state.share) != (self.state.step, self.state.share):
            self.step_at = now
        self.state = state
        self.exposure.ceiling = max(self.exposure.ceiling, state.granted)

    def handle_report(self, report: EvidenceReport, now: float) -> EvidenceReply | None:
        """Handle a node's report; return the reply, None if it is of no use here."""
        state = self.state
        if report.order != state.order:
            return None
        known = self.reports.get(report.node)
        if known is not None and known[0].sent_at > report.sent_at:
            return None
        self.reports[report.node] = report, now
        self._count(report, now)
        limit = 0
        if state.is_target(report.version):
            limit = self._find_limit(report)
        return EvidenceReply(
            report.service,
            state.order,
            report.start,
            state.step.value,
            report.sent_at,
            limit,
        )

    def decide(self, servers: list[ServerView], now: float) -> RolloutState | None:
        """Return the state that is to be written now, None to stay.

        :param servers: the service's servers.
        """
        state = self.state
        if state.is_ended:
            return None
        if self.judge.is_bad:
            return self._end(Step.ROLLED_BACK, self.judge.suspicion.describe(), now)
        match state.step:
            case Step.CANARY:
                found = self._decide_canary(servers, now)
            case Step.SHIFT:
                found = self._decide_shift(servers, now)
            case _:
                found = self._decide_finish(servers, now)
        is_same = found is None or found.step is state.step
        if is_same and now >= self._find_decision_time(state.step):
            return self._decide_late(servers, now)
        if found is None or found == state:
            return None
        return self._stamp(found, now)

    def abandon(self, reason: str, now: float) -> RolloutState:
        """Return the state of a rollout that cannot go on."""
        return self._end(Step.ROLLED_BACK, reason, now)

    # Steps

    def _decide_canary(
        self, servers: list[ServerView], now: float
    ) -> RolloutState | None:
        state = self.state
        if not any(state.is_old(server.version) for server in servers):
            if self._has_capacity(servers):
                return replace(
                    state, step=Step.FINISH, share=1.0, reason="no old servers"
                )
            return None
        if self._is_good(now):
            if self._must_finish(now) and self._has_capacity(servers):
                return replace(state, step=Step.FINISH, share=1.0, reason="good, late")
            return replace(state, step=Step.SHIFT, share=SHIFT_SHARES[0], reason="good")
        canaries = self._choose_canaries(servers, now)
        ceiling = self.exposure.find_ceiling(self.requests)
        if canaries == state.canaries and ceiling == state.granted:
            return None
        return replace(
            state,
            canaries=canaries,
            boosted=tuple(self.judge.list_boosted()),
            share=CANARY_DRAW if canaries else 0.0,
            granted=ceiling,
        )

    def _decide_shift(
        self, servers: list[ServerView], now: float
    ) -> RolloutState | None:
        state = self.state
        longest, shortest = self.settings.shift
        left = self.limit_at - self.settings.finish - now
        if now - self.step_at < max(shortest, min(longest, left)):
            return None
        larger = [share for share in SHIFT_SHARES if share > state.share]
        if larger and left > shortest:
            return replace(state, share=larger[0])
        if self._has_capacity(servers) and not self.judge.is_doubtful:
            return replace(state, step=Step.FINISH, share=1.0, reason="good")
        return None

    def _decide_finish(
        self, servers: list[ServerView], now: float
    ) -> RolloutState | None:
        if self._list_unconfirmed(servers):
            return None
        return replace(self.state, step=Step.COMPLETED, reason="all confirmed")

    def _decide_late(self, servers: list[ServerView], now: float) -> RolloutState:
        """End a rollout at its time limit."""
        missing = self.judge.list_missing()
        if self.state.step is Step.FINISH:
            nodes = ", ".join(self._list_unconfirmed(servers))
            return self._end(Step.COMPLETED, f"limit; unconfirmed: {nodes}", now)
        if not math.isfinite(self.first_new_at):
            reason = "limit; no response of the target version"
        elif self.judge.is_doubtful:
            reason = f"limit; {self.judge.suspicion.describe()}"
        elif missing:
            reason = f"limit; too little known of {', '.join(missing)}"
        elif not self._has_capacity(servers):
            reason = "limit; too few servers of the target version"
        else:
            return self._stamp(
                replace(self.state, step=Step.FINISH, share=1.0, reason="limit; good"),
                now,
            )
        return self._end(Step.ROLLED_BACK, reason, now)

    def _end(self, step: Step, reason: str, now: float) -> RolloutState:
        share = 1.0 if step is Step.COMPLETED else 0.0
        state = self.state
        rejected = state.rejected
        if step is Step.ROLLED_BACK and state.target not in rejected:
            rejected = (*rejected, state.target)
        return self._stamp(
            replace(state, step=step, share=share, reason=reason, rejected=rejected),
            now,
        )

    def _stamp(self, state: RolloutState, now: float) -> RolloutState:
        observed_from = state.observed_from
        if math.isfinite(self.first_new_at):
            observed_from = round(self.first_new_at - self.started_at, 3)
        elapsed = round(now - self.started_at, 3)
        return replace(state, elapsed=elapsed, observed_from=observed_from)

    # Conditions

    def _is_good(self, now: float) -> bool:
        settings = self.settings
        # A controller that took over has had less time to collect.
        needs_fewer = self.is_successor and self._must_finish(now)
        self.judge.note_enough(now, needs_fewer)
        if self.judge.is_doubtful or self.judge.list_missing(needs_fewer):
            return False
        if not self.judge.has_waited_for_slow(now):
            return False
        if now - self.started_at < settings.min_elapsed_share * self.state.duration:
            return False
        # Two short steps of traffic have to fit before the old servers get nothing.
        is_late = now >= self.limit_at - settings.finish - 2 * settings.shift[0]
        observe = settings.short_observe if is_late else settings.observe
        return now - self.first_new_at >= observe

    def _find_decision_time(self, step: Step) -> float:
        """Return when a rollout that is still at a step is decided."""
        settings = self.settings
        is_finishing = step is Step.FINISH
        return self.limit_at - (settings.complete if is_finishing else settings.decide)

    def _must_finish(self, now: float) -> bool:
        return now >= self.limit_at - self.settings.finish

    def _has_capacity(self, servers: list[ServerView]) -> bool:
        """Return whether the target version's servers can bear the whole traffic."""
        state = self.state
        new = old = 0
        for server in servers:
            if not server.is_serving:
                continue
            if state.is_target(server.version):
                new += server.slots or DEFAULT_SLOTS
            elif state.is_old(server.version):
                old += server.slots or DEFAULT_SLOTS
        running = sum(report.running for report, _ in self.reports.values())
        needed = min(running * SLOTS_PER_RUNNING, old * SLOTS_PER_OLD_SLOT)
        return new > 0 and new >= needed

    def _list_unconfirmed(self, servers: list[ServerView]) -> list[str]:
        """Return the nodes of other servers that may have requests in flight."""
        unconfirmed = []
        for server in servers:
            if self.state.is_target(server.version):
                continue
            report = self.reports.get(server.node)
            is_idle = report is not None and not report[0].running
            if not is_idle or report[0].step != Step.FINISH:
                unconfirmed.append(server.node)
        return unconfirmed

    def _choose_canaries(
        self, servers: list[ServerView], now: float
    ) -> tuple[str, ...]:
        """Return the servers that take the canary's requests: few, so they are busy."""
        found = []
        for server in servers:
            report = self.reports.get(server.node)
            if report is None or now - report[1] > self.settings.silent:
                continue
            if server.is_serving and self.state.is_target(server.version):
                found.append((server, report[0]))
        present = {server.node: report for server, report in found}
        current = self.state.canaries
        admitted = sum(report.admitted for report in present.values())
        if current and all(node in present for node in current):
            used = admitted - self.admitted_at_choice
            if used < REQUESTS_PER_CANARY * len(current):
                return current
        found.sort(key=lambda item: (item[1].is_cold, item[1].admitted, item[0].node))
        chosen = [server.node for server, _ in found]
        slots = found[0][0].slots or DEFAULT_SLOTS if found else DEFAULT_SLOTS
        self.admitted_at_choice = admitted
        return tuple(sorted(chosen[: self._count_canaries(slots, now)]))

    def _count_canaries(self, slots: int, now: float) -> int:
        work = self._canary_rate(now) * self.judge.compute_mean_seconds()
        return max(1, min(MAX_CANARIES, round(work / (slots * CANARY_LOAD))))

    def _canary_rate(self, now: float) -> float:
        elapsed = max(1.0, now - self.started_at)
        exposure = self.exposure.settings
        return (self.requests * exposure.share + exposure.slack) / elapsed

    # Evidence and allowances

    def _count(self, report: EvidenceReport, now: float) -> None:
        server = report.server
        totals = self.totals.setdefault(server, {})
        for kind, counts in report.kinds.items():
            totals[kind] = counts.responses
        is_new = self.state.is_target(report.version)
        if is_new and now - self.began_at < self.settings.settle:
            return
        known = self.counted.setdefault(server, {})
        added = {
            kind: subtract(counts, known.get(kind))
            for kind, counts in report.kinds.items()
        }
        known.update(report.kinds)
        if is_new:
            self.judge.add_new(added)
            if report.kinds:
                self.first_new_at = min(self.first_new_at, now)
        elif self.state.is_old(report.version):
            self.judge.add_old(added, now)

    def _find_limit(self, report: EvidenceReport) -> int:
        """Return the allowance of a server of the target version."""
        state = self.state
        if self.judge.is_bad:
            return 0
        if state.step in (Step.SHIFT, Step.FINISH):
            return UNLIMITED
        server = report.server
        self.exposure.learn(server, report.limit)
        if report.node not in state.canaries:
            return self.exposure.limits[server]
        rate = self._canary_rate(self.reports[report.node][1])
        wanted = math.ceil(rate * ALLOWANCE_RESERVE_SECONDS / len(state.canaries))
        return self.exposure.grant(server, report.admitted, max(MIN_WANTED, wanted))
