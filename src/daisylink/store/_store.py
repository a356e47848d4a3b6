"""Interface to the platform's key-value service."""

from datetime import timedelta
from typing import NamedTuple, Protocol


class Entry(NamedTuple):
    """A key that was read.

    :param value: its value, or None if it is absent.
    :param index: changes with each write of the key; 0 when it never existed.
    :param watch_index: index to pass to the next :meth:`KeyValueStore.watch`.
    """

    value: bytes | None
    index: int
    watch_index: int


class KeyValueStore(Protocol):
    """Operations that daisylink needs of the platform.

    Every method raises :class:`~daisylink.errors.PlatformError`: with
    ``PLATFORM_ANSWER_LOST`` if a write may have taken effect, with another code if it
    had no effect.
    """

    async def get(self, key: str) -> Entry:
        """Read a key."""

    async def watch(self, key: str, watch_index: int, wait: timedelta) -> Entry:
        """Read a key once it differs from ``watch_index``, or after ``wait``."""

    async def put(self, key: str, value: bytes, index: int) -> bool:
        """Write a key if its index is still ``index`` (0 if it must be absent).

        :returns: whether the write took effect.
        """

    async def delete(self, key: str) -> None:
        """Delete a key."""

    async def grant_lease(self, duration: timedelta) -> str:
        """Return the identifier of a new lease."""

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its duration; return whether it was still valid."""

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease; the keys bound to it are deleted."""

    async def acquire(self, key: str, value: bytes, lease_id: str) -> bool:
        """Write a key bound to a lease, unless it is bound to another one.

        :returns: whether the key is bound to this lease.
        """
