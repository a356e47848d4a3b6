"""Limits on the heads of requests."""

from typing import Any, NamedTuple

# Headers of a request from a caller.
MAX_HEADERS = 100
# What another node may have added to a head, which it has checked itself, perhaps by a
# version with higher limits.
RELAY_EXTRA_BYTES = 256 * 1024
RELAY_EXTRA_HEADERS = 32
MAX_STORED_HEADERS = MAX_HEADERS + RELAY_EXTRA_HEADERS
# Separators and line ends, which are no part of a head's size, until it is complete.
FRAMING_BYTES = 1024


class HeadLimits(NamedTuple):
    """Limits on one head.

    :param max_bytes: of its target and headers.
    :param max_headers: number of headers.
    """

    max_bytes: int
    max_headers: int

    @property
    def max_partial_bytes(self) -> int:
        """Return how many bytes of an incomplete head may have been received."""
        return self.max_bytes + FRAMING_BYTES


class PartialHead:
    """Bytes that the parser gathers: parts of a head, or of a trailer.

    :ivar size: bytes since the last one of a complete head or of a body.
    :ivar has_parsed: whether the parser has completed something in the present read.
        What precedes a partial head in a read belongs to other requests.
    """

    def __init__(self):
        self.size = 0
        self.has_parsed = False

    def begin_read(self) -> None:
        """Begin to parse the bytes of a read."""
        self.has_parsed = False

    def end_read(self, size: int) -> None:
        """Count the bytes of a read that was parsed."""
        self.size = 0 if self.has_parsed else self.size + size

    def is_too_large(self, gateway: Any, is_relay: bool) -> bool:
        """Return whether the bytes exceed the limit of a connection.

        :param gateway: the process's :class:`~daisylink.serving.Gateway`.
        :param is_relay: whether the peer is another node.
        """
        if not self.size:
            return False
        limits = find_head_limits(gateway, is_relay)
        return self.size > limits.max_partial_bytes


def find_head_limits(gateway: Any, is_relay: bool) -> HeadLimits:
    """Return the limits on the heads of a connection.

    :param gateway: the process's :class:`~daisylink.serving.Gateway`.
    :param is_relay: whether the peer is another node.
    """
    max_bytes = gateway.caller_limits.header_bytes
    if is_relay:
        return HeadLimits(
            max_bytes + RELAY_EXTRA_BYTES, MAX_HEADERS + RELAY_EXTRA_HEADERS
        )
    return HeadLimits(max_bytes, MAX_HEADERS)


def measure_head(target: bytes, headers: list[tuple[bytes, bytes]]) -> int:
    """Return the size of a complete head in bytes, without separators.

    :param target: path and query as received.
    :param headers: pairs of name and value.
    """
    return len(target) + sum(len(name) + len(value) for name, value in headers)
