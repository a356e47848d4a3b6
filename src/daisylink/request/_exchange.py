"""One request from its head to its answer.

An :class:`Exchange` joins a caller's connection with the connection to the next hop.
It asks the decision objects what to do and moves bytes; it decides nothing itself.
"""

import asyncio
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
    RequestPlanned,
    Try,
)
from daisylink.request._body import RequestBody
from daisylink.request._decision import (
    Admitted,
    ClaimOutcome,
    Queued,
    Refused,
    RunResult,
)
from daisylink.request._head import (
    LOAD_HEADER,
    Header,
    RequestHead,
)
from daisylink.request._local_run import LocalRun
from daisylink.request._next_hop_head import make_relay_head, make_server_head
from daisylink.request._outcome import (
    Outcome,
    Refusal,
    encode_refusal,
    make_refusal,
)
from daisylink.request._plan import RequestPlan, plan_relayed, plan_request
from daisylink.request._recording import (
    REPLAY_HEADER,
    build_replay,
)
from daisylink.request._response import (
    ForwardedResponse,
    ResponseHead,
    has_server_proof,
    is_own_response,
    is_replay,
    is_shed,
    read_load,
    read_refusal,
)

MS_PER_SECOND = 1000
DISPLACED_MS = 200
FINAL_CODES = frozenset(
    {
        ResultCode.REQUEST_KEY_RUNNING,
        ResultCode.REQUEST_KEY_DONE,
        ResultCode.REQUEST_QUARANTINED,
    }
)


class Exchange:
    """One request and its answer.

    :param gateway: the process's :class:`~daisylink.process.Gateway`.
    :param caller: connection that the request came on.
    :param keep_alive: whether the caller's connection stays open.
    """

    def __init__(
        self,
        gateway: Any,
        caller: Any,
        head: RequestHead,
        keep_alive: bool,
        is_http_1_0: bool,
    ):
        self.gateway = gateway
        self.caller = caller
        self.head = head
        self.keep_alive = keep_alive
        self.is_http_1_0 = is_http_1_0
        self.is_relay = head.hop_metadata is not None
        self.started_at = gateway.now()
        self.plan: RequestPlan | None = None
        self.attempts: Attempts | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.wait_timer: asyncio.TimerHandle | None = None
        self.tried: set[str] = set()
        self.target = ""
        self.instance = ""
        self.attempt = 0
        self.hop: Any = None
        self.is_connecting = False
        self.local: LocalRun | None = None
        self.is_queued = False
        self.started = False
        self.refusal: Refusal | None = None
        self.pending_output: list[bytes] = []
        self.trail: list[str] = []
        self.choice = ""
        self.head_sent = False
        self.body = RequestBody(head.length is None)
        self.continued = False
        self.response = ForwardedResponse()
        self.swallowed: Refusal | None = None
        self.done = False

    # From the caller

    def start(self, is_first: bool = True) -> None:
        """Plan the request and make the first attempt.

        :param is_first: whether all earlier requests of the connection are answered.
            Others begin early only if they may run again, in case the connection
            closes before their turn, and not while the node stops.
        """
        if self.started or self.done:
            return
        now = self.gateway.now()
        if self.is_relay:
            plan = plan_relayed(self.head, now)
            self.gateway.record_peer_version(self.head.hop_metadata.version)
        else:
            version = self.gateway.version
            plan = plan_request(self.head, version, now, self.gateway.pick_target)
        may_begin = isinstance(plan, RequestPlan) and plan.idempotent
        if not is_first and (self.gateway.stopping or not may_begin):
            return
        self.started = True
        if isinstance(plan, Refusal):
            self.send_refusal(plan)
            return
        self.plan = plan
        if plan.deadline <= now:
            self.send_refusal(make_refusal(ResultCode.REQUEST_DEADLINE_NOT_RUN))
            return
        if self.body.size > plan.body_limit:
            self.send_refusal(make_refusal(ResultCode.REQUEST_BODY_TOO_LARGE))
            return
        self.attempts = Attempts(plan, self.gateway.get_retry_budget(plan.service))
        self.timer = self.gateway.loop.call_later(
            plan.deadline - now, self._on_deadline
        )
        self._act(self.attempts.handle(RequestPlanned(), now))

    def handle_body(self, data: bytes) -> None:
        """Take a piece of the request's body."""
        if self.done:
            return
        piece = self.body.take(data, keep=self.hop is None)
        if self.plan is not None and self.body.size > self.plan.body_limit:
            self.fail(ResultCode.REQUEST_BODY_TOO_LARGE)
        elif self.hop is not None:
            self.hop.buffer(piece)
            self.body.trim()

    def handle_body_end(self) -> None:
        """Note the end of the request's body."""
        piece = self.body.end()
        if self.done:
            return
        if self.hop is not None and piece:
            self.hop.buffer(piece)
        if self.local is not None:
            self.local.handle_body_complete()

    def flush_body(self) -> None:
        """Write to the next hop what :meth:`handle_body` collected."""
        if self.hop is not None:
            self.hop.flush()

    @property
    def can_read_body(self) -> bool:
        """Return whether more of the body may be read now."""
        return self.hop is not None or not self.body.is_full

    @property
    def is_responding(self) -> bool:
        """Return whether a backend server's answer has begun to pass."""
        return self.response.started

    @property
    def is_body_complete(self) -> bool:
        """Return whether the whole request has come."""
        return self.body.done

    def is_response_stalled(self, now: float, patience: float) -> bool:
        """Return whether the answer has not gone on for a time in seconds."""
        return self.hop is not None and now - self.hop.last_read_at > patience

    def fail(self, code: ResultCode) -> None:
        """Give the request up for a fault of its caller."""
        if self.done:
            return
        if self.is_responding:
            self.abort()
            return
        refusal = make_refusal(code)
        if self.head_sent:
            refusal = refusal._replace(outcome=Outcome.UNKNOWN)
        self.keep_alive = False
        self.send_refusal(refusal)

    def cancel(self) -> None:
        """Stop: the caller has gone."""
        if self.done:
            return
        self.done = True
        self._release()
        self.gateway.record_cancelled(self)

    def abort(self) -> None:
        """Cut the caller off: the rest of its answer is lost."""
        if self.done:
            return
        if self.pending_output:
            self.pending_output.clear()
            self.send_refusal(make_refusal(ResultCode.REQUEST_ANSWER_LOST))
            return
        self.done = True
        self._release()
        self.gateway.record_cut(self)
        self.caller.abort()

    # Attempts

    def _act(self, action: Action) -> None:
        match action:
            case Try():
                self._try()
            case GiveUp(refusal):
                self.send_refusal(refusal)

    def _try(self) -> None:
        self.attempt += 1
        gateway = self.gateway
        own_record = gateway.own_record
        if self.is_relay:
            wanted = self.plan.instance
            if own_record.pool != self.plan.pool or wanted not in (
                "",
                own_record.instance,
            ):
                self.refuse_attempt(ResultCode.REQUEST_WRONG_NODE)
                return
            self._try_local_server()
            return
        record = gateway.choose(self.plan, self.tried)
        if record is None:
            self._act(self.attempts.handle(NoServer(), gateway.now()))
            return
        self.target = record.node
        self.instance = record.instance
        self.choice = gateway.balancer.describe(record.node, gateway.now())
        gateway.in_flight_tracker.begin(self, record)
        if record.node == own_record.node:
            self._try_local_server()
        else:
            self._connect(record.relay)

    def _try_local_server(self) -> None:
        gateway = self.gateway
        plan = self.plan
        match gateway.try_admit(self, plan):
            case Admitted():
                self.run_locally()
            case Queued(displaced, expires):
                self.is_queued = True
                self._limit_wait(expires)
                if displaced is not None:
                    displaced.refuse_attempt(
                        ResultCode.REQUEST_OVERLOADED, DISPLACED_MS
                    )
            case Refused(code, retry_ms):
                self.refuse_attempt(code, retry_ms)

    def _limit_wait(self, expires: float) -> None:
        """Refuse the request once waiting on could only waste its caller's time."""
        if expires == float("inf"):
            return
        wait = max(0.0, expires - self.gateway.now())
        attempt = self.attempt
        self.wait_timer = self.gateway.loop.call_later(wait, self._end_wait, attempt)

    def _end_wait(self, attempt: int) -> None:
        if self.is_queued and not self.done and attempt == self.attempt:
            self.refuse_attempt(ResultCode.REQUEST_DEADLINE_NOT_RUN)

    def run_locally(self) -> None:
        """Run the request here: a slot is held for it."""
        self.is_queued = False
        self.local = LocalRun(self, self.gateway.now())
        self.local.begin()

    def handle_claim_outcome(self, outcome: ClaimOutcome) -> bool:
        """Take what came of the claim; return whether the request now runs."""
        if self.done or self.local is None:
            return False
        return self.local.handle_claim_outcome(outcome)

    def replay(self, packed: bytes) -> None:
        """Give the answer recorded for the request's key."""
        self.response.replayed = True
        is_head = self.head.method == b"HEAD"
        replay = build_replay(packed, is_head, not self.keeps_connection)
        self.caller.write(self, replay)
        self.gateway.record_answered(self)
        self._finish()

    def send_to_local_server(self) -> None:
        """Send the request to the own backend server."""
        self.send_continue()
        self._connect(self.gateway.server_address)

    def _connect(self, address: str) -> None:
        hop = self.gateway.hop_pool.acquire(address)
        if hop is not None:
            self._attach(hop)
            return
        self.is_connecting = True
        self.gateway.hop_pool.open(address, self, self.attempt)

    def handle_connection(self, hop: Any, attempt: int) -> bool:
        """Use a new connection, if the attempt that asked for it still stands."""
        if self.done or attempt != self.attempt or not self.is_connecting:
            return False
        self.is_connecting = False
        self._attach(hop)
        return True

    def handle_connect_failure(self, attempt: int, timed_out: bool) -> None:
        """Note that no connection could be opened, or none in time."""
        if self.done or attempt != self.attempt or not self.is_connecting:
            return
        self.is_connecting = False
        target = self.target
        if self.local is not None:
            self.gateway.record_server_unreachable()
            target = ""
        self._note_failure()
        self.refuse_attempt(ResultCode.REQUEST_CONNECT_FAILED)
        if timed_out and target:
            self.gateway.in_flight_tracker.record_unreachable(target)

    def _attach(self, hop: Any) -> None:
        self.hop = hop
        self.head_sent = True
        self.swallowed = None
        hop.start_exchange(self, self.head.method == b"HEAD")
        hop.buffer(self._make_head())
        for piece in self.body.pieces:
            hop.buffer(piece)
        hop.flush()
        self.body.trim()
        self.caller.update_flow_control()

    def _make_head(self) -> bytes:
        """Return the head of the request for the next hop."""
        if self.local is not None:
            return make_server_head(self.head, self.plan, self.gateway)
        expect = self.head.expects_continue and not self.continued
        return make_relay_head(
            self.head, self.plan, self.gateway, self.instance, expect
        )

    def refuse_attempt(self, code: ResultCode, retry_ms: int = 0) -> None:
        """Note a certain refusal, here or at the next hop, and go on."""
        self._note_step(code.name)
        if self.target:
            self.tried.add(self.target)
        self._end_attempt(RunResult.NOT_RUN)
        self.head_sent = False
        if self.is_relay:
            self.send_refusal(make_refusal(code, retry_ms))
            return
        event = AttemptRefused(code, retry_ms)
        now = self.gateway.now()
        self._act(self.attempts.handle(event, now, self.body.replayable))

    def _lose(self) -> None:
        """Note that the next hop may have run the request, and go on."""
        self._note_step("LOST")
        if self.target:
            self.tried.add(self.target)
        self._note_failure()
        self._end_attempt()
        if self.is_relay:
            self.send_refusal(make_refusal(ResultCode.REQUEST_ANSWER_LOST))
            return
        now = self.gateway.now()
        self._act(self.attempts.handle(AttemptLost(), now, self.body.replayable))

    def retry_elsewhere(self, node: str) -> None:
        """Go on elsewhere if the request is at a node that does not answer.

        What may run only once, or has no try left, stays in case the answer comes.
        """
        if self.done or self.target != node or self.is_responding:
            return
        if not self.head_sent:
            self.refuse_attempt(ResultCode.REQUEST_CONNECT_FAILED)
        elif self.body.replayable and self.attempts.can_retry_after_loss(
            self.gateway.now()
        ):
            self._lose()

    def _note_step(self, what: str) -> None:
        """Add a line to the trail: where an attempt went, when and how it ended."""
        ms = (self.gateway.now() - self.started_at) * MS_PER_SECOND
        self.trail.append(f"{self.choice or 'own'} {what} {ms:.0f}ms")

    def _note_failure(self) -> None:
        if self.target:
            self.gateway.balancer.record_failure(self.target, self.gateway.now())

    def _end_attempt(self, fate: RunResult = RunResult.UNKNOWN) -> None:
        """Give back what the attempt held."""
        if self.target:
            self.gateway.in_flight_tracker.end(self, self.target)
            self.target = ""
        if self.is_queued:
            self.is_queued = False
            self.gateway.admission.withdraw(self)
        if self.wait_timer is not None:
            self.wait_timer.cancel()
            self.wait_timer = None
        hop, self.hop = self.hop, None
        if hop is not None:
            hop.abort()
        self.is_connecting = False
        local, self.local = self.local, None
        if local is not None:
            local.end(fate)

    def _on_deadline(self) -> None:
        if self.is_responding or self.done:
            return
        self._note_failure()
        self._note_step("DEADLINE")
        event = DeadlinePassed(self.head_sent)
        self._act(self.attempts.handle(event, self.gateway.now()))

    # From the next hop

    def send_continue(self) -> None:
        """Tell the caller to send its body."""
        if self.head.expects_continue and not self.continued and not self.is_responding:
            self.continued = True
            self.caller.write(self, b"HTTP/1.1 100 Continue\r\n\r\n")

    def owns_response(self, headers: list[Header]) -> bool:
        """Return whether an answer belongs to this request, not to an earlier one."""
        if self.local is None:
            return True
        return is_own_response(headers, self.head.request_id, self.gateway.header_names)

    def handle_response_head(self, head: ResponseHead) -> None:
        """Take the head of the next hop's answer."""
        self.swallowed = self._find_refusal(head)
        if self.swallowed is not None:
            return
        if self.is_http_1_0 and head.length is None and not head.bodiless:
            self.keep_alive = False
        extra = []
        if self.is_relay:
            extra.append(self._load_line())
        if self.response.replayed:
            extra.append(REPLAY_HEADER + b": 1")
        if not self.keeps_connection:
            extra.append(b"connection: close")
        self.response.handle_head(head, self.is_http_1_0, extra)

    @property
    def keeps_connection(self) -> bool:
        """Return whether the caller's connection stays open after the answer."""
        if self.head.expects_continue and not self.continued and not self.body.done:
            return False
        if self.is_relay or not self.gateway.stopping:
            return self.keep_alive
        return self.keep_alive and self.caller.has_started_after(self)

    def _load_line(self) -> bytes:
        """Return the header line that tells the entry node the load here."""
        return LOAD_HEADER + b": " + self.gateway.format_load()

    def _find_refusal(self, head: ResponseHead) -> Refusal | None:
        """Return the refusal that an answer stands for, if it is one."""
        if self.local is not None:
            header_names = self.gateway.header_names
            if is_shed(head, header_names):
                return make_refusal(ResultCode.REQUEST_SHED_BY_SERVER)
            if not has_server_proof(head, header_names):
                return make_refusal(ResultCode.REQUEST_ANSWER_LOST)
            return None
        load = read_load(head)
        if load is not None:
            self.gateway.record_load(self.target, load)
        self.response.replayed = is_replay(head)
        return read_refusal(head)

    def handle_response_body(self, data: bytes) -> None:
        """Take a piece of the answer's body."""
        if self.swallowed is None:
            self.response.handle_body(data)

    def flush_response(self) -> None:
        """Write to the caller what came from the next hop."""
        if self.response.out and not self.done:
            self.caller.write(self, self.response.drain())

    def handle_response_end(self, hop: Any, reusable: bool) -> None:
        """Note the whole answer."""
        if reusable and self.body.done:
            self.hop = None
            self.gateway.hop_pool.release(hop)
        refusal = self.swallowed
        if refusal is not None:
            self._take_refusal(refusal)
            return
        self.response.end()
        self.flush_response()
        if self.target:
            self.gateway.balancer.record_success(self.target, self.gateway.now())
        self.gateway.record_answered(self)
        self._finish(RunResult.ANSWERED)

    def _take_refusal(self, refusal: Refusal) -> None:
        if refusal.code in FINAL_CODES:
            self.send_refusal(refusal)
        elif refusal.outcome is Outcome.NOT_RUN:
            self.refuse_attempt(refusal.code, refusal.retry_ms)
        else:
            self._lose()

    def handle_hop_lost(self) -> None:
        """Note that the next hop's connection was lost before the whole answer."""
        self.hop = None
        if self.done:
            return
        if self.local is not None:
            self.gateway.record_server_lost(self.local.compute_fingerprint())
        if self.is_responding:
            self._note_failure()
            self.abort()
        else:
            self._lose()

    # The end

    def send_refusal(self, refusal: Refusal) -> None:
        """Give the request its final answer: a refusal."""
        close = not self.keeps_connection
        self.refusal = refusal
        extra = (self._load_line(),) if self.is_relay else ()
        promises = self.gateway.header_names.callers_read_status_only
        data = encode_refusal(refusal, close, promises, extra)
        if self.head.method == b"HEAD":
            data = data[: data.index(b"\r\n\r\n") + 4]
        self.caller.write(self, data)
        self.gateway.record_refused(self, refusal)
        self._finish()

    def _finish(self, fate: RunResult = RunResult.UNKNOWN) -> None:
        if self.done:
            return
        self.done = True
        self._release(fate)
        self.caller.finish(self, self.keeps_connection)

    def _release(self, fate: RunResult = RunResult.UNKNOWN) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self._end_attempt(fate)
        self.body.pieces.clear()
