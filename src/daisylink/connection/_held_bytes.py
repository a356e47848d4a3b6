"""Counts and bounds the bytes that a process holds for callers and next hops."""

from collections.abc import Collection, Iterable
from typing import Any, NamedTuple

from daisylink.logs import get_logger

BYTES_PER_MB = 1024 * 1024
DEFAULT_MAX_BYTES = 32 * BYTES_PER_MB
# The rest is for the program, the fleet's state and the copies that writing needs.
MEMORY_SHARE = 1 / 8
# Memory of the objects of a request in progress, beside its bytes.
REQUEST_BYTES = 6 * 1024
# Part of the bound that may be received between two counts when it is nearly reached.
RECOUNT_SHARE = 1 / 32

log = get_logger("memory")


class HeldBytes(NamedTuple):
    """Bytes that wait in a process, by what they wait for.

    :param responses: of responses behind an earlier one on their caller's connection.
    :param caller_writes: written to callers, not yet accepted by their sockets.
    :param bodies: of request bodies, kept to be sent or to be sent again.
    :param hop_writes: written to next hops, not yet accepted by their sockets.
    :param heads: of heads, partly received or of requests in progress, with the objects
        that a request takes.
    """

    responses: int = 0
    caller_writes: int = 0
    bodies: int = 0
    hop_writes: int = 0
    heads: int = 0

    @property
    def total(self) -> int:
        """Return the sum of all kinds."""
        return sum(self)


def sum_held_bytes(
    exchanges: list[Any], written_bytes: int, unparsed_bytes: int
) -> HeldBytes:
    """Return the bytes held for one connection.

    :param exchanges: its requests, each a :class:`~daisylink.request.Exchange`.
    :param written_bytes: bytes in its write buffer.
    :param unparsed_bytes: bytes of a head that is incomplete.
    """
    head_bytes = sum(exchange.head_bytes + REQUEST_BYTES for exchange in exchanges)
    return HeldBytes(
        sum(len(exchange.pending_output) for exchange in exchanges),
        written_bytes,
        sum(len(exchange.body.kept) for exchange in exchanges),
        sum(exchange.count_unsent_bytes() for exchange in exchanges),
        unparsed_bytes + head_bytes,
    )


def count_held_bytes(callers: Iterable[Any]) -> HeldBytes:
    """Return the bytes held for all connections.

    :param callers: the open connections from callers, each a
        :class:`~daisylink.connection.CallerConnection`.
    """
    kinds = zip(*(caller.count_held_bytes() for caller in callers), strict=True)
    return HeldBytes(*map(sum, kinds))


class HeldBytesLimit:
    """Bounds the bytes that a process holds for all connections together.

    Each connection slows down whoever sends faster than the other side reads. Many of
    them may exceed the memory nevertheless; then the connection that holds most ends
    the request with most bytes.

    What is held was received before. So the connections are counted only after as many
    bytes were received as may be dangerous, not at each read.

    :param callers: the open connections from callers.
    :param max_bytes: bound on the bytes held.
    """

    def __init__(self, callers: Collection[Any], max_bytes: int = DEFAULT_MAX_BYTES):
        self.callers = callers
        self.max_bytes = max_bytes
        self.received_bytes = 0
        self.recount_at = 0
        self.ended_requests = 0

    def set_memory(self, memory_mb: float) -> None:
        """Derive the bound from the memory that the process may use.

        :param memory_mb: the process's memory limit in MiB, 0 if unknown.
        """
        if memory_mb:
            self.max_bytes = int(memory_mb * BYTES_PER_MB * MEMORY_SHARE)
            self.recount_at = 0

    def record_received(self, size: int) -> None:
        """Record received bytes, and enforce the bound when they may exceed it."""
        self.received_bytes += size
        if self.received_bytes >= self.recount_at:
            self._enforce()

    def _enforce(self) -> None:
        held = {caller: caller.count_held_bytes().total for caller in self.callers}
        total = sum(held.values())
        while total > self.max_bytes and held:
            caller = max(held, key=held.__getitem__)
            total -= held.pop(caller)
            left = self._end_largest_request(caller)
            total += left
            if left:
                held[caller] = left
        self.received_bytes = 0
        min_recount_bytes = int(self.max_bytes * RECOUNT_SHARE)
        self.recount_at = max(min_recount_bytes, (self.max_bytes - total) // 2)

    def _end_largest_request(self, caller: Any) -> int:
        """End the request of a connection that holds most; return what is left."""
        held = caller.count_held_bytes()
        log.bind(peer=caller.peer_host, **held._asdict()).warning(
            "a request is ended because too many bytes are held"
        )
        self.ended_requests += 1
        caller.end_largest_request()
        left = caller.count_held_bytes().total
        return left if left < held.total else 0
