"""Buffers a request body so that it can be sent again on a retry."""

import hashlib

MAX_REPLAY_BYTES = 64 * 1024
LAST_CHUNK = b"0\r\n\r\n"
BODY_DIGEST_BYTES = 16


class RequestBody:
    """A request body, which is framed when it is passed on.

    :param chunked: whether the body uses the chunked transfer coding.
    """

    def __init__(self, chunked: bool):
        self.chunked = chunked
        # The content received so far, without framing.
        self.kept = bytearray()
        self.size = 0
        self.replayable = True
        self.done = False
        self.dropped_digest = b""

    @property
    def is_full(self) -> bool:
        """Return whether the buffer is full, or was full and has been dropped."""
        return len(self.kept) >= MAX_REPLAY_BYTES or not self.replayable

    @property
    def is_recognizable(self) -> bool:
        """Return whether :meth:`digest` is final."""
        return self.done or self.is_full

    def take(self, data: bytes, keep: bool) -> bytes:
        """Add a piece of the body.

        :param data: the piece, without framing.
        :param keep: whether to buffer it for a connection that is not open yet.
        :returns: the piece, framed for the next hop.
        """
        self.size += len(data)
        if self.replayable or keep:
            self.kept += data
        return frame_chunk(data) if self.chunked else data

    def end(self) -> bytes:
        """Complete the body.

        :returns: the bytes that end it, empty if it is not chunked.
        """
        self.done = True
        return LAST_CHUNK if self.chunked else b""

    def frame_kept(self) -> bytes:
        """Return what is buffered, framed for the next hop, with its end if known."""
        data = bytes(self.kept)
        if not self.chunked:
            return data
        framed = frame_chunk(data) if data else b""
        return framed + LAST_CHUNK if self.done else framed

    def trim(self) -> None:
        """Drop the buffer if the body is too long to be sent again."""
        if len(self.kept) > MAX_REPLAY_BYTES:
            self.dropped_digest = self.digest()
            self.replayable = False
            self.kept.clear()

    def digest(self) -> bytes:
        """Return the digest of the content's first :data:`MAX_REPLAY_BYTES` bytes.

        It depends neither on framing nor on the pieces in which the body arrived.
        """
        if self.dropped_digest:
            return self.dropped_digest
        content = bytes(self.kept[:MAX_REPLAY_BYTES])
        return hashlib.blake2b(content, digest_size=BODY_DIGEST_BYTES).digest()


def frame_chunk(data: bytes) -> bytes:
    """Return data framed as one HTTP/1.1 chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
