"""Records the response to a keyed request and replays it to a resend."""

import hashlib

import msgspec

from daisylink.request._head import RequestHead

KEY_HEADER = b"idempotency-key"
REPLAY_HEADER = b"daisylink-replayed"
MAX_RECORDED_BYTES = 16 * 1024
DIGEST_BYTES = 16


class RecordedResponse(msgspec.Struct, frozen=True, array_like=True):
    """Status line, header lines and body of a response, without its framing."""

    status_line: bytes
    headers: tuple[bytes, ...]
    body: bytes


class ResponseRecorder:
    """Records a response as it passes, up to :data:`MAX_RECORDED_BYTES`."""

    def __init__(self):
        self.status_line = b""
        self.headers: tuple[bytes, ...] = ()
        self.body: list[bytes] = []
        self.size = 0

    def handle_head(self, lines: list[bytes]) -> None:
        """Record the status line and the header lines."""
        self.status_line = lines[0]
        self.headers = tuple(lines[1:])
        self.size = sum(len(line) for line in lines)

    def handle_body(self, data: bytes) -> None:
        """Record a piece of the body."""
        self.size += len(data)
        if self.size <= MAX_RECORDED_BYTES:
            self.body.append(data)

    def pack(self) -> bytes:
        """Return the encoded response, empty if it is too long to record."""
        if self.size > MAX_RECORDED_BYTES:
            return b""
        response = RecordedResponse(self.status_line, self.headers, b"".join(self.body))
        return msgspec.msgpack.encode(response)


def find_key(head: RequestHead, pool: str, tenant: str = "") -> bytes | None:
    """Return the digest of a request's idempotency key, or None if it has none.

    :param pool: pool that the request goes to.
    :param tenant: tenant of the request, "" for none. Equal keys of two tenants differ,
        or one could read the response to the other's request.
    """
    for name, value in head.headers:
        if name == KEY_HEADER:
            parts = [pool.encode(), head.host.encode(), head.target, value]
            if tenant:
                parts.append(tenant.encode())
            text = b"\n".join(parts)
            return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return None


def build_replay(packed: bytes, is_head: bool, close: bool) -> bytes:
    """Return the HTTP/1.1 bytes of a recorded response.

    :param packed: the encoded response.
    :param is_head: whether the request's method is HEAD.
    :param close: whether the connection closes after it.
    """
    response = msgspec.msgpack.decode(packed, type=RecordedResponse)
    lines = [response.status_line, *response.headers, REPLAY_HEADER + b": 1"]
    lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    body = b"" if is_head else response.body
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
