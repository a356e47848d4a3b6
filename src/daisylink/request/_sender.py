"""Sends one request to one server after another until it is answered or given up.

A :class:`RequestSender` passes what happens to an attempt to the objects that decide,
and carries out their decisions on the connection to the next hop.
"""

from typing import Any

from daisylink.errors import ResultCode
from daisylink.request._attempts import (
    Action,
    AttemptLost,
    AttemptRefused,
    Attempts,
    DeadlinePassed,
    GiveUp,
    NoServer,
    PoolFull,
    RequestPlanned,
    Try,
)
from daisylink.request._body import MAX_REPLAY_BYTES
from daisylink.request._decision import ClaimOutcome, RunResult
from daisylink.request._local_run import LocalRun
from daisylink.request._next_hop_head import make_next_hop_head
from daisylink.request._outcome import (
    FINAL_CODES,
    NOT_SERVING_CODES,
    Outcome,
    Refusal,
    make_refusal,
)
from daisylink.request._quarantine_check import EntryCheck, describe_lost
from daisylink.request._response import ResponseHead
from daisylink.request._response_reader import find_refusal
from daisylink.request._slot_search import SlotSearch
from daisylink.request._slot_wait import SlotWait

MS_PER_SECOND = 1000
# How long ago a connection to another node must have carried a response if the next
# request on it cannot be retried after a loss.
PROVEN_IDLE_SECONDS = 0.5
# Time for the rest of a refusal, so that its connection can be used again.
REFUSAL_BODY_SECONDS = 0.02


class RequestSender:
    """The attempts of one request, of which at most one is in progress.

    :param exchange: the :class:`~daisylink.request.Exchange` of the request.
    """

    def __init__(self, exchange: Any):
        self.exchange = exchange
        self.gateway = exchange.gateway
        self.attempts: Attempts | None = None
        self.search = SlotSearch(may_ask=self._can_be_sent_again)
        self.may_wait = exchange.head.may_wait
        self.slot_wait = SlotWait(self)
        self.entry_check = EntryCheck(self)
        self.attempt = 0
        self.target = ""
        self.target_record: Any = None
        self.choice = ""
        self.trail: list[str] = []
        self.hop: Any = None
        self.hop_refusal: Refusal | None = None
        # The request id in the backend server's answer, None without one.
        self.answer_id: bytes | None = None
        self.is_connecting = False
        self.head_sent = False
        self.local_run: LocalRun | None = None
        self.server_instance = ""
        self.server_record: Any = None

    @property
    def is_relay(self) -> bool:
        """Return whether another node sent the request."""
        return self.exchange.is_relay

    def begin(self, now: float) -> None:
        """Make the first attempt of a request that was planned.

        :param now: seconds of the monotonic clock.
        """
        plan = self.exchange.plan
        budget = self.gateway.get_retry_budget(plan.service)
        self.attempts = Attempts(plan, budget, self.gateway.balancer.rng)
        self._perform(self.attempts.handle(RequestPlanned(), now))

    @property
    def _can_be_sent_again(self) -> bool:
        """Return whether the whole request will fit into the buffer."""
        length = self.exchange.head.length
        return length is not None and length <= MAX_REPLAY_BYTES

    def _perform(self, action: Action) -> None:
        match action:
            case Try():
                self._try()
            case GiveUp(refusal):
                self.exchange.send_refusal(refusal)

    def _try(self) -> None:
        self.attempt += 1
        if not self.exchange.is_relay:
            self._try_pool()
        elif self.gateway.own_record.pool == self.exchange.plan.pool:
            self._try_local_server()
        else:
            self.refuse_attempt(ResultCode.REQUEST_WRONG_NODE)

    def _try_pool(self) -> None:
        """Send a request that entered at this node to a server of its pool."""
        if not self.entry_check.passes():
            return
        gateway = self.gateway
        event = self._find_obstacle(gateway.now())
        if event is None:
            placement = self._place()
            event = NoServer() if placement is None else None
        if event is not None:
            self._perform(self.attempts.handle(event, gateway.now()))
            return
        record, self.may_wait = placement
        self.target = record.node
        self.target_record = record
        self.choice = gateway.balancer.describe(record.node, gateway.now())
        gateway.in_flight_tracker.begin(self, record)
        if record.node == gateway.own_record.node:
            self._try_local_server()
        else:
            self._connect(record.relay)

    def _place(self) -> Any:
        """Return the record of the next node and whether the request may wait there."""
        trial_node = self.entry_check.trial_node
        if trial_node is not None:
            return trial_node, True
        return self.gateway.place(self.exchange.plan, self.search)

    def handle_body_recognizable(self) -> None:
        """Continue if the request waited until its body tells it from others."""
        if self.entry_check.end_wait():
            self._try_pool()
        elif self.local_run is not None:
            self.local_run.handle_body_recognizable()

    def _find_obstacle(self, now: float) -> DeadlinePassed | PoolFull | None:
        """Return why no server of the pool is tried, None if one may be.

        :param now: seconds of the monotonic clock.
        """
        plan = self.exchange.plan
        if self.gateway.placer.cannot_meet_deadline(plan, now):
            return DeadlinePassed(may_have_run=False)
        if self.gateway.placer.is_pool_full(plan, self.search, now):
            return PoolFull()
        return None

    def _try_local_server(self) -> None:
        self.slot_wait.start()

    def run_locally(self) -> None:
        """Run the request at the local backend server; its slot is already held."""
        self.slot_wait.end()
        self.local_run = LocalRun(self, self.gateway.now())
        self.local_run.begin()

    def handle_claim_outcome(self, outcome: ClaimOutcome) -> bool:
        """Handle the outcome of the claim.

        :returns: whether the request now runs.
        """
        if self.exchange.done or self.local_run is None:
            return False
        return self.local_run.handle_claim_outcome(outcome)

    def send_to_local_server(self) -> None:
        """Send the request to the local backend server."""
        self.exchange.send_continue()
        self.server_record = self.gateway.own_record
        self.server_instance = self.server_record.instance
        self._connect(self.gateway.server_address)

    def _connect(self, address: str) -> None:
        runs_once = not self.exchange.plan.idempotent
        is_relayed = self.local_run is None
        max_idle = PROVEN_IDLE_SECONDS if runs_once and is_relayed else float("inf")
        hop = self.gateway.hop_pool.acquire(address, max_idle, runs_once)
        if hop is not None:
            self._attach(hop)
            return
        self.is_connecting = True
        self.gateway.hop_pool.open(address, self, self.attempt)

    def handle_connection(self, hop: Any, attempt: int) -> bool:
        """Use a new connection if the attempt that opened it is still current.

        :returns: whether the connection is used.
        """
        if self.exchange.done or attempt != self.attempt or not self.is_connecting:
            return False
        self.is_connecting = False
        self._attach(hop)
        return True

    def handle_connect_failure(self, attempt: int, timed_out: bool) -> None:
        """Handle a connection that could not be opened, or not in time."""
        if self.exchange.done or attempt != self.attempt or not self.is_connecting:
            return
        self.is_connecting = False
        target = self.target
        if self.local_run is not None:
            self.gateway.record_server_unreachable()
            target = ""
        self._record_failure()
        self.refuse_attempt(ResultCode.REQUEST_CONNECT_FAILED)
        if target:
            self.gateway.in_flight_tracker.record_unreachable(target, timed_out)

    def _attach(self, hop: Any) -> None:
        self.hop = hop
        self.head_sent = True
        if self.local_run is not None:
            self.local_run.sent_at = self.gateway.now()
        self.hop_refusal = None
        hop.start_exchange(self, self.exchange.head.method == b"HEAD")
        hop.buffer(make_next_hop_head(self))
        hop.buffer(self.exchange.body.frame_kept())
        hop.flush()
        self.exchange.body.trim()
        self.exchange.caller.update_flow_control()

    def refuse_attempt(self, code: ResultCode, retry_ms: int = 0) -> None:
        """End an attempt that certainly was not run, then retry or give up.

        :param retry_ms: milliseconds after which a retry may succeed, 0 if unknown.
        """
        self._record_attempt(code.name)
        if self.target and code is ResultCode.REQUEST_NO_FREE_SLOT:
            self.search.record_declined(self.target_record)
            self.gateway.placer.record_answer(self.exchange.plan.pool, declined=True)
        elif self.target:
            self.search.record_tried(self.target)
        if self.target and code in NOT_SERVING_CODES:
            self.gateway.balancer.suspend(self.target, self.gateway.now())
        self.end_attempt(RunResult.NOT_RUN)
        self.head_sent = False
        if self.exchange.is_relay:
            self.exchange.send_refusal(make_refusal(code, retry_ms))
            return
        event = AttemptRefused(code, retry_ms)
        now = self.gateway.now()
        may_retry = self.gateway.placer.record_refused(self.exchange.plan, code, now)
        may_retry = may_retry and self.exchange.body.replayable
        self._perform(self.attempts.handle(event, now, may_retry))

    def _handle_loss(self) -> None:
        """End an attempt that may have run the request, then retry or give up."""
        self._record_attempt("LOST")
        if self.target:
            self.search.record_tried(self.target)
        self._record_failure()
        self.end_attempt()
        self.exchange.drop_response()
        if self.exchange.is_relay:
            self.exchange.send_refusal(make_refusal(ResultCode.REQUEST_ANSWER_LOST))
            return
        now = self.gateway.now()
        replayable = self.exchange.body.replayable
        self._perform(self.attempts.handle(AttemptLost(), now, replayable))

    def retry_elsewhere(self, node: str) -> None:
        """Retry at another node if the request waits at an unresponsive one.

        A request that must not run twice or has no retry left keeps waiting, in case
        the response still arrives.
        """
        if self.exchange.done or self.target != node or self.exchange.is_responding:
            return
        if not self.head_sent:
            self.refuse_attempt(ResultCode.REQUEST_CONNECT_FAILED)
        elif self.exchange.body.replayable and self.attempts.can_retry_after_loss(
            self.gateway.now()
        ):
            self._handle_loss()

    def _record_attempt(self, attempt_result: str) -> None:
        """Add an attempt to the trail: its target, how it ended and when."""
        ms = (self.gateway.now() - self.exchange.started_at) * MS_PER_SECOND
        self.trail.append(f"{self.choice or 'own'} {attempt_result} {ms:.0f}ms")

    def _record_failure(self) -> None:
        if self.target:
            self.gateway.balancer.record_failure(self.target, self.gateway.now())

    def end_attempt(self, result: RunResult = RunResult.UNKNOWN) -> None:
        """Release everything that the attempt holds."""
        if self.target:
            self.gateway.in_flight_tracker.end(self, self.target)
            self.target = ""
        self.slot_wait.cancel()
        self.entry_check.end_wait()
        hop, self.hop = self.hop, None
        if hop is not None:
            hop.abort()
        self.is_connecting = False
        local_run, self.local_run = self.local_run, None
        if local_run is not None:
            local_run.end(result)

    def handle_deadline(self) -> None:
        """Give up a request whose deadline has passed without a response."""
        if self.exchange.done:
            return
        self._record_failure()
        self._record_attempt("DEADLINE")
        event = DeadlinePassed(self.head_sent)
        self._perform(self.attempts.handle(event, self.gateway.now()))

    def handle_late_response(self) -> None:
        """Give up a response that has begun and does not end."""
        if self.exchange.done:
            return
        self._record_failure()
        self._record_attempt("LATE")
        self.exchange.fail(ResultCode.REQUEST_ANSWER_LOST)

    # Events from the next hop

    def handle_response_head(self, head: ResponseHead) -> None:
        """Handle the head of the next hop's response."""
        self.hop_refusal = find_refusal(self, head)
        if self.hop_refusal is not None:
            self.gateway.loop.call_later(
                REFUSAL_BODY_SECONDS, self._end_refused_attempt, self.attempt
            )
            return
        exchange = self.exchange
        if exchange.is_http_1_0 and head.length is None and not head.bodiless:
            exchange.keep_alive = False
        extra = exchange.format_response_headers()
        exchange.response.handle_head(head, exchange.is_http_1_0, extra)

    def handle_response_body(self, data: bytes) -> None:
        """Handle a piece of the response body."""
        if self.hop_refusal is None:
            self.exchange.response.handle_body(data)

    def handle_response_end(self, hop: Any, reusable: bool) -> None:
        """Handle the end of the response.

        :param hop: the connection that it came on.
        :param reusable: whether the connection can serve another request.
        """
        refusal = self.hop_refusal
        # A copy of a rejection costs an idempotent request nothing but a retry.
        is_own = refusal is not None or not hop.may_repeat
        if reusable and is_own and self.exchange.body.done:
            self.hop = None
            self.gateway.hop_pool.release(hop)
        if refusal is not None:
            self._handle_refusal(refusal)
            return
        self.exchange.response.end()
        self.exchange.flush_response()
        if self.target:
            now = self.gateway.now()
            self.gateway.balancer.record_success(self.target, now)
            self.gateway.placer.record_served(self.exchange.plan, self.may_wait, now)
        self.gateway.record_answered(self.exchange)
        self.exchange.finish(RunResult.ANSWERED)

    def _end_refused_attempt(self, attempt: int) -> None:
        """End an attempt whose refusal has a body that does not end."""
        if not self.exchange.done and attempt == self.attempt and self.hop is not None:
            self._handle_refusal(self.hop_refusal)

    def _handle_refusal(self, refusal: Refusal) -> None:
        if refusal.code in FINAL_CODES:
            self.exchange.send_refusal(refusal)
        elif refusal.outcome is Outcome.NOT_RUN:
            self.refuse_attempt(refusal.code, refusal.retry_ms)
        else:
            self._handle_loss()

    def handle_hop_lost(self) -> None:
        """Handle the loss of the next hop's connection before the whole response."""
        self.hop = None
        if self.exchange.done:
            return
        if self.local_run is not None:
            self.gateway.record_server_outcome(failed=True)
            self.local_run.record_lost()
            self.gateway.crash_check.record_lost(describe_lost(self.exchange))
        elif self.target:
            self.gateway.in_flight_tracker.record_connection_lost(self.target)
        if self.exchange.is_response_handed_on:
            self._record_failure()
            self.exchange.fail(ResultCode.REQUEST_ANSWER_LOST)
        else:
            self._handle_loss()
