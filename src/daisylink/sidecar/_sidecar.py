"""The I/O of a sidecar: connects its decision objects to sockets and timers."""

import asyncio
import gc
import random
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

import msgspec

from daisylink.clock import Clock, SystemClock
from daisylink.errors import SettingError
from daisylink.http_server import WebRequest, WebResponse
from daisylink.logs import get_logger
from daisylink.registry import (
    BackoffSettings,
    DepartureLog,
    MemberSettings,
    MemberTable,
)
from daisylink.serving import (
    Gateway,
    LoadBalancer,
    LocalServer,
    LocalServerSettings,
    MemberRecord,
    MemberState,
    Metrics,
    Quarantine,
    RetryBounds,
    Strike,
    divide_retry_budget,
)
from daisylink.settings import SidecarSettings
from daisylink.sidecar._announcement_handler import AnnouncementHandler
from daisylink.sidecar._datagrams import Datagrams
from daisylink.sidecar._fleet_sync import FleetSync, SyncListeners
from daisylink.sidecar._gauges import add_gauges
from daisylink.sidecar._listeners import Listeners
from daisylink.sidecar._platform_adapter import PlatformAdapter
from daisylink.sidecar._quota_driver import QuotaDriver, connect_quota
from daisylink.sidecar._rollout_driver import RolloutDriver
from daisylink.sidecar._strike_driver import StrikeDriver
from daisylink.sidecar._strikes import SIDECAR_QUARANTINE_SETTINGS
from daisylink.version import Version

GC_THRESHOLDS = (20_000, 20, 20)
# An announcement may be seconds late; a crash shows by a refused connection.
ANNOUNCEMENTS_PER_LEASE = 6
# After two failed readiness checks, a second apart, a node that stops gets no new
# callers. Until then its backend server, which may keep running, serves the fleet.
STOP_SERVE_SECONDS = 2.0
# Time for callers to end their last connections while requests in flight finish.
STOP_LISTEN_SECONDS = 0.5
# Part of the grace period that a stop leaves, so that the process exits by itself.
STOP_MARGIN_SECONDS = 0.25
# Time until the next step after one that failed, so that it does not run all the time.
FAILED_STEP_SECONDS = 0.1
MIN_STEP_SECONDS = 0.001
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

log = get_logger("sidecar")


class Sidecar:
    """One node of the fleet, with its listeners.

    :param platform_adapter: store, formats and paths of the platform.
    :param rng: source of jitter and of random choices.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        platform_adapter: PlatformAdapter,
        clock: Clock,
        rng: random.Random,
    ):
        self.settings = settings
        self.platform_adapter = platform_adapter
        self.clock = clock
        self.now = clock.monotonic
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        node = str(settings.peers)
        own_record = MemberRecord(
            node,
            settings.zone,
            0,
            relay=str(settings.relay),
            link_mbps=settings.link_mbps,
        )
        self.members = MemberTable(MemberSettings(), own_record, self._last_response_at)
        self.balancer = LoadBalancer(self.members, rng)
        lease = settings.announce_interval * ANNOUNCEMENTS_PER_LEASE
        self.local_server = LocalServer(
            LocalServerSettings(lease=lease), awaits_departures=True
        )
        self.departure_log = DepartureLog(BackoffSettings(), rng)
        self.metrics = Metrics(node, settings.zone, reads_latency=False)
        self.announcement_handler = AnnouncementHandler(
            settings,
            platform_adapter,
            self.local_server,
            self.departure_log,
            self.metrics,
            clock,
            self.update_server,
        )
        self.gateway = Gateway(
            clock,
            self.loop,
            self.balancer,
            self.local_server,
            self.metrics,
            Quarantine(SIDECAR_QUARANTINE_SETTINGS),
            platform_adapter.header_names,
            claims_keys=False,
            origin=settings.pool,
        )
        self.gateway.held_limit.set_memory(settings.memory_mb)
        self.strikes = StrikeDriver(
            self.gateway,
            self.members,
            clock,
            lambda: self.loop.call_soon(self.update_server),
        )
        self.gateway.on_local_server_changed = self.update_server
        self.listeners = Listeners(self.loop)
        self.datagrams = Datagrams()
        self.quota: QuotaDriver = connect_quota(self)
        self.tasks: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.stopping = False
        self.fleet_sync = FleetSync(
            settings,
            platform_adapter,
            self.members,
            self.departure_log,
            self.datagrams,
            self.announcement_handler,
            SyncListeners(
                self._install,
                self._handle_members_change,
                self._handle_strikes,
                self._handle_member_removed,
                self.update_server,
                self.step,
                self.quota.handle_fleet_size,
                lambda item: self.rollout_driver.handle_item(item),
            ),
            rng,
            self.now,
            self._spawn,
        )
        self.rollout_driver = RolloutDriver(
            self.gateway,
            self.members,
            self.fleet_sync,
            platform_adapter.rollouts,
            self.datagrams,
            clock,
            self._spawn,
            self.update_server,
        )
        self.gateway.record_peer_version = self.fleet_sync.handle_peer_version
        self._expose_parts()

    @classmethod
    def from_config(
        cls, settings: SidecarSettings, platform_adapter: PlatformAdapter, **parts
    ) -> "Sidecar":
        """Build a sidecar with the system clock.

        :param parts: replacements for ``clock`` and ``rng``.
        """
        parts.setdefault("clock", SystemClock())
        parts.setdefault("rng", random.Random())
        return cls(settings, platform_adapter, **parts)

    def _expose_parts(self) -> None:
        """Make the parts of the fleet's state available as attributes."""
        fleet_sync = self.fleet_sync
        self.era_tracker = fleet_sync.era_tracker
        self.era_recovery = fleet_sync.era_recovery
        self.fleet_state = fleet_sync.fleet_state
        self.registration = fleet_sync.registration
        self.watch_cache = fleet_sync.watch_cache
        self.store_driver = fleet_sync.store_driver
        self.role = fleet_sync.role
        self.change_feed = fleet_sync.change_feed
        self.peer_exchange = fleet_sync.peer_exchange

    @property
    def is_ready(self) -> bool:
        """Return whether a version is in force and no stop was requested."""
        return self.fleet_state.version is not None and not self.stopping

    async def start(self) -> None:
        """Open the listeners and join the fleet.

        :raises SettingError: if an address cannot be bound.
        """
        settings = self.settings
        listeners = self.listeners
        self.step()
        await listeners.listen_requests(
            settings.relay, self.gateway.create_relay_connection
        )
        await listeners.listen_requests(
            settings.callers, self.gateway.create_caller_connection
        )
        await listeners.listen_auxiliary(settings.ready, self._check_ready)
        await listeners.listen_auxiliary(
            settings.announcements, self.announcement_handler.handle_request
        )
        await listeners.listen_auxiliary(
            settings.peers, self.peer_exchange.handle_request
        )
        try:
            await listeners.listen_auxiliary(settings.metrics, self._export_metrics)
        except SettingError as error:
            log.warning("metrics are not served: {}", error)
        await self.datagrams.listen(settings.peers)
        add_gauges(self.metrics, self)
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log.bind(node=settings.node, zone=settings.zone).info("started")

    async def stop(self) -> None:
        """Stop gracefully: within the grace period, responses reach their callers."""
        if self.stopping:
            return
        started_at = self.now()
        log.bind(open=self.gateway.open_requests).info("stopping")
        self.stopping = self.fleet_sync.is_stopping = True
        self.gateway.begin_stop()
        await asyncio.sleep(STOP_SERVE_SECONDS)
        left = msgspec.structs.replace(self.members.own_record, state=MemberState.LEFT)
        self.registration.leave(msgspec.msgpack.encode(left))
        self.gateway.stop_serving()
        self.local_server.remove()
        self.update_server()
        await asyncio.sleep(STOP_LISTEN_SECONDS)
        self.listeners.close_request_listeners()
        self.gateway.close_idle()
        end = started_at + self.settings.grace.total_seconds() - STOP_MARGIN_SECONDS
        await self.gateway.wait_until_drained(end)
        log.bind(open=self.gateway.open_requests).info("stopped")
        self.close()

    def close(self) -> None:
        """Close everything immediately."""
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.tasks):
            task.cancel()
        self.listeners.close()
        self.datagrams.close()
        self.quota.close()
        self.rollout_driver.close()
        self.gateway.close()

    def reload(self, settings: SidecarSettings) -> None:
        """Apply changed settings; changed listener addresses need a restart."""
        if settings == self.settings:
            return
        log.bind(node=settings.node).info("settings changed")
        self.settings = settings
        self._divide_retry_budget()

    def update_server(self) -> None:
        """Update this node's record and admission from the local server's state."""
        now = self.now()
        self.local_server.tick(now)
        own_record = msgspec.structs.replace(
            self.members.own_record,
            strikes=self.strikes.list_current(),
            era=self.era_tracker.current,
            is_settled=not self.era_recovery.is_recent,
        )
        record = self.local_server.update_record(own_record, now)
        record = self.rollout_driver.update_server(record)
        if self.members.set_own_record(record):
            log.bind(
                instance=record.instance,
                pool=record.pool,
                born=self.local_server.newest[0],
                sequence=self.local_server.newest[1],
            ).info("backend server is {}", record.server.name.lower())
            self._handle_members_change()
        departures = self.local_server.departures
        self.fleet_sync.departure_driver.set_departures(departures)
        if not self.registration.is_leaving:
            self.registration.set_record(msgspec.msgpack.encode(record))
        self.gateway.update_admission()
        self.step()

    def step(self) -> None:
        """Run what is due in each decision object, and set the timer for the next.

        An error in one of them stops neither the timer nor, at the next step, the rest.
        """
        now = self.now()
        try:
            self._run_due(now)
            wake_at = self._find_wake_at()
        except Exception:
            log.exception("a step failed")
            wake_at = now + FAILED_STEP_SECONDS
        if self.timer is not None:
            self.timer.cancel()
        if wake_at < float("inf"):
            delay = max(MIN_STEP_SECONDS, wake_at - now)
            self.timer = self.loop.call_later(delay, self.step)

    def _run_due(self, now: float) -> None:
        self.gateway.quarantine.purge(now)
        self.fleet_sync.tick(now)
        self.announcement_handler.acknowledger.notify_waiters()
        if now >= self.local_server.wake_at:
            self.loop.call_soon(self.update_server)

    def _find_wake_at(self) -> float:
        """Return when the next step is due, in monotonic seconds."""
        return min(
            self.fleet_sync.wake_at,
            self.members.wake_at,
            self.local_server.wake_at,
            self.departure_log.wake_at,
        )

    def _last_response_at(self, node: str) -> float:
        return self.balancer.last_response_at.get(node, float("-inf"))

    # Strikes, versions and members

    def _handle_strikes(self, node: str, strikes: tuple[Strike, ...]) -> None:
        is_starting = not self.fleet_state.has_listed
        self.strikes.handle_record(node, strikes, is_starting)

    def _install(self, version: Version) -> None:
        self.gateway.version = version
        self.quota.set_version(version)
        self.gateway.update_admission()

    def _handle_members_change(self) -> None:
        self.balancer.invalidate_candidates()
        self.quota.handle_members_change()
        self._divide_retry_budget()
        self.role.is_outdated = True

    def _handle_member_removed(self, node: str) -> None:
        self.quota.handle_member_removed(node)
        self.strikes.handle_member_removed(node)
        self.gateway.in_flight_tracker.forget(node)

    def _divide_retry_budget(self) -> None:
        """Divide the fleet's retry budget among the known members."""
        settings = self.settings
        bounds = RetryBounds(
            settings.retry_ratio, settings.retry_slack, settings.retry_window
        )
        members = len(self.members.records)
        self.gateway.set_retry_budget(divide_retry_budget(bounds, members))

    # Listeners

    def _check_ready(self, request: WebRequest) -> WebResponse:
        if request.path != self.platform_adapter.ready_path:
            return WebResponse(HTTPStatus.NOT_FOUND)
        if self.is_ready:
            return WebResponse()
        return WebResponse(HTTPStatus.SERVICE_UNAVAILABLE)

    def _export_metrics(self, _request: WebRequest) -> WebResponse:
        return WebResponse(body=self.metrics.format_text(), content_type=METRICS_TYPE)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.opt(exception=task.exception()).error("a task failed")
