"""Records a keyed request's answer, and replays it to a later request with the key."""

import hashlib

import msgspec

from daisylink.request._head import RequestHead

KEY_HEADER = b"idempotency-key"
REPLAY_HEADER = b"daisylink-replayed"
MAX_RECORDED_BYTES = 16 * 1024
DIGEST_BYTES = 16


class RecordedResponse(msgspec.Struct, frozen=True, array_like=True):
    """Status line, header lines and body of an answer, without its framing."""

    status_line: bytes
    headers: tuple[bytes, ...]
    body: bytes


class ResponseRecorder:
    """Collects an answer while it passes, up to a size."""

    def __init__(self):
        self.status_line = b""
        self.headers: tuple[bytes, ...] = ()
        self.body: list[bytes] = []
        self.size = 0

    def handle_head(self, lines: list[bytes]) -> None:
        """Take the status line and the header lines."""
        self.status_line = lines[0]
        self.headers = tuple(lines[1:])
        self.size = sum(len(line) for line in lines)

    def handle_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.size += len(data)
        if self.size <= MAX_RECORDED_BYTES:
            self.body.append(data)

    def pack(self) -> bytes:
        """Return the packed answer, or nothing if it is too long to keep."""
        if self.size > MAX_RECORDED_BYTES:
            return b""
        answer = RecordedResponse(self.status_line, self.headers, b"".join(self.body))
        return msgspec.msgpack.encode(answer)


def find_key(head: RequestHead, pool: str) -> bytes | None:
    """Return the digest of a request's idempotency key, or None if it has none.

    :param pool: pool that the request goes to.
    """
    for name, value in head.headers:
        if name == KEY_HEADER:
            parts = (pool.encode(), head.host.encode(), head.target, value)
            text = b"\n".join(parts)
            return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return None


def build_replay(packed: bytes, is_head: bool, close: bool) -> bytes:
    """Return the HTTP/1.1 bytes of a recorded answer.

    :param is_head: whether the request's method is HEAD.
    :param close: whether the connection closes after it.
    """
    answer = msgspec.msgpack.decode(packed, type=RecordedResponse)
    lines = [answer.status_line, *answer.headers, REPLAY_HEADER + b": 1"]
    lines.append(b"content-length: %d" % len(answer.body))
    if close:
        lines.append(b"connection: close")
    body = b"" if is_head else answer.body
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
