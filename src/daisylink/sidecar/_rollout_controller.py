"""The fleet's controller of rollouts: holds its key, and writes the states.

A state is written together with its status, on condition that neither the state nor the
controller's key has changed since. So a step that an earlier controller decided cannot
take effect after another one has taken over.
"""

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import msgspec

from daisylink.errors import PlatformError
from daisylink.logs import get_logger
from daisylink.registry import NO_REVISION, LeaseStore, Put, StoreRevision
from daisylink.rollout import (
    CONTROLLER_KEY,
    EvidenceReply,
    EvidenceReport,
    RolloutOrder,
    RolloutState,
    RolloutTable,
    ServerView,
    ServiceRollout,
    begin_state,
    state_key,
)
from daisylink.sidecar._platform_adapter import RolloutFormats

# Time until a write that failed is tried again, and between the readers' attempts to
# become the controller, by rank.
RETRY_SECONDS = 0.3
RANK_DELAY_SECONDS = 0.2
STATUS_RUNNING = "running"

log = get_logger("rollout")


class Ordered(NamedTuple):
    """An order that this node has read.

    :param seen_at: when it was read, in monotonic seconds.
    """

    order: RolloutOrder
    seen_at: float


class FleetView(NamedTuple):
    """What the controller has to know of the fleet.

    :param list_servers: returns the servers of a service.
    :param is_known: returns whether a service is configured or has servers.
    :param get_lease: returns the number of this node's lease, 0 without one.
    """

    list_servers: Callable[[str], list[ServerView]]
    is_known: Callable[[str], bool]
    get_lease: Callable[[], int]


class RolloutController:
    """Controls the rollouts of all services while this node holds the key.

    :param node: name of this node.
    :param spawn: starts a task.
    :param on_state: called with each service and state that was written.
    """

    def __init__(
        self,
        node: str,
        store: LeaseStore,
        formats: RolloutFormats,
        table: RolloutTable,
        fleet: FleetView,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], Any],
        on_state: Callable[[str, RolloutState], None],
    ):
        self.node = node
        self.store = store
        self.formats = formats
        self.table = table
        self.fleet = fleet
        self.now = now
        self.spawn = spawn
        self.on_state = on_state
        self.holder = ""
        self.key_revision = NO_REVISION
        self.lease = 0
        self.orders: dict[str, Ordered] = {}
        self.started_at: dict[str, float] = {}
        # Revisions of the states as written or read, and as read.
        self.revisions: dict[str, StoreRevision] = {}
        self.read_revisions: dict[str, StoreRevision] = {}
        self.rollouts: dict[str, ServiceRollout] = {}
        # Services whose rollout has ended but goes on according to the store, which
        # came back from an older copy.
        self.outdated: set[str] = set()
        self.writing: set[str] = set()
        self.retry_at: dict[str, float] = {}

    @property
    def is_controller(self) -> bool:
        """Return whether this node holds the key under its present lease."""
        return bool(self.lease) and self.lease == self.fleet.get_lease()

    @property
    def has_work(self) -> bool:
        """Return whether a rollout runs or is ordered."""
        is_running = any(not state.is_ended for state in self.table.states.values())
        has_new = any(self._is_new(service) for service in self.orders)
        return is_running or has_new or bool(self.outdated)

    # What the store tells

    def handle_key(self, value: bytes | None, revision: StoreRevision) -> None:
        """Handle the controller's key: another node's, this node's or none."""
        self.holder, _, lease = (value or b"").decode("latin-1").partition(" ")
        self.key_revision = revision if value is not None else NO_REVISION
        own_lease = self.fleet.get_lease()
        is_own = self.holder == self.node and lease == str(own_lease) and own_lease
        if is_own:
            self._take_over(own_lease)
        elif self.lease:
            self._step_down(f"the key is held by {self.holder or 'no node'}")

    def handle_order(self, service: str, order: RolloutOrder | None) -> None:
        """Handle an order, None if it was deleted."""
        if order is None:
            self.orders.pop(service, None)
            return
        self.orders[service] = Ordered(order, self.now())
        if self._is_new(service):
            self.started_at[service] = self.now()
            log.bind(
                service=service,
                target=order.target,
                seconds=order.duration,
                revision=order.revision,
            ).info("rollout ordered")

    def handle_state(
        self, service: str, state: RolloutState, revision: StoreRevision
    ) -> None:
        """Handle a state that was read."""
        now = self.now()
        self.read_revisions[service] = revision
        self.revisions[service] = max(
            revision, self.revisions.get(service, NO_REVISION)
        )
        order = self.orders.get(service)
        began = order.seen_at if order is not None else now
        known = self.started_at.get(service, now)
        if not self._is_new(service):
            self.started_at[service] = min(known, began, now - state.elapsed)
        kept = self.table.get(service)
        if kept is not None and kept.is_ended and not state.is_ended:
            self.outdated.add(service)
        else:
            self.outdated.discard(service)
        self._adopt(service, state)

    def handle_report(self, report: EvidenceReport) -> EvidenceReply | None:
        """Handle a node's report; return the reply, None if this node has none."""
        rollout = self.rollouts.get(report.service)
        if rollout is None or not self.is_controller:
            return None
        return rollout.handle_report(report, self.now())

    # Work

    def tick(self, rank: int | None) -> None:
        """Become or remain the controller, and write the steps that are due.

        :param rank: rank among the readers, None if this node is not a reader.
        """
        now = self.now()
        if self.lease and (rank is None or not self.is_controller):
            if rank is None and self.is_controller:
                self.spawn(self._release(self.key_revision))
            self._step_down("no reader any more" if rank is None else "lease ended")
        if rank is None or not self.fleet.get_lease():
            return
        if not self.is_controller:
            if not self.holder and self.has_work:
                self._try_to_acquire(rank, now)
            return
        for service in set(self.orders) | set(self.table.states):
            self._continue(service, now)

    def _try_to_acquire(self, rank: int, now: float) -> None:
        due = self.retry_at.setdefault(CONTROLLER_KEY, now + rank * RANK_DELAY_SECONDS)
        if now >= due and CONTROLLER_KEY not in self.writing:
            self.writing.add(CONTROLLER_KEY)
            self.spawn(self._acquire(self.fleet.get_lease()))

    async def _acquire(self, lease: int) -> None:
        value = f"{self.node} {lease}".encode()
        put = Put(CONTROLLER_KEY, value, lease)
        try:
            revision = await self.store.transact({CONTROLLER_KEY: NO_REVISION}, [put])
        except PlatformError as error:
            self._log_failure("controller's key not written", "", error)
        else:
            self.handle_key(value, revision)
        finally:
            self.writing.discard(CONTROLLER_KEY)
            self.retry_at[CONTROLLER_KEY] = self.now() + RETRY_SECONDS

    async def _release(self, revision: StoreRevision) -> None:
        try:
            await self.store.delete(CONTROLLER_KEY, revision)
        except PlatformError as error:
            self._log_failure("controller's key not deleted", "", error)

    def _take_over(self, lease: int) -> None:
        if not self.lease:
            log.bind(services=len(self.orders)).info("controller of rollouts")
        self.lease = lease

    def _step_down(self, reason: str) -> None:
        log.bind(reason=reason).info("no longer controller of rollouts")
        self.lease = 0
        self.rollouts.clear()

    def _is_new(self, service: str) -> bool:
        """Return whether the last order of a service has not been begun."""
        ordered = self.orders.get(service)
        if ordered is None:
            return False
        state = self.table.get(service)
        order = ordered.order
        return state is None or (state.order, state.target) != (
            order.revision,
            order.target,
        )

    def _continue(self, service: str, now: float) -> None:
        if service in self.writing or now < self.retry_at.get(service, 0.0):
            return
        if self._is_new(service):
            self._begin(service)
            return
        state = self.table.get(service)
        if state is None or state.is_ended:
            self.rollouts.pop(service, None)
            if service in self.outdated:
                self._write(service, state, None)
            return
        rollout = self.rollouts.get(service)
        if rollout is None:
            started_at = self.started_at.get(service, now - state.elapsed)
            rollout = ServiceRollout(state, started_at, now)
            self.rollouts[service] = rollout
        if not self.fleet.is_known(service):
            found = rollout.abandon("the service is unknown", now)
        elif service not in self.orders:
            found = rollout.abandon("the order was deleted", now)
        else:
            found = rollout.decide(self.fleet.list_servers(service), now)
        if found is not None:
            self._write(service, found, rollout)

    def _begin(self, service: str) -> None:
        order = self.orders[service].order
        previous = self.table.get(service)
        self.rollouts.pop(service, None)
        servers = self.fleet.list_servers(service)
        serving = {server.version for server in servers if server.is_serving}
        self._write(service, begin_state(order, previous, self.node, serving), None)

    def _write(
        self, service: str, state: RolloutState, rollout: ServiceRollout | None
    ) -> None:
        state = msgspec.structs.replace(state, controller=self.node)
        previous = self.table.get(service)
        is_new_status = (
            previous is None
            or previous.order != state.order
            or previous.target != state.target
            or state.is_ended
        )
        puts = self._make_puts(service, state, is_new_status)
        if is_new_status or previous.step is not state.step:
            _log_step(service, state, rollout)
        self.writing.add(service)
        # Read now: a step that was decided under this key must not be written under
        # the key of a later controller.
        conditions = {
            CONTROLLER_KEY: self.key_revision,
            state_key(service): self.revisions.get(service, NO_REVISION),
        }
        self.spawn(self._store(service, state, conditions, puts))

    def _make_puts(
        self, service: str, state: RolloutState, is_new_status: bool
    ) -> list[Put]:
        puts = []
        if is_new_status:
            status = state.step.value if state.is_ended else STATUS_RUNNING
            value = self.formats.encode_status(status, state.target)
            puts.append(Put(self.formats.status_key(service), value))
        # The state is the last key, as the store answers with the last revision.
        puts.append(Put(state_key(service), msgspec.json.encode(state)))
        return puts

    async def _store(
        self,
        service: str,
        state: RolloutState,
        conditions: dict[str, StoreRevision],
        puts: list[Put],
    ) -> None:
        try:
            revision = await self.store.transact(conditions, puts)
        except PlatformError as error:
            self._log_failure("rollout step not written", service, error)
            self.retry_at[service] = self.now() + RETRY_SECONDS
            self.revisions[service] = self.read_revisions.get(service, NO_REVISION)
        else:
            self.revisions[service] = revision
            self.outdated.discard(service)
            self.on_state(service, state)
            self._adopt(service, state)
        finally:
            self.writing.discard(service)

    def _adopt(self, service: str, state: RolloutState) -> None:
        rollout = self.rollouts.get(service)
        if rollout is None:
            return
        if rollout.state.order != state.order:
            del self.rollouts[service]
        else:
            rollout.adopt(state, self.now())

    def _log_failure(self, text: str, service: str, error: PlatformError) -> None:
        log.bind(service=service, code=int(error.code)).warning(
            "{}: {}", text, error.message
        )


def _log_step(
    service: str, state: RolloutState, rollout: ServiceRollout | None
) -> None:
    judge = rollout.judge if rollout is not None else None
    log.bind(
        service=service,
        target=state.target,
        step=state.step.value,
        share=state.share,
        reason=state.reason,
        elapsed=state.elapsed,
        granted=state.granted,
        requests=rollout.requests if rollout is not None else 0,
        responses=sum(judge.responses.values()) if judge is not None else 0,
        suspicion=round(judge.suspicion.total, 1) if judge is not None else 0,
    ).info("rollout step decided")
