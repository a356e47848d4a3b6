"""The node process: connects the decision objects to the network."""

import asyncio
import gc
import random
from collections.abc import Iterable

from daisylink.clock import Clock, SystemClock
from daisylink.errors import (
    NodeError,
    PlatformError,
    ResultCode,
)
from daisylink.logs import get_logger
from daisylink.loop import Application
from daisylink.process._admin import Admin
from daisylink.process._control_handlers import ControlHandlers
from daisylink.process._events import (
    Action,
    CallStore,
    ClaimDecided,
    ClaimEnded,
    ClaimRequested,
    DirectoryChanged,
    Event,
    MessageReceived,
    Pull,
    PullAnswered,
    PullFailed,
    ReplicaAnswered,
    ReplicaCall,
    Send,
    ServerChanged,
    ServerCrashed,
    Started,
    StopRequested,
    StoreAnswered,
    StoreCall,
    StoreFailed,
    SuspectRequestAnswered,
    TimePassed,
    VersionInstalled,
)
from daisylink.process._fleet import FleetNode, first_incarnation
from daisylink.process._fleet_settings import FleetSettings
from daisylink.process._gauges import add_gauges
from daisylink.process._listen import listen, listen_control
from daisylink.process._messages import (
    Message,
    PullRequest,
    ReplicaRequest,
)
from daisylink.process._store_calls import perform_call
from daisylink.process._survey import Surveyor
from daisylink.process._transport import ControlClient, ControlServer, DatagramEndpoint
from daisylink.request import (
    ClaimGranted,
    ClaimOutcome,
    Exchange,
    Fingerprint,
    LostRequest,
    RunResult,
)
from daisylink.serving._burn import BurnReply
from daisylink.serving._gateway import Gateway
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.serving._local_server import LocalServer, LocalServerSettings
from daisylink.serving._metrics import Metrics
from daisylink.serving._records import MemberRecord
from daisylink.settings import Address, NodeSettings
from daisylink.store import ConsulStore, KeyValueStore
from daisylink.version import Version
from daisylink.web import WebServer

POLL_SECONDS = 0.02
GC_THRESHOLDS = (20_000, 20, 20)

log = get_logger("node")


class Node:
    """One node of the fleet, with its listeners.

    :param store: the platform.
    :param application: circuits application that runs the admin listener.
    """

    def __init__(
        self,
        settings: NodeSettings,
        application: Application,
        store: KeyValueStore,
        clock: Clock,
        rng: random.Random,
        fleet_settings: FleetSettings | None = None,
        local_server_settings: LocalServerSettings | None = None,
    ):
        self.settings = settings
        self.application = application
        self.loop = application.loop
        self.store = store
        self.clock = clock
        self.now = clock.monotonic
        self.rng = rng
        self.fleet_settings = fleet_settings or FleetSettings()
        self.local_server = LocalServer(local_server_settings or LocalServerSettings())
        self.client = ControlClient(self._record_traffic)
        self.control_handlers = ControlHandlers(self.now)
        self.server = ControlServer(
            self.control_handlers.answer_pull,
            self.control_handlers.answer_survey,
            self.control_handlers.answer_burn,
            self.control_handlers.answer_replica_request,
            self._record_traffic,
        )
        self.datagrams = DatagramEndpoint(self._handle_message, self._record_traffic)
        self.listeners: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float("inf")
        self.server_timer: asyncio.TimerHandle | None = None
        self.started = False
        self.stopping = False
        self.closed = False
        self.control_bytes = 0
        self.control_messages = 0
        self.web: WebServer
        self.admin: Admin
        self.metrics: Metrics
        self.fleet: FleetNode
        self.gateway: Gateway
        self.surveyor: Surveyor
        self.callers_address: Address
        self.relay_address: Address

    @classmethod
    def from_config(
        cls, settings: NodeSettings, application: Application, **parts
    ) -> "Node":
        """Build a node with the system clock and an HTTP client of the platform.

        :param parts: replacements for ``clock``, ``rng``, ``store`` and settings.
        """
        parts.setdefault("clock", SystemClock())
        parts.setdefault("rng", random.Random())
        parts.setdefault("store", ConsulStore(str(settings.platform)))
        return cls(settings, application, **parts)

    @property
    def is_ready(self) -> bool:
        """Return whether the node may accept requests."""
        return self.fleet.is_ready(self.now()) and not self.stopping

    async def start(self) -> None:
        """Bind the listeners and join the fleet.

        :raises SettingError: if an address cannot be bound.
        """
        settings = self.settings
        zone = settings.zone
        self.metrics = Metrics(str(settings.control), zone)
        control = await listen_control(
            self.loop, self.server, self.datagrams, settings.control
        )
        relay_host = settings.relay.host
        relay_socket = await self._listen(settings.relay, "relay", self._make_relay)
        self.relay_address = Address(relay_host, relay_socket)
        boot = first_incarnation(self.clock.now())
        record = MemberRecord(
            node=str(control),
            zone=zone,
            incarnation=boot,
            relay=str(self.relay_address),
            boot=boot,
        )
        self.fleet = FleetNode(self.fleet_settings, record, settings.peers, self.rng)
        balancer = LoadBalancer(self.fleet.directory, self.rng)
        self.gateway = Gateway(
            self.clock,
            self.loop,
            balancer,
            self.local_server,
            self.metrics,
            self.fleet.quarantine,
        )
        self.gateway.on_server_crashed = self._report_crash
        self.gateway.on_suspect_answered = self._report_answered
        self.gateway.on_local_server_changed = self.update_server
        self.gateway.request_claim = self._request_claim
        self.gateway.complete_claim = self._complete_claim
        self.surveyor = Surveyor(self.fleet, self.client, self._read_burn)
        callers = await self._listen(settings.callers, "callers", self._make_caller)
        self.callers_address = Address(settings.callers.host, callers)
        self.web = WebServer(self.application, *settings.admin)
        self.admin = Admin(self, self.web)
        self.web.start()
        add_gauges(self.metrics, self)
        self.control_handlers.begin(self.fleet, self.surveyor)
        self.started = True
        self._handle_event(Started())
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log.info("started {} in zone {}", record.node, zone)

    async def stop(self) -> None:
        """Stop gracefully: within the grace period, responses reach their callers."""
        log.info("stopping; {} requests open", self.gateway.open_requests)
        self.stopping = True
        self.gateway.begin_stop()
        self.gateway.stop_serving()
        self.local_server.remove()
        self.update_server()
        await asyncio.sleep(self.settings.drain.total_seconds())
        for listener in self.listeners:
            listener.close()
        end = self.now() + self.settings.grace.total_seconds()
        await self.gateway.wait_until_drained(end)
        self._handle_event(StopRequested())
        await asyncio.sleep(POLL_SECONDS)
        await self.close()
        log.info("stopped; {} requests cut", self.gateway.open_requests)

    async def close(self) -> None:
        """Close all listeners, connections and tasks immediately."""
        if self.closed:
            return
        self.closed = True
        self.stopping = True
        for handle in (self.timer, self.server_timer):
            if handle is not None:
                handle.cancel()
        for listener in self.listeners:
            listener.close()
        self.gateway.close()
        for task in list(self.tasks):
            task.cancel()
        self.datagrams.transport.close()
        await self.server.stop()
        await self.client.close()
        self.web.stop()
        self.metrics.shutdown()

    def update_server(self) -> None:
        """Update the own record and admission to the local server's state."""
        now = self.now()
        self.local_server.tick(now)
        new_record = self.local_server.update_record(self.fleet.own_record, now)
        if new_record != self.fleet.own_record:
            log.info("backend server is {}", new_record.server.name.lower())
            self._handle_event(ServerChanged(new_record))
        self.gateway.update_admission()
        if self.server_timer is not None:
            self.server_timer.cancel()
            self.server_timer = None
        if self.local_server.wake_at < float("inf"):
            wait = max(0.0, self.local_server.wake_at - now)
            self.server_timer = self.loop.call_later(wait, self.update_server)

    # Listeners

    async def _listen(self, address: Address, setting: str, factory) -> int:
        listener = await listen(self.loop, factory, address, setting)
        self.listeners.append(listener)
        return listener.sockets[0].getsockname()[1]

    def _make_caller(self) -> asyncio.Protocol:
        return self.gateway.create_caller_connection()

    def _make_relay(self) -> asyncio.Protocol:
        return self.gateway.create_relay_connection()

    def _record_traffic(self, direction: str, transport: str, size: int) -> None:
        self.control_bytes += size
        self.control_messages += 1
        labels = {"direction": direction, "transport": transport}
        self.metrics.control_bytes.add(size, labels)
        self.metrics.control_messages.add(1, labels)

    # Decisions

    def _handle_event(self, event: Event) -> None:
        """Pass an event to the decision object and perform the actions it returns."""
        if self.closed:
            return
        actions = self.fleet.handle(event, self.now())
        self._perform(actions)
        self._set_timer()

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(address, message):
                    self.datagrams.send(address, message)
                case Pull(address, request):
                    self._spawn(self._pull(address, request))
                case ReplicaCall(address, request):
                    self._spawn(self._call_replica(address, request))
                case ClaimDecided(ticket, outcome):
                    self._report_claim(ticket, outcome)
                case CallStore(call):
                    self._spawn(self._call_store(call))
                case VersionInstalled(version):
                    self._install(version)
                case DirectoryChanged():
                    self.gateway.balancer.invalidate_candidates()

    def _install(self, version: Version) -> None:
        self.gateway.version = version
        self.surveyor.installed_at = self.clock.now()
        self.gateway.update_admission()
        log.info("version {} in force", version.number)

    def _set_timer(self) -> None:
        wake_at = self.fleet.wake_at
        if self.timer is not None:
            if self.timer_at <= wake_at and not self.timer.cancelled():
                return
            self.timer.cancel()
        self.timer_at = wake_at
        wait = max(0.0, wake_at - self.now())
        self.timer = self.loop.call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._handle_event(TimePassed())

    def _handle_message(self, message: Message) -> None:
        if self.started:
            self._handle_event(MessageReceived(message))

    def _request_claim(self, exchange: Exchange, key: bytes) -> None:
        self._handle_event(ClaimRequested(exchange, key))

    def _complete_claim(
        self, exchange: Exchange, run_result: RunResult, response: bytes
    ) -> None:
        self._handle_event(ClaimEnded(exchange, run_result, response))

    def _report_claim(self, exchange: Exchange, outcome: ClaimOutcome) -> None:
        """Report a claim's outcome to its request.

        A request that has ended meanwhile did not run, so its claim is released.
        """
        will_run = exchange.sender.handle_claim_outcome(outcome)
        if not will_run and isinstance(outcome, ClaimGranted):
            self._handle_event(ClaimEnded(exchange, RunResult.NOT_RUN))

    def _report_crash(self, lost: tuple[LostRequest, ...]) -> None:
        log.warning("backend server crashed with {} requests in flight", len(lost))
        fingerprints = tuple(request.fingerprint for request in lost)
        self._handle_event(ServerCrashed(fingerprints))

    def _report_answered(self, fingerprint: Fingerprint) -> None:
        self._handle_event(SuspectRequestAnswered(fingerprint))

    def _read_burn(self) -> BurnReply:
        """Return this node's request counts against the service-level objectives."""
        version = self.gateway.version
        rows = version.content.services if version is not None else ()
        services = {row.name: row for row in rows}
        latency = self.metrics.read_latency()
        return self.gateway.burn_tracker.build_reply(
            self.fleet.own_record.zone, services, latency
        )

    def _spawn(self, work) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _pull(self, address: str, request: PullRequest) -> None:
        try:
            reply = await self.client.pull(address, request)
        except NodeError:
            self._handle_event(PullFailed(address))
            return
        self._handle_event(PullAnswered(address, reply))

    async def _call_replica(self, address: str, request: ReplicaRequest) -> None:
        try:
            reply = await self.client.call_replica(address, request)
        except NodeError:
            return
        self._handle_event(ReplicaAnswered(address, reply))

    async def _call_store(self, call: StoreCall) -> None:
        try:
            result = await perform_call(self.store, call)
        except PlatformError as error:
            log.debug("platform call failed: {}", error)
            self._handle_event(StoreFailed(call, ResultCode(error.code)))
            return
        self._handle_event(StoreAnswered(call, result))
