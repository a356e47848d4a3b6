"""State that all requests of a process share: version, load balancer, limits."""

import asyncio
from http import HTTPStatus
from typing import Any

from daisylink.clock import Clock
from daisylink.connection import CallerConnection, HeldBytesLimit, HopConnectionPool
from daisylink.errors import ResultCode
from daisylink.quota import UnlimitedQuota
from daisylink.request import (
    DEFAULT_HEADER_NAMES,
    AgeEstimator,
    Exchange,
    Fingerprint,
    HeaderNames,
    LostRequest,
    Refusal,
    RequestPlan,
    RetryBudget,
    RunningRequests,
    RunResult,
    SlotSearch,
)
from daisylink.rollout import VersionGate
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.serving._answer_identity import AnswerIdentity
from daisylink.serving._burn import HISTORY_INTERVAL, BurnTracker
from daisylink.serving._crash_check import CrashCheck
from daisylink.serving._in_flight import InFlightTracker
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.serving._load_report import (
    LoadReport,
    compute_load,
    decode_load,
    encode_load,
)
from daisylink.serving._local_server import LocalServer
from daisylink.serving._metrics import Metrics
from daisylink.serving._placer import Placement, Placer
from daisylink.serving._quarantine import Quarantine
from daisylink.serving._records import MemberRecord, ServerState
from daisylink.serving._request_log import log_request_end
from daisylink.serving._retry_budget import RetryBudgetSettings
from daisylink.serving._server_health import ServerHealth
from daisylink.serving._server_notices import ServerNotices
from daisylink.serving._server_pace import ServerPace
from daisylink.serving._slot_dispatcher import SlotDispatcher
from daisylink.serving._splitter import Splitter
from daisylink.serving._suspect_trials import SuspectTrials
from daisylink.version import CallerLimits, RouteEntry, RouteTarget, Version

# Refusals between nodes, which the entry node's line names in its trail.
UNLOGGED_CODES = frozenset(
    str(int(code))
    for code in (ResultCode.REQUEST_NO_FREE_SLOT, ResultCode.REQUEST_VERSION_HELD)
)
SWEEP_INTERVAL_SECONDS = 1.0
DRAIN_POLL_SECONDS = 0.02
DEFAULT_LIMITS = AdmissionLimits(slots=8, connections=64, queue=20)
# For pools that state no queue length; deadlines and objectives bound the queue.
DEFAULT_QUEUE_LENGTH = 256


class Gateway:
    """Shared state of the request path of one process.

    :param clock: the monotonic clock of the process.
    :param loop: event loop that all connections run on.
    :param balancer: chooses backend servers.
    :param local_server: state of the local backend server.
    :param metrics: counts the callers' requests.
    :param quarantine: strikes that this node knows of.
    :param header_names: header names that callers and backend servers use.
    :param retry_budget_settings: bounds of each service's retries.
    :param claims_keys: whether idempotency keys are claimed before a run.
    :param origin: service of this instance, "" to use the announced pool.
    """

    def __init__(
        self,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        balancer: LoadBalancer,
        local_server: LocalServer,
        metrics: Metrics,
        quarantine: Quarantine,
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
        retry_budget_settings: RetryBudgetSettings | None = None,
        claims_keys: bool = True,
        origin: str = "",
    ):
        self.now = clock.monotonic
        self.loop = loop
        self.balancer = balancer
        self.local_server = local_server
        self.metrics = metrics
        self.quarantine = quarantine
        self.trials = SuspectTrials(quarantine, balancer.directory)
        self.placer = Placer(balancer)
        self.server_health = ServerHealth(balancer.rng)
        self.burn_tracker = BurnTracker()
        self.crash_check = CrashCheck(self)
        self.admission = Admission()
        self.version_gate = VersionGate(
            balancer.directory.own_record.node, balancer.rollouts, self.now
        )
        self.pace = ServerPace(
            self.admission, balancer.response_times, local_server, self.now
        )
        self.slots = SlotDispatcher(self.admission, loop, self.now)
        self.notices = ServerNotices(
            balancer,
            local_server,
            metrics,
            self.slots.set_rate,
            lambda: loop.call_soon(self.on_local_server_changed),
        )
        self.header_names = header_names
        self.answer_identity = AnswerIdentity(bool(header_names.request_id))
        self.ages = AgeEstimator()
        self.running = RunningRequests(header_names.call_separator)
        self.claims_keys = claims_keys
        self.fixed_origin = origin
        self.retry_budget_settings = retry_budget_settings or RetryBudgetSettings()
        self.budgets: dict[str, RetryBudget] = {}
        self.splitter = Splitter()
        self.hop_pool = HopConnectionPool(self)
        self.in_flight_tracker = InFlightTracker(
            self.now, loop, balancer, self.hop_pool
        )
        # Replaced by a node whose configurations may have tenants.
        self.quota: Any = UnlimitedQuota()
        self.version: Version | None = None
        self.callers: set[CallerConnection] = set()
        self.held_limit = HeldBytesLimit(self.callers)
        self.stopping = False
        self.is_serving = True
        self.sweep_timer = loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        self.snapshot_due = self.now() + HISTORY_INTERVAL.total_seconds()

    @property
    def own_record(self) -> MemberRecord:
        """Return this node's own record."""
        return self.balancer.directory.own_record

    @property
    def version_number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.version.number if self.version is not None else 0

    @property
    def caller_limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        return self.version.limits if self.version is not None else CallerLimits()

    @property
    def origin(self) -> str:
        """Return the service of this instance, even if its server is not running."""
        return self.fixed_origin or self.own_record.pool

    @property
    def server_address(self) -> str:
        """Return the local backend server's address, "" without one."""
        announcement = self.local_server.announcement
        return announcement.address if announcement is not None else ""

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a complete response."""
        return sum(
            (caller.current is not None) + len(caller.pipelined)
            for caller in self.callers
        )

    @property
    def is_drained(self) -> bool:
        """Return whether every response was handed to its caller's socket."""
        return all(caller.is_drained for caller in self.callers)

    async def wait_until_drained(self, end: float) -> None:
        """Wait until every response was handed on or its connection is gone.

        :param end: when to give up, in seconds of the monotonic clock.
        """
        while not self.is_drained and self.now() < end:
            await asyncio.sleep(min(DRAIN_POLL_SECONDS, end - self.now()))

    def create_caller_connection(self) -> CallerConnection:
        """Return the protocol for a new connection from a caller."""
        return CallerConnection(self, is_relay=False)

    def create_relay_connection(self) -> CallerConnection:
        """Return the protocol for a new connection from another node."""
        return CallerConnection(self, is_relay=True)

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(*self.retry_budget_settings)
            self.budgets[service] = budget
        return budget

    def set_retry_budget(self, settings: RetryBudgetSettings) -> None:
        """Change the bounds of retries; the buckets keep their tokens."""
        self.retry_budget_settings = settings
        for budget in self.budgets.values():
            budget.ratio, budget.burst, budget.per_second = settings

    def pick_target(self, entry: RouteEntry) -> RouteTarget:
        """Choose the target of the next request of a route."""
        return self.splitter.pick(entry)

    def record_peer_version(self, number: int, host: str) -> None:
        """Record the version in force at another node; replaced by the node.

        :param host: IP address of that node.
        """

    def place(self, plan: RequestPlan, search: SlotSearch) -> Placement | None:
        """Choose the node for a request's next attempt, None if none is left."""
        now = self.now()
        if plan.pool == self.own_record.pool:
            self._record_own_load(plan.route, now)
        return self.placer.place(plan, search, now)

    def update_admission(self) -> None:
        """Open or close admission according to the node's own record."""
        own_record = self.own_record
        self.notices.update_own_start()
        is_serving = self.is_serving and not self.version_gate.is_closed()
        self.pace.record_start(own_record.server_start)
        if own_record.server is ServerState.SERVING and is_serving:
            self.admission.open(self._find_limits(own_record))
            return
        draining = own_record.server is ServerState.DRAINING or not is_serving
        code = ResultCode.REQUEST_DRAINING if draining else ResultCode.REQUEST_NO_SERVER
        for sender in self.admission.close(code):
            sender.refuse_attempt(code)

    def record_server_unreachable(self) -> None:
        """Record that the local backend server refused a connection."""
        self.local_server.record_unreachable()
        self.on_local_server_changed()

    def record_server_outcome(self, failed: bool, rejected: bool = False) -> None:
        """Record how the local backend server answered a request."""
        now = self.now()
        self.server_health.record(failed, now)
        self.pace.record_outcome(failed, rejected, self.server_health.is_unwell(now))

    def on_suspect_answered(self, fingerprint: Fingerprint) -> None:
        """Publish the pardon of a request with strikes; replaced by the node."""

    def on_server_crashed(self, lost_requests: tuple[LostRequest, ...]) -> None:
        """Publish the requests that were in flight at a crash; replaced by the node."""

    def on_local_server_changed(self) -> None:
        """Handle a change of the local server's state; replaced by the node."""

    def request_claim(self, exchange: Exchange, key: bytes) -> None:
        """Claim a key before its request runs; replaced by the node."""

    def complete_claim(
        self, exchange: Exchange, result: RunResult, recorded: bytes
    ) -> None:
        """Report how a request with a granted claim ended; replaced by the node.

        :param result: how it ended.
        :param recorded: the encoded response, empty if it was not recorded.
        """

    def begin_stop(self) -> None:
        """Close callers' connections after a response; requests are still served."""
        self.stopping = True

    def stop_serving(self) -> None:
        """Admit no new requests to the local backend server; running ones finish."""
        self.is_serving = False
        self.update_admission()

    def close_idle(self) -> None:
        """Close the callers' connections that have no open request."""
        for caller in list(self.callers):
            caller.close_if_idle()

    def format_load(self, kind: str) -> bytes:
        """Return the value of the load header for a response.

        :param kind: kind of the request, whose usual service time is reported.
        """
        return encode_load(self._find_own_load(kind, self.now()))

    def record_load(self, node: str, text: bytes, kind: str) -> None:
        """Record the load header of another node's response; ignore a malformed one.

        :param kind: kind of the request that was answered.
        """
        report = decode_load(text)
        if report is None:
            return
        self.balancer.response_times.record_report(
            node, report.load, self.now(), report.service_seconds, kind
        )

    def _record_own_load(self, kind: str, now: float) -> None:
        """Record what the local backend server would report."""
        load, service_seconds = self._find_own_load(kind, now)
        self.balancer.response_times.record_report(
            self.own_record.node, load, now, service_seconds, kind
        )
        self.pace.share_own(self.own_record.node)

    def record_answered(self, exchange: Exchange) -> None:
        """Count a request that got a backend server's response."""
        failed = exchange.response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._count(exchange, "error" if failed else "ok")

    def record_refused(self, exchange: Exchange, refusal: Refusal) -> None:
        """Count a request that was refused."""
        self._count(exchange, str(int(refusal.code)))

    def record_cancelled(self, exchange: Exchange) -> None:
        """Count a request whose caller disconnected."""
        self._count(exchange, "cancelled")

    def record_cut(self, exchange: Exchange) -> None:
        """Count a request whose response was cut off."""
        self._count(exchange, "cut")

    def close(self) -> None:
        """Close every connection."""
        self.sweep_timer.cancel()
        self.slots.close()
        self.in_flight_tracker.close()
        for caller in list(self.callers):
            caller.close_at_once()
        self.hop_pool.close()

    def _count(self, exchange: Exchange, code: str) -> None:
        if code in UNLOGGED_CODES and exchange.is_relay:
            return
        log_request_end(exchange, code, self.now())
        if exchange.is_relay:
            return
        plan = exchange.plan
        service = plan.service if plan is not None else ""
        seconds = self.now() - exchange.started_at
        attempts = exchange.sender.attempt
        self.metrics.record_request(service, code, seconds, attempts)
        if self.version is not None and not self.version.tenants.is_empty:
            self.metrics.record_tenant(plan.tenant if plan is not None else "", code)
        if plan is not None:
            self.burn_tracker.record(
                service, code, seconds, plan.slo_ms, exchange.response.replayed
            )

    def _find_own_load(self, kind: str, now: float) -> LoadReport:
        is_unwell = self.server_health.is_unwell(now)
        load = compute_load(self.admission, is_unwell, now)
        return LoadReport(load, self.admission.get_service_time(kind))

    def _find_limits(self, own_record: MemberRecord) -> AdmissionLimits:
        pools: dict[str, Any] = self.version.route_table.pools if self.version else {}
        pool = pools.get(own_record.pool)
        if pool is None:
            return DEFAULT_LIMITS._replace(
                slots=own_record.slots or DEFAULT_LIMITS.slots
            )
        queue = pool.queue or DEFAULT_QUEUE_LENGTH
        return AdmissionLimits(own_record.slots or pool.slots, pool.connections, queue)

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        now = self.now()
        for caller in list(self.callers):
            caller.enforce_timeouts(now)
        self.hop_pool.close_expired(now)
        if now >= self.snapshot_due:
            self.snapshot_due += HISTORY_INTERVAL.total_seconds()
            self.burn_tracker.save_snapshot()
