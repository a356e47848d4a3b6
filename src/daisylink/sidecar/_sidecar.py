"""The shell of a sidecar: decision objects joined to sockets, timers and signals."""

import asyncio
import gc
import random
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

import msgspec

from daisylink.clock import Clock, SystemClock
from daisylink.errors import (
    CallError,
    DaisylinkError,
    NodeError,
    PlatformError,
    ResultCode,
    SettingError,
)
from daisylink.http_client import HttpClient
from daisylink.http_server import HttpServer, WebReply, WebRequest
from daisylink.logs import get_logger
from daisylink.registry import (
    EndLease,
    FollowCall,
    Follower,
    FollowerSettings,
    GrantLease,
    Item,
    ListKeys,
    Members,
    MemberSettings,
    Registration,
    RegistrationCall,
    RegistrationSettings,
    RenewLease,
    WatchKeys,
    WriteRecord,
)
from daisylink.serving import (
    Announcement,
    BudgetSettings,
    Chooser,
    Departure,
    Gateway,
    MemberRecord,
    MemberState,
    Metrics,
    Quarantine,
    QuarantineSettings,
    Slot,
    SlotSettings,
)
from daisylink.settings import Address, SidecarSettings
from daisylink.sidecar._deployment import Deployment
from daisylink.sidecar._knowledge import Knowledge, member_key
from daisylink.version import Version

BACKLOG = 512
GC_THRESHOLDS = (20_000, 20, 20)
POLL_SECONDS = 0.05
# An announcement may come seconds late; a crash shows by the refused connection.
ANNOUNCEMENTS_PER_LEASE = 6
# Two missed checks, a second apart, take new callers away from a node that stops. Until
# then its backend server, which may run on, goes on serving the fleet.
STOP_SERVE_SECONDS = 2.0
# Then callers' last connections end, while what is in hand is finished.
STOP_LISTEN_SECONDS = 0.5
# What a stop leaves of the grace, so that the process ends by itself.
STOP_MARGIN_SECONDS = 1.0
# Part of the fleet's retries that the nodes hand out; the rest covers calls made by
# repeats, which count as repeats too.
RETRY_SHARE = 0.7
PEER_CALL_SECONDS = 0.5
PEER_INTERVAL_SECONDS = 0.5
# A peer that is ahead may only have been told a moment sooner.
NEWER_PATIENCE_SECONDS = 1.0
# Time between new watches, in which a large configuration comes through a narrow link.
REWATCH_INTERVAL_SECONDS = 2.0
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MEMBERS_PATH = "/v1/members"
WORD_PATH = "/v1/word"

log = get_logger("sidecar")


class Word(msgspec.Struct, array_like=True):
    """What a node tells a peer that cannot reach the store.

    :param revision: the store's revision up to which the keys are complete.
    :param items: key, value or None, and revision of each key that is newer.
    """

    revision: int
    items: list[tuple[str, bytes | None, int]]


class Sidecar:
    """One node, with its listeners."""

    def __init__(
        self,
        settings: SidecarSettings,
        deployment: Deployment,
        clock: Clock,
        rng: random.Random,
    ):
        self.settings = settings
        self.deployment = deployment
        self.clock = clock
        self.now = clock.monotonic
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        node = str(settings.peers)
        own = MemberRecord(node, settings.zone, 0, relay=str(settings.relay))
        self.members = Members(MemberSettings(), own, self._heard_at)
        self.chooser = Chooser(self.members, rng)
        lease = settings.announce_interval * ANNOUNCEMENTS_PER_LEASE
        self.slot = Slot(SlotSettings(lease=lease))
        self.metrics = Metrics(node, settings.zone)
        self.gateway = Gateway(
            clock,
            self.loop,
            self.chooser,
            self.slot,
            self.metrics,
            Quarantine(QuarantineSettings()),
            deployment.dialect,
            keeps_keys=False,
            origin=settings.pool,
        )
        self.gateway.on_slot_changed = self.update_server
        self.gateway.note_peer_version = self._note_peer_version
        self.knowledge = Knowledge(
            self.members,
            deployment.config_key,
            deployment.read_configuration,
            self.now,
            self._install,
            self._note_members,
            self.gateway.flights.forget,
        )
        ttl = max(settings.lease_least, RegistrationSettings().ttl)
        self.registration = Registration(RegistrationSettings(ttl=ttl), rng)
        self.follower = Follower(
            FollowerSettings(), self.knowledge.take_item, self._take_listing, rng
        )
        self.listeners: list[asyncio.Server] = []
        self.small_listeners: list[HttpServer] = []
        self.tasks: set[asyncio.Task] = set()
        self.follow_task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.word_revision = 0
        self.ask_peer_at = float("inf")
        self.rewatched_at = float("-inf")
        self.newer_number = 0
        self.is_asking_peer = False
        self.stopping = False

    @classmethod
    def from_config(
        cls, settings: SidecarSettings, deployment: Deployment, **parts
    ) -> "Sidecar":
        """Build a sidecar with the system's clock.

        :param parts: replacements for ``clock`` and ``rng``.
        """
        parts.setdefault("clock", SystemClock())
        parts.setdefault("rng", random.Random())
        return cls(settings, deployment, **parts)

    @property
    def is_ready(self) -> bool:
        """Return whether callers may come: a version is known and no stop asked for."""
        return self.knowledge.version is not None and not self.stopping

    async def start(self) -> None:
        """Listen and join the fleet.

        :raises SettingError: if an address cannot be bound.
        """
        settings = self.settings
        self.step()
        await self._listen(settings.relay, self.gateway.make_relay)
        await self._listen(settings.callers, self.gateway.make_caller)
        await self._listen_small(settings.ready, self._answer_ready)
        await self._listen_small(settings.announcements, self._answer_announcement)
        await self._listen_small(settings.peers, self._answer_peer)
        try:
            await self._listen_small(settings.metrics, self._answer_metrics)
        except SettingError as error:
            log.warning("metrics are not served: {}", error)
        self._observe()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log.bind(node=settings.node, zone=settings.zone).info("started")

    async def stop(self) -> None:
        """Stop as planned: cut no request in flight, within the grace."""
        if self.stopping:
            return
        started_at = self.now()
        log.bind(open=self.gateway.open_requests).info("stopping")
        self.stopping = True
        self.gateway.begin_stop()
        await asyncio.sleep(STOP_SERVE_SECONDS)
        left = msgspec.structs.replace(self.members.own, state=MemberState.LEFT)
        self.registration.leave(msgspec.msgpack.encode(left))
        self.gateway.stop_serving()
        self.slot.leave()
        self.update_server()
        await asyncio.sleep(STOP_LISTEN_SECONDS)
        for listener in self.listeners:
            listener.close()
        self.gateway.close_idle()
        end = started_at + self.settings.grace.total_seconds() - STOP_MARGIN_SECONDS
        while self.gateway.open_requests and self.now() < end:
            await asyncio.sleep(POLL_SECONDS)
        log.bind(open=self.gateway.open_requests).info("stopped")
        self.close()

    def close(self) -> None:
        """Close everything at once."""
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.tasks):
            task.cancel()
        for listener in (*self.listeners, *self.small_listeners):
            listener.close()
        self.gateway.close()

    def reload(self, settings: SidecarSettings) -> None:
        """Take changed settings; those that name listeners need a restart."""
        if settings == self.settings:
            return
        log.bind(node=settings.node).info("settings changed")
        self.settings = settings
        self._share_budget()

    def update_server(self) -> None:
        """Bring the own record and admission in line with the slot's state."""
        now = self.now()
        self.slot.tick(now)
        record = self.slot.describe(self.members.own, now)
        if self.members.set_own(record):
            log.bind(instance=record.instance, pool=record.pool).info(
                "backend server is {}", record.server.name.lower()
            )
            self._note_members()
        if not self.registration.leaving:
            self.registration.set_record(msgspec.msgpack.encode(record))
        self.gateway.update_server()
        self.step()

    def step(self) -> None:
        """Do what is due in each decision object, and set the timer for the next."""
        now = self.now()
        self.knowledge.tick(now)
        if self.knowledge.is_own_missing and self.registration.pending is None:
            self.knowledge.is_own_missing = False
            self.registration.note_missing()
        call = self.registration.tick(now)
        if call is not None:
            self._spawn(self._register(call))
        follow = self.follower.tick(now)
        if follow is not None:
            self.follow_task = self._spawn(self._follow(follow))
        if now >= self.ask_peer_at:
            self.ask_peer_at = now + PEER_INTERVAL_SECONDS
            self._ask_peer()
        if now >= self.slot.wake_at:
            self.loop.call_soon(self.update_server)
        self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        wake_at = min(
            self.registration.wake_at,
            self.follower.wake_at,
            self.members.wake_at,
            self.slot.wake_at,
            self.ask_peer_at,
        )
        if wake_at < float("inf"):
            self.timer = self.loop.call_later(max(0.001, wake_at - now), self.step)

    # The store

    async def _register(self, call: RegistrationCall) -> None:
        store = self.deployment.store
        had_failed = self.registration.failures > 0
        try:
            match call:
                case GrantLease(ttl):
                    answer = await store.grant_lease(ttl)
                case RenewLease(lease_id):
                    answer = await store.renew_lease(lease_id)
                case WriteRecord(lease_id, value):
                    key = member_key(self.members.own.node)
                    answer = await store.write(key, value, lease_id)
                case EndLease(lease_id):
                    answer = await store.end_lease(lease_id)
        except PlatformError as error:
            self._note_store_failure(type(call).__name__, error, had_failed)
            self.registration.take_failure(error.code, self.now())
        else:
            self.registration.take_answer(answer, self.now())
            if had_failed:
                log.bind(call=type(call).__name__).info("store answers again")
                self._watch_anew("store answers again")
        self.step()

    async def _follow(self, call: FollowCall) -> None:
        store = self.deployment.store
        had_failed = self.follower.failures > 0
        try:
            match call:
                case ListKeys():
                    listing = await store.list("")
                    self.follower.take_listing_answer(listing, self.now())
                case WatchKeys(revision, wait):
                    changes = await store.watch("", revision, wait)
                    self.follower.take_changes(changes, self.now())
        except PlatformError as error:
            self._note_store_failure(type(call).__name__, error, had_failed)
            self.follower.take_failure(error.code, self.now())
            if self.follower.failures and self.ask_peer_at == float("inf"):
                self.ask_peer_at = self.now()
        else:
            self.ask_peer_at = float("inf")
            if had_failed:
                log.bind(call=type(call).__name__).info("store answers again")
        self.step()

    def _note_store_failure(
        self, call: str, error: PlatformError, had_failed: bool
    ) -> None:
        fields = log.bind(call=call, code=int(error.code))
        if had_failed:
            fields.debug("store call failed again: {}", error.message)
        else:
            fields.warning("store call failed: {}", error.message)

    def _watch_anew(self, reason: str) -> None:
        """Give up the call under way, which may have fallen silent, for a new one."""
        now = self.now()
        if now - self.rewatched_at < REWATCH_INTERVAL_SECONDS:
            return
        self.rewatched_at = now
        log.bind(reason=reason, revision=self.follower.revision).info("watch made anew")
        if self.follow_task is not None:
            self.follow_task.cancel()
        self.follower.watch_anew()

    def _take_listing(self) -> None:
        key = member_key(self.members.own.node)
        if key not in self.follower.values:
            self.registration.note_missing()

    # Peers

    def _note_peer_version(self, number: int) -> None:
        """Look for a version that a peer has and this node has not heard of."""
        if number <= max(self.knowledge.number, self.newer_number):
            return
        self.newer_number = number
        self.loop.call_later(NEWER_PATIENCE_SECONDS, self._look_for_version, number)

    def _look_for_version(self, number: int) -> None:
        """Find a version that a peer has had for a while and this node has not."""
        if number <= self.knowledge.number or self.stopping:
            return
        if self.follower.failures:
            self.ask_peer_at = min(self.ask_peer_at, self.now())
        else:
            self._watch_anew("a peer has a newer version")
        self.loop.call_soon(self.step)

    def _ask_peer(self) -> None:
        peers = [node for node in self.members.records if node != self.members.own.node]
        if peers and not self.is_asking_peer:
            self.is_asking_peer = True
            self._spawn(self._fetch_word(self.rng.choice(peers)))

    async def _fetch_word(self, peer: str) -> None:
        """Take a peer's keys: the store does not answer this node."""
        client = HttpClient(peer)
        target = f"{WORD_PATH}?after={self.word_revision}"
        try:
            answer = await client.call("GET", target, PEER_CALL_SECONDS)
            word = msgspec.msgpack.decode(answer.body, type=Word)
        except (CallError, msgspec.MsgspecError) as error:
            log.bind(peer=peer).debug("no word from peer: {}", error)
        else:
            self.word_revision = max(self.word_revision, word.revision)
            self.follower.take_word([Item(*item) for item in word.items])
        finally:
            client.close()
            self.is_asking_peer = False
        self.step()

    def _answer_peer(self, request: WebRequest) -> WebReply:
        if request.path == MEMBERS_PATH:
            return WebReply.from_object(list(self.members.records.values()))
        if request.path != WORD_PATH:
            return WebReply(HTTPStatus.NOT_FOUND)
        text = request.query.get("after", "0")
        after = int(text) if text.isdigit() else 0
        follower = self.follower
        items = [
            (key, follower.values.get(key), revision)
            for key, revision in follower.revisions.items()
            if revision > after
        ]
        word = Word(max(follower.revision, self.word_revision), items)
        return WebReply(body=msgspec.msgpack.encode(word))

    def _heard_at(self, node: str) -> float:
        return self.chooser.heard_at.get(node, float("-inf"))

    # Decisions

    def _install(self, version: Version) -> None:
        self.gateway.version = version
        self.gateway.update_server()

    def _note_members(self) -> None:
        self.chooser.note_directory()
        self._share_budget()

    def _share_budget(self) -> None:
        """Divide the fleet's retries among the nodes that are known."""
        settings = self.settings
        share = RETRY_SHARE * settings.retry_slack / len(self.members.records)
        window = settings.retry_window.total_seconds()
        self.gateway.set_budget(
            BudgetSettings(
                settings.retry_ratio * RETRY_SHARE, share / 2, share / 2 / window
            )
        )

    # Listeners

    async def _listen(self, address: Address, factory) -> None:
        try:
            server = await self.loop.create_server(
                factory, address.host, address.port, backlog=BACKLOG
            )
        except OSError as error:
            raise SettingError(
                f"cannot listen on {address}: {error.strerror}",
                ResultCode.SETTING_ADDRESS_IN_USE,
            ) from error
        self.listeners.append(server)

    async def _listen_small(self, address: Address, handler) -> None:
        server = HttpServer(handler)
        await server.start(*address)
        self.small_listeners.append(server)

    def _answer_ready(self, request: WebRequest) -> WebReply:
        if request.path != self.deployment.ready_path:
            return WebReply(HTTPStatus.NOT_FOUND)
        if self.is_ready:
            return WebReply()
        return WebReply(HTTPStatus.SERVICE_UNAVAILABLE)

    def _answer_announcement(self, request: WebRequest) -> WebReply:
        try:
            message = self.deployment.read_announcement(request)
            self._take_announcement(message)
        except DaisylinkError as error:
            log.bind(code=int(error.code)).warning("announcement refused: {}", error)
            is_unknown = error.code is ResultCode.ADMIN_NOT_FOUND
            status = HTTPStatus.NOT_FOUND if is_unknown else HTTPStatus.BAD_REQUEST
            return WebReply.from_error(error, status)
        return self.deployment.write_reply()

    def _take_announcement(self, message: Announcement | Departure) -> None:
        match message:
            case Announcement(pool=pool) if pool != self.settings.pool:
                raise NodeError(f"pool {pool} is not served here")
            case Announcement():
                server = self.settings.server
                self.slot.announce(message._replace(address=server), self.now())
            case Departure():
                log.bind(instance=message.instance).info("backend server leaves")
                self.slot.depart(message)
        self.update_server()

    def _answer_metrics(self, _request: WebRequest) -> WebReply:
        return WebReply(body=self.metrics.format_text(), content_type=METRICS_TYPE)

    def _observe(self) -> None:
        observe = self.metrics.observe
        observe("daisylink.version", lambda: self.knowledge.number, "Version in force.")
        observe("daisylink.ready", lambda: int(self.is_ready), "Whether ready.")
        observe(
            "daisylink.members",
            lambda: len(self.members.records),
            "Nodes known to run.",
        )
        observe(
            "daisylink.slots.in_use",
            lambda: self.gateway.admission.in_use,
            "Slots of the own backend server in use.",
        )
        observe(
            "daisylink.slots.waiting",
            lambda: self.gateway.admission.queued,
            "Requests that wait for a slot.",
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.opt(exception=task.exception()).error("a task failed")
