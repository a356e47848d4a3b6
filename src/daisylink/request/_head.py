"""The head of a request, and the heads that are made of it for the next hop."""

from typing import NamedTuple

from daisylink.errors import RequestError, ResultCode
from daisylink.request._header_names import DEFAULT_HEADER_NAMES, HeaderNames
from daisylink.version import Priority

DEPTH_HEADER = b"daisylink-depth"
HOP_HEADER = b"daisylink-hop"
LOAD_HEADER = b"daisylink-load"
OWN_PREFIX = b"daisylink-"
MAX_DEADLINE_DIGITS = 9
NO_NAME = "-"
# Nodes of the first release name neither origin, instance nor version.
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
SORTED_HEADERS = CONNECTION_HEADERS | {b"host"}

Header = tuple[bytes, bytes]


class RequestHead(NamedTuple):
    """Request line and headers as they came.

    :param headers: names in lower case, without those of the connection.
    :param length: length of the body in bytes, None if chunked.
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

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class HopMetadata(NamedTuple):
    """What an entry node tells the node beside the chosen backend server.

    :param origin: service of the entry node's own backend server.
    :param instance: backend server that alone may run the request, "" for any.
    :param version: number of the entry node's version in force.
    :param slo_ms: what is left of the request's objective, 0 for none.
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
    """Check the parts of a head and sort out the headers that end here.

    :param headers: names in lower case.
    :param is_relay: whether another node sent it, whose own headers count.
    :param header_names: names of the callers' headers.
    :raises RequestError: if the head is ambiguous or names no host.
    """
    host = length = deadline = hop = None
    request_id = b""
    consumed = header_names.consumed
    depth = 0
    chunked = expects = names_others = False
    kept: list[Header] = []
    for item in headers:
        name, value = item
        if name == header_names.deadline:
            deadline = _parse_number(value)
        elif name in consumed:
            continue
        elif name not in SORTED_HEADERS and not name.startswith(OWN_PREFIX):
            kept.append(item)
            if name == header_names.request_id:
                request_id = value
        elif name == b"host":
            if host is not None:
                raise RequestError("two Host headers")
            host = value
            kept.append(item)
        elif name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            chunked = True
        elif name == b"expect":
            expects = value.lower() == b"100-continue"
        elif name == b"connection":
            names_others = True
        elif name == DEPTH_HEADER:
            depth = _parse_number(value)
        elif name == HOP_HEADER and is_relay:
            hop = decode_hop_metadata(value)
    if host is None:
        raise RequestError("no Host header")
    if is_relay and hop is None:
        raise RequestError("no hop header")
    if names_others:
        dropped = find_connection_headers(headers)
        kept = [item for item in kept if item[0] not in dropped]
    return RequestHead(
        method,
        target,
        host.decode("latin-1"),
        tuple(kept),
        None if chunked else length or 0,
        expects,
        deadline,
        depth,
        hop,
        request_id,
    )


def build_hop_head(
    head: RequestHead, extra: list[Header], expect: bool = False
) -> bytes:
    """Return the bytes of the request's head for the next hop.

    :param extra: headers that this node adds.
    :param expect: whether the next hop is to say when it wants the body.
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
        hop.pool,
        hop.deadline_ms,
        kind,
        hop.priority.value,
        hop.origin or NO_NAME,
        hop.instance or NO_NAME,
        hop.version,
        hop.slo_ms,
        hop.route or NO_NAME,
    )
    return " ".join(str(field) for field in fields).encode()


def decode_hop_metadata(value: bytes) -> HopMetadata:
    """Decode the value of the hop header.

    :raises RequestError: if it is not one.
    """
    try:
        fields = value.decode("ascii").split(" ")
        if len(fields) == OLD_HOP_FIELDS:
            fields += [NO_NAME, NO_NAME, "0", "0", NO_NAME]
        pool, deadline_ms, kind, priority, *rest = fields
        origin, instance, version, slo_ms, route = rest
        return HopMetadata(
            pool,
            int(deadline_ms),
            kind == "i",
            Priority(priority),
            "" if origin == NO_NAME else origin,
            "" if instance == NO_NAME else instance,
            int(version),
            int(slo_ms),
            "" if route == NO_NAME else route,
        )
    except ValueError as error:
        raise RequestError("bad hop header") from error


def find_connection_headers(headers: list[Header]) -> frozenset[bytes]:
    """Return the names of headers that concern one connection only."""
    dropped = CONNECTION_HEADERS
    for name, value in headers:
        if name == b"connection":
            named = (item.strip().lower() for item in value.split(b","))
            dropped = dropped.union(
                item for item in named if item not in (b"host", b"")
            )
    return dropped


def _parse_number(value: bytes) -> int:
    if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        raise RequestError("bad number in a header", ResultCode.REQUEST_MALFORMED)
    return int(value)
