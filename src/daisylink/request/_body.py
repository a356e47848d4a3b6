"""Buffers a request body so that it can be sent again on a retry."""

MAX_REPLAY_BYTES = 64 * 1024
LAST_CHUNK = b"0\r\n\r\n"


class RequestBody:
    """A request body, framed for the next hop.

    :param chunked: whether the body uses the chunked transfer coding.
    """

    def __init__(self, chunked: bool):
        self.chunked = chunked
        self.kept = bytearray()
        self.size = 0
        self.replayable = True
        self.done = False

    @property
    def is_full(self) -> bool:
        """Return whether the buffer is full, or was full and has been dropped."""
        return len(self.kept) >= MAX_REPLAY_BYTES or not self.replayable

    def take(self, data: bytes, keep: bool) -> bytes:
        """Add a piece of the body.

        :param data: the piece, without framing.
        :param keep: whether to buffer it for a connection that is not open yet.
        :returns: the piece, framed for the next hop.
        """
        self.size += len(data)
        if self.chunked:
            data = frame_chunk(data)
        if self.replayable or keep:
            self.kept += data
        return data

    def end(self) -> bytes:
        """Complete the body.

        :returns: the bytes that end it, empty if it is not chunked.
        """
        self.done = True
        if not self.chunked:
            return b""
        self.kept += LAST_CHUNK
        return LAST_CHUNK

    def trim(self) -> None:
        """Drop the buffer if the body is too long to be sent again."""
        if len(self.kept) > MAX_REPLAY_BYTES:
            self.replayable = False
            self.kept.clear()


def frame_chunk(data: bytes) -> bytes:
    """Return data framed as one HTTP/1.1 chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
