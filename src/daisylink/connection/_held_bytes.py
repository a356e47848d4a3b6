"""Counts the bytes that a process holds for callers and next hops."""

from collections.abc import Iterable
from typing import Any, NamedTuple


class HeldBytes(NamedTuple):
    """Bytes that wait in a process, by what they wait for.

    :param responses: of responses behind an earlier one on their caller's connection.
    :param caller_writes: written to callers, not yet accepted by their sockets.
    :param bodies: of request bodies, kept to be sent or to be sent again.
    :param hop_writes: written to next hops, not yet accepted by their sockets.
    """

    responses: int = 0
    caller_writes: int = 0
    bodies: int = 0
    hop_writes: int = 0

    @property
    def total(self) -> int:
        """Return the sum of all kinds."""
        return sum(self)


def count_held_bytes(callers: Iterable[Any]) -> HeldBytes:
    """Return the bytes held for all connections.

    :param callers: the open connections from callers, each a
        :class:`~daisylink.connection.CallerConnection`.
    """
    kinds = zip(*(caller.count_held_bytes() for caller in callers), strict=True)
    return HeldBytes(*map(sum, kinds))
