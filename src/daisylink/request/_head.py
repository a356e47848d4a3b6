"""Parses request heads and builds the heads that are sent to the next hop."""

import math
from typing import NamedTuple

from daisylink.errors import RequestError, ResultCode
from daisylink.request._header_names import DEFAULT_HEADER_NAMES, HeaderNames
from daisylink.request._header_text import decode_field, encode_field
from daisylink.version import Priority

DEPTH_HEADER = b"daisylink-depth"
HOP_HEADER = b"daisylink-hop"
LOAD_HEADER = b"daisylink-load"
PACE_HEADER = b"daisylink-pace"
LIMIT_HEADER = b"daisylink-limit"
WAIT_HEADER = b"daisylink-wait"
TENANT_HEADER = b"daisylink-tenant"
MAY_NOT_WAIT = b"no"
CALL_HEADER = b"daisylink-call"
IS_CALL = b"1"
LOST_HEADER = b"daisylink-lost"
HAS_LOST_ATTEMPT = b"1"
OWN_PREFIX = b"daisylink-"
MAX_NUMBER_DIGITS = 9
LIMIT_FIELDS = 3
HOP_FIELDS = 9
# Nodes of the first release send only the first four fields.
OLD_HOP_FIELDS = 4

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
HANDLED_HEADERS = CONNECTION_HEADERS | {b"host"}

Header = tuple[bytes, bytes]


class RequestHead(NamedTuple):
    """A parsed request line with its headers.

    :param target: path and query as received.
    :param host: value of the ``Host`` header.
    :param headers: pairs of lower-case name and value, without hop-by-hop headers.
    :param length: length of the body in bytes, None if chunked.
    :param expects_continue: whether the sender waits for ``100 Continue``.
    :param deadline_ms: time that the caller allows in milliseconds, None if not stated.
    :param depth: number of services that the request's call chain has passed through.
    :param hop_metadata: metadata of a relayed request, None from a caller.
    :param request_id: id of the request, empty without one.
    :param told_limit: limit of the chosen backend server, None if the entry node knows
        of none.
    :param may_wait: whether the request may wait for a slot at the node that it is
        relayed to; nodes of earlier releases let each one wait.
    :param tenant: name of the tenant of a relayed request, "" for none; nodes of
        earlier releases state none.
    :param is_call: whether a backend server makes the relayed request for one that it
        runs; nodes of earlier releases do not say so.
    :param has_lost_attempt: whether an earlier attempt of the relayed request lost its
        server or node; nodes of earlier releases do not say so.
    """

    method: bytes
    target: bytes
    host: str
    headers: tuple[Header, ...]
    length: int | None
    expects_continue: bool
    deadline_ms: int | None
    depth: int
    hop_metadata: "HopMetadata | None"
    request_id: bytes = b""
    told_limit: "ToldLimit | None" = None
    may_wait: bool = True
    tenant: str = ""
    is_call: bool = False
    has_lost_attempt: bool = False

    @property
    def path(self) -> str:
        """Return the path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class ToldLimit(NamedTuple):
    """A limit that the entry node knows from a backend server's own responses.

    :param rate: requests a second that the server takes from all nodes together.
    :param instance: name of the server's start.
    :param born: start time on the server's own clock, in milliseconds.
    """

    rate: float
    instance: str
    born: int


class HopMetadata(NamedTuple):
    """Metadata that an entry node sends with a relayed request.

    :param pool: pool that serves the request.
    :param deadline_ms: time left until the deadline, in milliseconds.
    :param origin: service of the entry node's backend server.
    :param instance: the only backend server that may run the request, "" for any;
        nodes of earlier releases state it, others read and ignore it.
    :param version: number of the version in force at the entry node.
    :param slo_ms: time left to meet the objective in milliseconds, 0 for none.
    :param route: name of the route.
    """

    pool: str
    deadline_ms: int
    idempotent: bool
    priority: Priority
    origin: str = ""
    instance: str = ""
    version: int = 0
    slo_ms: int = 0
    route: str = ""


def parse_head(
    method: bytes,
    target: bytes,
    headers: list[Header],
    is_relay: bool,
    header_names: HeaderNames = DEFAULT_HEADER_NAMES,
) -> RequestHead:
    """Validate a request head and remove the headers that are not forwarded.

    :param headers: pairs of lower-case name and value.
    :param is_relay: whether another node sent it; only then is its hop header trusted.
    :param header_names: header names that callers use.
    :raises RequestError: if ``Host`` is missing or repeated, a relayed request has no
        hop header, or a header value is malformed.
    """
    host = length = deadline = hop = told_limit = None
    request_id = b""
    consumed = header_names.consumed
    depth = 0
    chunked = expects = has_connection_header = False
    may_wait = True
    tenant = ""
    is_call = False
    has_lost_attempt = False
    forwarded: list[Header] = []
    for item in headers:
        name, value = item
        if name == header_names.deadline:
            deadline = _parse_number(value)
        elif name in consumed:
            continue
        elif name not in HANDLED_HEADERS and not name.startswith(OWN_PREFIX):
            forwarded.append(item)
            if name == header_names.request_id:
                request_id = value
        elif name == b"host":
            if host is not None:
                raise RequestError("more than one Host header")
            host = value
            forwarded.append(item)
        elif name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            chunked = True
        elif name == b"expect":
            expects = value.lower() == b"100-continue"
        elif name == b"connection":
            has_connection_header = True
        elif name == DEPTH_HEADER:
            depth = _parse_number(value)
        elif name == HOP_HEADER and is_relay:
            hop = decode_hop_metadata(value)
        elif name == LIMIT_HEADER and is_relay:
            told_limit = decode_told_limit(value)
        elif name == WAIT_HEADER and is_relay:
            may_wait = value != MAY_NOT_WAIT
        elif name == TENANT_HEADER and is_relay:
            tenant = value.decode("utf-8", "replace")
        elif name == CALL_HEADER and is_relay:
            is_call = value == IS_CALL
        elif name == LOST_HEADER and is_relay:
            has_lost_attempt = value == HAS_LOST_ATTEMPT
    if host is None:
        raise RequestError("missing Host header")
    if is_relay and hop is None:
        raise RequestError("missing hop header")
    if has_connection_header:
        dropped = find_connection_headers(headers)
        forwarded = [item for item in forwarded if item[0] not in dropped]
    return RequestHead(
        method,
        target,
        host.decode("latin-1"),
        tuple(forwarded),
        None if chunked else length or 0,
        expects,
        deadline,
        depth,
        hop,
        request_id,
        told_limit,
        may_wait,
        tenant,
        is_call,
        has_lost_attempt,
    )


def build_hop_head(
    head: RequestHead, extra: list[Header], expect: bool = False
) -> bytes:
    """Return the bytes of a request head for the next hop.

    :param extra: headers that this node adds.
    :param expect: whether to send ``Expect: 100-continue``.
    """
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in head.headers]
    lines += [name + b": " + value for name, value in extra]
    if head.length is None:
        lines.append(b"transfer-encoding: chunked")
    elif head.length or head.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % head.length)
    if expect:
        lines.append(b"expect: 100-continue")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_hop_metadata(hop: HopMetadata) -> bytes:
    """Return the value of the hop header."""
    kind = "i" if hop.idempotent else "n"
    fields = (
        encode_field(hop.pool),
        hop.deadline_ms,
        kind,
        hop.priority.value,
        encode_field(hop.origin),
        encode_field(hop.instance),
        hop.version,
        hop.slo_ms,
        encode_field(hop.route),
    )
    return " ".join(str(field) for field in fields).encode()


def decode_hop_metadata(value: bytes) -> HopMetadata:
    """Decode the value of the hop header.

    Nodes of earlier releases send the route's name, the last field, as it is.

    :raises RequestError: if it is malformed.
    """
    try:
        fields = value.decode().split(" ", HOP_FIELDS - 1)
        if len(fields) == OLD_HOP_FIELDS:
            fields += ["", "", "0", "0", ""]
        pool, deadline_ms, kind, priority, *rest = fields
        origin, instance, version, slo_ms, route = rest
        return HopMetadata(
            decode_field(pool),
            int(deadline_ms),
            kind == "i",
            Priority(priority),
            decode_field(origin),
            decode_field(instance),
            int(version),
            int(slo_ms),
            decode_field(route),
        )
    except ValueError as error:
        raise RequestError("malformed hop header") from error


def encode_told_limit(told: ToldLimit) -> bytes:
    """Return the value of the limit header."""
    return f"{told.rate!r} {encode_field(told.instance)} {told.born}".encode()


def decode_told_limit(value: bytes) -> ToldLimit | None:
    """Decode the value of the limit header, None if it is malformed.

    A request is worth more than what comes along with it.
    """
    fields = value.decode("latin-1").split(" ")
    if len(fields) != LIMIT_FIELDS:
        return None
    try:
        rate, born = float(fields[0]), int(fields[2])
        instance = decode_field(fields[1])
    except ValueError:
        return None
    if not math.isfinite(rate) or rate < 0:
        return None
    return ToldLimit(rate, instance, born)


def find_connection_headers(headers: list[Header]) -> frozenset[bytes]:
    """Return the names of hop-by-hop headers, with those that ``Connection`` lists."""
    dropped = CONNECTION_HEADERS
    for name, value in headers:
        if name == b"connection":
            named = (item.strip().lower() for item in value.split(b","))
            dropped = dropped.union(
                item for item in named if item not in (b"host", b"")
            )
    return dropped


def _parse_number(value: bytes) -> int:
    if not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        raise RequestError("malformed number in a header", ResultCode.REQUEST_MALFORMED)
    return int(value)
