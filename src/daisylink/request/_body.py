"""The body of a request on its way to the next hop, kept while it may be resent."""

REPLAY_BYTES = 64 * 1024
LAST_CHUNK = b"0\r\n\r\n"


class RequestBody:
    """Pieces of a body, framed for the next hop.

    :param chunked: whether the body's length is not stated.
    """

    def __init__(self, chunked: bool):
        self.chunked = chunked
        self.pieces: list[bytes] = []
        self.size = 0
        self.kept = 0
        self.replayable = True
        self.done = False

    @property
    def is_full(self) -> bool:
        """Return whether as much is kept as may be."""
        return self.kept >= REPLAY_BYTES

    def take(self, data: bytes, keep: bool) -> bytes:
        """Take a piece; return it as the next hop gets it.

        :param keep: whether to keep it for a hop that is yet to come.
        """
        self.size += len(data)
        if self.chunked:
            data = frame_chunk(data)
        if self.replayable or keep:
            self.pieces.append(data)
            self.kept += len(data)
        return data

    def end(self) -> bytes:
        """Note the end; return what the next hop gets for it."""
        self.done = True
        if not self.chunked:
            return b""
        self.pieces.append(LAST_CHUNK)
        return LAST_CHUNK

    def trim(self) -> None:
        """Drop what is kept once it is too long to be sent again."""
        if self.kept > REPLAY_BYTES:
            self.replayable = False
            self.pieces.clear()


def frame_chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
