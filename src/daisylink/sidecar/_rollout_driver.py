"""The I/O of rollouts: the keys that are read, and the reports between nodes."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from daisylink.clock import Clock
from daisylink.errors import NodeError
from daisylink.logs import get_logger
from daisylink.registry import Item, MemberTable
from daisylink.rollout import (
    CONTROLLER_KEY,
    STATE_PREFIX,
    EvidenceReply,
    EvidenceReport,
    RolloutState,
    ServerView,
)
from daisylink.serving import Gateway, MemberRecord, ServerState
from daisylink.sidecar._datagrams import Datagrams
from daisylink.sidecar._platform_adapter import RolloutFormats
from daisylink.sidecar._rollout_controller import FleetView, RolloutController

REPORT_SECONDS = 0.3
TICK_SECONDS = 0.1

log = get_logger("rollout")


class RolloutDriver:
    """Connects rollouts to the store, to other nodes and to the gateway.

    :param fleet_sync: knows the version in force, this node's lease and its rank.
    :param formats: keys and formats of the platform, None if it has no rollouts.
    :param spawn: starts a task.
    :param on_change: called when this node's record may have changed.
    """

    def __init__(
        self,
        gateway: Gateway,
        members: MemberTable,
        fleet_sync: Any,
        formats: RolloutFormats | None,
        datagrams: Datagrams,
        clock: Clock,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
        on_change: Callable[[], None],
    ):
        self.gateway = gateway
        self.gate = gateway.version_gate
        self.gate.now = clock.boot
        self.table = gateway.balancer.rollouts
        self.members = members
        self.fleet_sync = fleet_sync
        self.formats = formats
        self.datagrams = datagrams
        self.on_change = on_change
        self.now = clock.monotonic
        self.loop = gateway.loop
        self.timer: asyncio.TimerHandle | None = None
        self.report_at = 0.0
        self.controller: RolloutController | None = None
        if formats is not None:
            self.controller = RolloutController(
                members.own_record.node,
                fleet_sync.store_driver.store,
                formats,
                self.table,
                FleetView(
                    self._list_servers,
                    self._is_known,
                    lambda: fleet_sync.registration.lease_id,
                ),
                clock.monotonic,
                spawn,
                self._put_state,
            )
        datagrams.register(EvidenceReport, self._handle_report)
        datagrams.register(EvidenceReply, self._handle_reply)

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def handle_item(self, item: Item) -> None:
        """Handle a key that is new, changed or deleted."""
        controller = self.controller
        if controller is None:
            return
        if item.key == CONTROLLER_KEY:
            controller.handle_key(item.value, item.revision)
        elif item.key.startswith(STATE_PREFIX):
            self._handle_state(item)
        elif item.key.startswith(self.formats.order_prefix):
            self._handle_order(item)
        else:
            return
        self._schedule(0.0)

    def update_server(self, record: MemberRecord) -> MemberRecord:
        """Tell the gate of the server beside this node.

        :returns: the node's record, in which a server that is held back is starting.
        """
        local_server = self.gateway.local_server
        announcement = local_server.announcement
        now = self.now()
        if announcement is not None:
            start = (record.instance, record.born)
            self.gate.set_server(record.pool, record.software_version, start)
            lease = local_server.settings.lease.total_seconds()
            heard_at = local_server.expires - lease
            cold_left = announcement.cold_left.total_seconds() - (now - heard_at)
            self.gate.set_cold(max(0.0, cold_left))
        if record.server is not ServerState.SERVING or not record.software_version:
            return record
        others = {
            other.software_version
            for node, other in self.members.serving(record.pool).items()
            if node != record.node and other.software_version
        }
        view_age = self.fleet_sync.watch_cache.count_age(now)
        if not self.gate.holds_back(others, view_age):
            return record
        self.loop.call_later(REPORT_SECONDS, self.on_change)
        return msgspec.structs.replace(record, server=ServerState.STARTING)

    # Keys

    def _handle_order(self, item: Item) -> None:
        service = item.key.removeprefix(self.formats.order_prefix)
        if item.value is None:
            log.bind(service=service).info("order of a rollout deleted")
            self.controller.handle_order(service, None)
            return
        try:
            order = self.formats.decode_order(item)
        except NodeError as error:
            log.bind(service=service, revision=item.revision).error(
                "order of a rollout refused: {}", error
            )
            return
        self.controller.handle_order(service, order)

    def _handle_state(self, item: Item) -> None:
        service = item.key.removeprefix(STATE_PREFIX)
        if item.value is None:
            log.bind(service=service).warning("state of a rollout deleted; it stays")
            return
        try:
            state = msgspec.json.decode(item.value, type=RolloutState)
        except msgspec.MsgspecError as error:
            log.bind(service=service).error("state of a rollout unreadable: {}", error)
            return
        self._put_state(service, state)
        self.controller.handle_state(service, state, item.revision)

    def _put_state(self, service: str, state: RolloutState) -> None:
        previous = self.table.get(service)
        if not self.table.put(service, state):
            return
        self.gateway.balancer.invalidate_candidates()
        if service == self.gate.service:
            self.gate.refresh()
            self.gateway.update_admission()
            self.loop.call_soon(self.on_change)
            self.report_at = 0.0
        if previous is None or previous.step is not state.step:
            log.bind(
                service=service,
                target=state.target,
                step=state.step.value,
                share=state.share,
                reason=state.reason,
            ).info("rollout state received")
        self._schedule(0.0)

    # Timer

    def _schedule(self, seconds: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(seconds, self._tick)

    def _tick(self) -> None:
        self.timer = None
        controller = self.controller
        try:
            self._report()
            controller.tick(self.fleet_sync.role.rank)
        except Exception:
            log.exception("a step of the rollouts failed")
        if controller.has_work or controller.writing:
            self._schedule(TICK_SECONDS)

    def _report(self) -> None:
        now = self.now()
        if now < self.report_at or not self.controller.holder:
            return
        self.report_at = now + REPORT_SECONDS
        admission = self.gateway.admission
        for report in self.gate.make_reports(admission.in_use + admission.queued):
            self.datagrams.send(self.controller.holder, report)

    # Datagrams

    def _handle_report(self, report: EvidenceReport, sender: str) -> None:
        if self.controller is None:
            return
        reply = self.controller.handle_report(report)
        if reply is not None:
            self.datagrams.send(sender, reply)

    def _handle_reply(self, reply: EvidenceReply, _sender: str) -> None:
        self.gate.handle_reply(reply)

    # The fleet

    def _list_servers(self, service: str) -> list[ServerView]:
        return [
            ServerView(
                record.node, record.software_version, record.slots, record.is_serving
            )
            for record in self.members.records.values()
            if record.pool == service and record.server is not ServerState.ABSENT
        ]

    def _is_known(self, service: str) -> bool:
        version = self.fleet_sync.fleet_state.version
        if version is None or service in version.route_table.pools:
            return True
        return any(record.pool == service for record in self.members.records.values())
