"""Makes the store calls that keep the departures of servers there."""

from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from daisylink.errors import PlatformError
from daisylink.logs import get_logger
from daisylink.registry import (
    DeleteDepartures,
    DepartureLog,
    DepartureSweeper,
    Item,
    LeaseStore,
    LostDepartures,
    RestoreDepartures,
    WriteDepartures,
)
from daisylink.serving import ServerStart
from daisylink.sidecar._datagrams import Datagrams
from daisylink.sidecar._fleet_state import departure_key
from daisylink.sidecar._store_log import log_failure, log_unexpected

log = get_logger("store")


class DepartureNotice(msgspec.Struct, array_like=True):
    """Departures of a node's server that the store may not hold yet."""

    node: str
    starts: tuple[ServerStart, ...]


class DepartureDriver:
    """Writes this node's departures, and those of other nodes that the store lost.

    A few nodes are told of a departure before the store holds it, so before it is
    acknowledged: those that do not read it in time would not remember it.

    :param node: name of this node.
    :param now: returns the monotonic time in seconds.
    :param spawn: starts a task.
    :param on_call_done: called after each write, also after a failed one.
    """

    def __init__(
        self,
        store: LeaseStore,
        departure_log: DepartureLog,
        departure_sweeper: DepartureSweeper,
        lost_departures: LostDepartures,
        datagrams: Datagrams,
        node: str,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], Any],
        on_call_done: Callable[[], None],
    ):
        self.store = store
        self.departure_log = departure_log
        self.departure_sweeper = departure_sweeper
        self.lost_departures = lost_departures
        self.datagrams = datagrams
        self.node = node
        self.now = now
        self.spawn = spawn
        self.on_call_done = on_call_done
        datagrams.register(DepartureNotice, self._handle_notice)

    def set_departures(self, starts: tuple[ServerStart, ...]) -> None:
        """Set the departures of this node's server."""
        known = self.departure_log.departures
        self.departure_log.set_departures(starts)
        fresh = tuple(
            start
            for start in starts
            if start not in known and not self.departure_log.is_stored(start)
        )
        if not fresh:
            return
        notice = DepartureNotice(self.node, fresh)
        for keeper in self.lost_departures.choose_keepers(self.node):
            self.datagrams.send(keeper, notice)

    def _handle_notice(self, notice: DepartureNotice, _sender: str) -> None:
        era = self.store.era_tracker.current
        self.lost_departures.handle_told(notice.node, notice.starts, era)

    def tick(self, now: float) -> None:
        """Start the calls that are due."""
        write = self.departure_log.tick(now)
        if write is not None:
            self.spawn(self._write(write))
        for deletion in self.departure_sweeper.tick(now):
            self.spawn(self._delete(deletion))
        era = self.store.era_tracker.current
        for restoration in self.lost_departures.tick(now, era):
            self.spawn(self._restore(restoration))

    def handle_item(self, node: str, item: Item) -> None:
        """Handle the key that holds another node's departures."""
        known = self.lost_departures.lost.get(node, ())
        self.lost_departures.handle_item(node, item, self.now())
        lost = self.lost_departures.lost.get(node, ())
        if lost == known:
            return
        starts = [list(start) for start in lost]
        bound_log = log.bind(node=node, revision=item.revision, starts=starts)
        if lost:
            bound_log.warning("the store has lost departures")
        else:
            bound_log.info("lost departures are back")

    async def _write(self, call: WriteDepartures) -> None:
        had_failed = self.departure_log.backoff.failures > 0
        try:
            revision = await self.store.compare_and_swap(
                departure_key(self.node), call.value, call.revision
            )
        except PlatformError as error:
            log_failure(call, error, had_failed)
            self.departure_log.handle_failure(self.now())
        except Exception:
            log_unexpected(call)
            self.departure_log.handle_failure(self.now())
        else:
            self.departure_log.handle_success(revision)
        self.on_call_done()

    async def _delete(self, call: DeleteDepartures) -> None:
        bound_log = log.bind(node=call.node, revision=call.revision)
        try:
            await self.store.delete(departure_key(call.node), call.revision)
        except PlatformError as error:
            bound_log.bind(code=int(error.code)).info(
                "departures not deleted: {}", error
            )
        else:
            bound_log.info("departures of a node that is gone deleted")

    async def _restore(self, call: RestoreDepartures) -> None:
        bound_log = log.bind(node=call.node, known=call.revision)
        try:
            revision = await self.store.compare_and_swap(
                departure_key(call.node), call.value, call.revision
            )
        except PlatformError as error:
            # Another node may have written them by now.
            bound_log.bind(code=int(error.code)).info(
                "lost departures not written: {}", error
            )
        else:
            bound_log.bind(revision=revision).warning(
                "departures that the store had lost written again"
            )
        self.on_call_done()
