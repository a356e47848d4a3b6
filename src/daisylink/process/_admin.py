"""The admin listener: for the local backend server and for operators."""

from datetime import datetime
from typing import Any

import msgspec

from daisylink.errors import DaisylinkError, NodeError, ResultCode
from daisylink.serving._local_server import Announcement
from daisylink.serving._records import ServerState
from daisylink.settings import Address
from daisylink.web import WebRequest, WebResponse, WebServer

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
STATES = {
    "starting": ServerState.STARTING,
    "serving": ServerState.SERVING,
    "draining": ServerState.DRAINING,
}


class AnnouncementBody(msgspec.Struct):
    """Body of an announcement, as a backend server sends it.

    :param address: ``ip:port`` on which it accepts requests.
    :param pool: pool that it belongs to.
    :param slots: requests that it runs at once, 0 for the pool's number.
    :param state: ``starting``, ``serving`` or ``draining``.
    """

    address: str
    pool: str
    slots: int = 0
    state: str = "serving"


class NodeStatus(msgspec.Struct):
    """Status of a node, returned by ``/v1/status``.

    :param version: number of the version in force, 0 for none.
    :param digest: digest of that version in hexadecimal, empty for none.
    :param reader_slot: slot that it holds as a reader, None if it is not a reader.
    """

    node: str
    zone: str
    incarnation: int
    ready: bool
    version: int
    digest: str
    installed_at: datetime | None
    reader_slot: int | None
    members: int
    zones: list[str]
    server: str
    in_use: int
    queued: int
    open_requests: int


class MemberView(msgspec.Struct):
    """A member of the fleet, as listed by ``/v1/members``."""

    node: str
    zone: str
    incarnation: int
    state: str
    pool: str
    server: str


class Admin:
    """Handles the requests to the admin listener.

    :param node: the :class:`~daisylink.process.Node` that it belongs to.
    """

    def __init__(self, node: Any, web: WebServer):
        self.node = node
        self.web = web
        web.add_route("PUT", "/v1/server", self._guard(self._announce))
        web.add_route("POST", "/v1/server/renew", self._guard(self._renew))
        web.add_route("POST", "/v1/server/drain", self._guard(self._drain))
        web.add_route("DELETE", "/v1/server", self._guard(self._leave))
        web.add_route("GET", "/health", self._show_health)
        web.add_route("GET", "/ready", self._show_ready)
        web.add_route("GET", "/metrics", self._show_metrics)
        web.add_route("GET", "/v1/status", self._show_status)
        web.add_route("GET", "/v1/members", self._show_members)

    @staticmethod
    def _guard(handler):
        """Wrap a handler so that its errors become error responses."""

        def guarded(request: WebRequest) -> WebResponse:
            try:
                return handler(request)
            except DaisylinkError as error:
                return WebResponse.from_error(error, 400)

        return guarded

    def _announce(self, request: WebRequest) -> WebResponse:
        announcement = _decode_announcement(request.body)
        self.node.local_server.handle_announcement(announcement, self.node.now())
        return self._changed()

    def _renew(self, _request: WebRequest) -> WebResponse:
        self.node.local_server.renew(self.node.now())
        return self._changed()

    def _drain(self, _request: WebRequest) -> WebResponse:
        self.node.local_server.drain()
        return self._changed()

    def _leave(self, _request: WebRequest) -> WebResponse:
        self.node.local_server.remove()
        return self._changed()

    def _changed(self) -> WebResponse:
        self.node.update_server()
        return WebResponse.from_object(
            {"server": self.node.fleet.own_record.server.name.lower()}
        )

    def _show_health(self, _request: WebRequest) -> WebResponse:
        return WebResponse.from_object({"alive": True})

    def _show_ready(self, _request: WebRequest) -> WebResponse:
        if self.node.is_ready:
            return WebResponse.from_object({"ready": True})
        error = NodeError("not caught up", ResultCode.NODE_NOT_READY)
        return WebResponse.from_error(error, 503)

    def _show_metrics(self, _request: WebRequest) -> WebResponse:
        return WebResponse(200, self.node.metrics.format_text(), METRICS_TYPE)

    def _show_status(self, _request: WebRequest) -> WebResponse:
        return WebResponse.from_object(self.make_status())

    def make_status(self) -> NodeStatus:
        """Return the node's status."""
        node = self.node
        fleet = node.fleet
        current = fleet.installer.current
        return NodeStatus(
            node=fleet.own_record.node,
            zone=fleet.own_record.zone,
            incarnation=fleet.own_record.incarnation,
            ready=node.is_ready,
            version=fleet.installer.number,
            digest=current.stamp.digest.hex() if current is not None else "",
            installed_at=node.surveyor.installed_at,
            reader_slot=fleet.reader.slot,
            members=sum(1 for r in fleet.directory.records.values() if r.is_alive),
            zones=fleet.directory.zones(),
            server=fleet.own_record.server.name.lower(),
            in_use=node.gateway.admission.in_use,
            queued=node.gateway.admission.queued,
            open_requests=node.gateway.open_requests,
        )

    def _show_members(self, _request: WebRequest) -> WebResponse:
        records = self.node.fleet.directory.records.values()
        return WebResponse.from_object(
            [
                MemberView(
                    record.node,
                    record.zone,
                    record.incarnation,
                    record.state.name.lower(),
                    record.pool,
                    record.server.name.lower(),
                )
                for record in sorted(records, key=lambda record: record.node)
            ]
        )


def _decode_announcement(body: bytes) -> Announcement:
    """Decode and check an announcement.

    :raises NodeError: ``ANNOUNCE_INVALID`` with the reason.
    """
    try:
        value = msgspec.json.decode(body, type=AnnouncementBody)
        Address.from_text(value.address, "address")
    except (msgspec.MsgspecError, DaisylinkError) as error:
        raise NodeError(str(error), ResultCode.ANNOUNCE_INVALID) from error
    if value.state not in STATES or not value.pool or value.slots < 0:
        message = "state, pool or slots are not valid"
        raise NodeError(message, ResultCode.ANNOUNCE_INVALID)
    return Announcement(value.address, value.pool, value.slots, STATES[value.state])
