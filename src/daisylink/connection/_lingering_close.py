"""Closes connections without losing what their callers have not received.

The kernel resets a connection that is closed with unread bytes, such as a request that
crosses the close, and drops what it has not sent. So the sending side is ended first,
and what the caller still sends is discarded until it closes, for a limited time.
"""

import asyncio
import fcntl
import struct
import termios

# Time for a caller to close after it has received everything.
LINGER_SECONDS = 2.0
# Bytes that are read and discarded meanwhile.
MAX_DISCARDED_BYTES = 64 * 1024
INT_FORMAT = "i"


class LingeringClose:
    """The end of one connection.

    :param transport: its transport, whose sending side is ended.
    :param now: seconds of the monotonic clock.
    """

    def __init__(self, transport: asyncio.Transport, now: float):
        self.transport = transport
        self.sent_at = now
        self.discarded_bytes = 0
        try:
            transport.write_eof()
        except OSError:
            transport.abort()

    def discard(self, size: int) -> None:
        """Count bytes that were read and discarded."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.close()

    def enforce_timeout(self, now: float) -> None:
        """Close the connection if its caller has had time to do so.

        :param now: seconds of the monotonic clock.
        """
        if count_unsent_bytes(self.transport):
            self.sent_at = now
        elif now - self.sent_at > LINGER_SECONDS:
            self.transport.close()


def count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the other side has not acknowledged.

    :param transport: transport of a TCP connection.
    """
    waiting_bytes = transport.get_write_buffer_size()
    tcp_socket = transport.get_extra_info("socket")
    if waiting_bytes or tcp_socket is None:
        return waiting_bytes
    try:
        size = fcntl.ioctl(tcp_socket.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # The connection is closed.
        return 0
    return struct.unpack(INT_FORMAT, size)[0]
