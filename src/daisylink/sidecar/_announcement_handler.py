"""Messages of the backend server beside this node, and what is acknowledged of them."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from daisylink.clock import Clock
from daisylink.errors import DaisylinkError, NodeError, ResultCode
from daisylink.http_server import WebRequest, WebResponse
from daisylink.logs import get_logger
from daisylink.registry import (
    DepartureLog,
    Item,
    StoreRevision,
    decode_departures,
    list_uncovered,
)
from daisylink.serving import (
    Announcement,
    AnnouncementResult,
    Departure,
    LocalServer,
    Metrics,
    ServerStart,
    ServerState,
)
from daisylink.settings import SidecarSettings
from daisylink.sidecar._leave_acknowledger import LeaveAcknowledger
from daisylink.sidecar._platform_adapter import PlatformAdapter

MS_PER_SECOND = 1000

log = get_logger("sidecar")


class AnnouncementHandler:
    """Applies the backend server's messages to its state.

    A process that starts takes the server into service only once it knows what a
    former process at this address has acknowledged.

    :param on_change: called after the server's state may have changed.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        platform_adapter: PlatformAdapter,
        local_server: LocalServer,
        departure_log: DepartureLog,
        metrics: Metrics,
        clock: Clock,
        on_change: Callable[[], None],
    ):
        self.pool = settings.pool
        self.server_address = settings.server
        self.platform_adapter = platform_adapter
        self.local_server = local_server
        self.departure_log = departure_log
        self.metrics = metrics
        self.clock = clock
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.acknowledger = LeaveAcknowledger(
            self.loop, departure_log, platform_adapter.make_response
        )

    def handle_request(
        self, request: WebRequest
    ) -> WebResponse | asyncio.Future[WebResponse]:
        """Handle a message; one that the server leaves is confirmed when stored."""
        try:
            message = self.platform_adapter.decode_announcement(request)
            departed = self._apply(message)
        except DaisylinkError as error:
            log.bind(code=int(error.code)).warning("announcement refused: {}", error)
            is_unknown = error.code is ResultCode.ADMIN_NOT_FOUND
            status = HTTPStatus.NOT_FOUND if is_unknown else HTTPStatus.BAD_REQUEST
            return WebResponse.from_error(error, status)
        self.on_change()
        if departed is not None:
            return self.acknowledger.respond(departed)
        return self.platform_adapter.make_response()

    def handle_stored_departures(self, item: Item) -> None:
        """Handle the key that holds the departures of this node's server."""
        try:
            found = self.departure_log.handle_item(item)
        except msgspec.MsgspecError as error:
            log.bind(revision=item.revision).error("departures unreadable: {}", error)
            return
        self.local_server.restore_departures(found)
        self.loop.call_soon(self.on_change)

    @property
    def awaits_witness(self) -> bool:
        """Return whether another node may know departures that the store has lost."""
        return self.local_server.awaits_witness

    def handle_told_departures(self, item: Item) -> None:
        """Handle the departures of this node's server as another node knows them."""
        try:
            found = decode_departures(item.value)
        except msgspec.MsgspecError as error:
            log.error("departures told by a peer are unreadable: {}", error)
            return
        unknown = list_uncovered(found, self.local_server.departures)
        if not unknown:
            return
        log.bind(starts=[list(start) for start in unknown]).warning(
            "departures told by a peer"
        )
        self.local_server.restore_departures(unknown)
        self.loop.call_soon(self.on_change)

    def end_witness_wait(self, has_witness: bool) -> None:
        """Handle that a peer has told the departures that it knows.

        :param has_witness: whether a peer that had read them was found.
        """
        log.bind(
            has_witness=has_witness, departures=len(self.local_server.departures)
        ).info("departures are not waited for any longer")
        self.local_server.end_witness_wait()
        self.loop.call_soon(self.on_change)

    def handle_listing(
        self, revision: StoreRevision, has_key: bool, is_complete: bool
    ) -> None:
        """Handle a listing of the store's keys.

        :param has_key: whether it has the key of the departures.
        :param is_complete: whether the store cannot have lost departures.
        """
        self.departure_log.handle_listing(revision, has_key)
        if not self.local_server.awaits_departures:
            return
        self.local_server.end_restore(is_complete)
        if self.local_server.announcement is not None:
            self.loop.call_soon(self.on_change)

    def _apply(self, message: Announcement | Departure) -> ServerStart | None:
        """Apply a message; return the start of the server that drains or leaves."""
        match message:
            case Announcement(pool=pool) if pool != self.pool:
                raise NodeError(f"pool {pool} is not served here")
            case Announcement():
                return self._announce(message._replace(address=self.server_address))
            case Departure():
                log.bind(
                    instance=message.instance,
                    born=message.born,
                    newest=self.local_server.newest,
                ).info("backend server leaves")
                left_ms = round(self.clock.now().timestamp() * MS_PER_SECOND)
                return self.local_server.handle_departure(message, left_ms)

    def _announce(self, announcement: Announcement) -> ServerStart | None:
        now = self.clock.monotonic()
        result = self.local_server.handle_announcement(announcement, now)
        self.metrics.record_announcement(result.value)
        if result is not AnnouncementResult.APPLIED:
            log.bind(
                instance=announcement.instance,
                born=announcement.born,
                sequence=announcement.sequence,
                state=announcement.state.name,
                reason=result.value,
                newest=self.local_server.newest,
            ).info("announcement ignored")
        if announcement.state is ServerState.DRAINING:
            last_born = self.local_server.departed[announcement.instance]
            return ServerStart(announcement.instance, last_born)
        return None
