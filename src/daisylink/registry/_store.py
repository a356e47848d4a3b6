"""Interface of a key-value store with leases and watches over key prefixes."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from daisylink.http_client import Transfer
from daisylink.registry._era import EraTracker


class StoreRevision(NamedTuple):
    """A state of the store; a later era is newer whatever the numbers are.

    :param era: how often the store had come back from an older copy, 0 if unknown.
    :param number: the store's revision, given out again in each era.
    """

    era: int = 0
    number: int = 0


NO_REVISION = StoreRevision()


class Item(NamedTuple):
    """A key with its value, or its deletion.

    :param value: None if the key was deleted.
    :param revision: the store's revision of the key's last change.
    """

    key: str
    value: bytes | None
    revision: StoreRevision


class Listing(NamedTuple):
    """All keys of a prefix.

    :param revision: the store's revision before the first key was read, so that a
        watch from it misses nothing.
    """

    items: list[Item]
    revision: StoreRevision


class Changes(NamedTuple):
    """Changes of a prefix, in the order in which they were made.

    :param revision: revision from which the next watch continues.
    """

    items: list[Item]
    revision: StoreRevision


class Lease(NamedTuple):
    """A granted lease.

    :param ttl: how long it lasts without renewal.
    """

    lease_id: int
    ttl: timedelta


class Put(NamedTuple):
    """A key that a transaction writes.

    :param lease: number of the lease that the key lasts as long as, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class LeaseStore(Protocol):
    """Interface to the store.

    :ivar era_tracker: checks the era that each response states.
    :ivar transfer: what has arrived of the last listing or watch, None before it.

    Every method raises :class:`~daisylink.errors.PlatformError`: with
    ``PLATFORM_ANSWER_LOST`` when a write may have taken effect or may still do so, and
    with ``PLATFORM_ERA_INVALID`` for a response whose era cannot be believed.
    """

    era_tracker: EraTracker
    transfer: Transfer | None

    async def list(self, prefix: str) -> Listing:
        """Return all keys of a prefix."""

    async def watch(
        self, prefix: str, revision: StoreRevision, wait: timedelta
    ) -> Changes:
        """Return the changes after a revision, waiting up to ``wait`` for any.

        :raises PlatformError: ``PLATFORM_HISTORY_GONE`` if the store no longer
            has them, is in a later era, or if they are too many for one response.
        """

    async def write(self, key: str, value: bytes, lease_id: int) -> StoreRevision:
        """Write a key that lasts as long as a lease; return its revision.

        :raises PlatformError: ``PLATFORM_LEASE_ENDED`` if the lease does not exist.
        """

    async def compare_and_swap(
        self, key: str, value: bytes, revision: StoreRevision
    ) -> StoreRevision:
        """Write a permanent key if its revision is unchanged; return the new one.

        :param revision: expected revision of the key, with number 0 if it does not
            exist.
        :raises PlatformError: ``PLATFORM_CONFLICT`` if the key has another revision.
        """

    async def transact(
        self, conditions: Mapping[str, StoreRevision], puts: Sequence[Put]
    ) -> StoreRevision:
        """Write several keys at once if no condition fails; return the new revision.

        :param conditions: expected revisions by key, with number 0 for a key that does
            not exist.
        :raises PlatformError: ``PLATFORM_CONFLICT`` if a key has another revision,
            ``PLATFORM_LEASE_ENDED`` if a lease does not exist.
        """

    async def delete(self, key: str, revision: StoreRevision) -> None:
        """Delete a key if its revision is unchanged.

        :raises PlatformError: ``PLATFORM_CONFLICT`` if the key has another revision.
        """

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Request a new lease."""

    async def renew_lease(self, lease_id: int) -> bool:
        """Extend a lease; return whether it was still held."""

    async def end_lease(self, lease_id: int) -> None:
        """End a lease; the keys it holds are deleted."""
