"""Calls of backend servers: heartbeats and leave messages."""

import msgspec

from daisylink.errors import NodeError, ResultCode
from daisylink.http_server import WebRequest, WebResponse
from daisylink.platform._units import parse_duration
from daisylink.serving import Announcement, Departure, ServerState

CALL_PATH = "/-/rpc"
ANNOUNCE_CALL = "instances.heartbeat"
LEAVE_CALL = "instances.leave"
STATES = {"ready": ServerState.SERVING, "draining": ServerState.DRAINING}


class _Heartbeat(msgspec.Struct):
    """Body of a heartbeat.

    :param born: when the server started, in milliseconds of its wall clock.
    :param seq: grows with each heartbeat since the start.
    :param cold_left: how much longer the server is slow after its start.
    :param version: version of the server's software.
    """

    service: str
    address: str
    slots: int
    state: str
    seq: int
    born: int
    cold_left: str = "0ms"
    version: str = ""


class _Leave(msgspec.Struct):
    born: int = 0


def decode_announcement(request: WebRequest) -> Announcement | Departure:
    """Decode a backend server's call.

    :raises NodeError: ``ANNOUNCE_INVALID`` if it cannot be decoded,
        ``ADMIN_NOT_FOUND`` if it is another call.
    """
    call = request.query.get("call") if request.path == CALL_PATH else None
    instance = request.query.get("of", "")
    if request.method != "POST" or call not in (ANNOUNCE_CALL, LEAVE_CALL):
        raise NodeError("no such call", ResultCode.ADMIN_NOT_FOUND)
    is_name = instance.isascii() and instance.isprintable() and " " not in instance
    if not instance or not is_name:
        raise NodeError("no instance named", ResultCode.ANNOUNCE_INVALID)
    try:
        if call == LEAVE_CALL:
            leave = msgspec.json.decode(request.body or b"{}", type=_Leave)
            return Departure(instance, leave.born)
        return _decode_heartbeat(instance, request.body)
    except (msgspec.MsgspecError, ValueError, KeyError) as error:
        raise NodeError(str(error), ResultCode.ANNOUNCE_INVALID) from error


def make_response() -> WebResponse:
    """Return the confirmation of a call."""
    return WebResponse.from_object({})


def _decode_heartbeat(instance: str, body: bytes) -> Announcement:
    heartbeat = msgspec.json.decode(body, type=_Heartbeat)
    return Announcement(
        address=heartbeat.address,
        pool=heartbeat.service,
        slots=heartbeat.slots,
        state=STATES[heartbeat.state],
        instance=instance,
        born=heartbeat.born,
        sequence=heartbeat.seq,
        cold_left=parse_duration(heartbeat.cold_left),
        software_version=heartbeat.version,
    )
