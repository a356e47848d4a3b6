"""What daisylink needs of a store with leases and watches over prefixes of keys."""

from datetime import timedelta
from typing import NamedTuple, Protocol


class Item(NamedTuple):
    """A key as it is, or as it was written.

    :param value: None if the key was deleted.
    :param revision: the store's revision of the key's last change.
    """

    key: str
    value: bytes | None
    revision: int


class Listing(NamedTuple):
    """All keys of a prefix.

    :param revision: the store's revision before the first of them was read, so that a
        watch from it misses nothing.
    """

    items: list[Item]
    revision: int


class Changes(NamedTuple):
    """Changes of a prefix, in the order in which they were made.

    :param revision: where the next watch begins.
    """

    items: list[Item]
    revision: int


class Lease(NamedTuple):
    """A lease that was granted.

    :param ttl: how long it lasts without renewal.
    """

    lease_id: int
    ttl: timedelta


class LeaseStore(Protocol):
    """Calls to the store.

    Every method raises :class:`~daisylink.errors.PlatformError`: with
    ``PLATFORM_ANSWER_LOST`` when a write may have taken effect, or may do so later.
    """

    async def list(self, prefix: str) -> Listing:
        """Read all keys of a prefix."""

    async def watch(self, prefix: str, revision: int, wait: timedelta) -> Changes:
        """Return the changes after a revision, at once or within ``wait``.

        :raises PlatformError: ``PLATFORM_HISTORY_GONE`` if they are not kept any more.
        """

    async def write(self, key: str, value: bytes, lease_id: int) -> int:
        """Write a key for as long as a lease lasts; return its revision.

        :raises PlatformError: ``PLATFORM_LEASE_ENDED`` if there is no such lease.
        """

    async def compare_and_swap(self, key: str, value: bytes, revision: int) -> int:
        """Write a key that lasts; return its revision.

        :param revision: revision of its last change, 0 if it does not exist.
        :raises PlatformError: ``PLATFORM_CONFLICT`` if that is not so any more.
        """

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Return a new lease."""

    async def renew_lease(self, lease_id: int) -> bool:
        """Extend a lease; return whether it was still held."""

    async def end_lease(self, lease_id: int) -> None:
        """End a lease; the keys it holds are deleted."""
