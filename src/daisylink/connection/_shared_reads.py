"""Reads of all connections into one buffer."""

import asyncio

# Bytes of one read: what a connection may add to the bytes held before it is paused.
READ_BYTES = 64 * 1024


class SharedReadProtocol(asyncio.BufferedProtocol):
    """A protocol that reads into a buffer which all connections of the process share.

    Each read is handled before the next one, and allocating a buffer for it would cost
    more time than the read itself. Subclasses handle the bytes in ``data_received``;
    they are valid only during the call.
    """

    read_buffer = memoryview(bytearray(READ_BYTES))

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Pass on the bytes that were read into the buffer."""
        self.data_received(self.read_buffer[:size])
