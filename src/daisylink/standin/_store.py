"""In-memory key-value store with leases, rate limits and counters, without I/O."""

from collections import Counter
from datetime import timedelta
from itertools import count
from typing import NamedTuple

import msgspec

from daisylink.clock import Clock
from daisylink.errors import PlatformError, ResultCode

MAX_VALUE_BYTES = 1024 * 1024
DEFAULT_READS_PER_SECOND = 2000
DEFAULT_WRITES_PER_SECOND = 300


class StoreFaults(msgspec.Struct):
    """Faults that can be switched on at run time.

    :param outage: refuse all calls.
    :param slow_ms: delay of each call.
    :param lose_answers: number of following writes that take effect but whose
        connection is closed without a response.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0


class StoredEntry(NamedTuple):
    """A value, its modification index and the lease that holds it, if any."""

    value: bytes
    index: int
    lease_id: str | None = None


class Lease(NamedTuple):
    """A lease; the keys that it holds are deleted when it ends.

    :param duration: lifetime after each renewal, in seconds.
    :param expires_at: time of expiry, in seconds of the monotonic clock.
    """

    duration: float
    expires_at: float


class RateLimiter:
    """Fixed-window rate limiter.

    :param per_second: calls allowed in each second of the clock.
    """

    def __init__(self, per_second: int):
        self.per_second = per_second
        self.window = -1
        self.calls_in_window = 0

    def admit(self, now: float) -> bool:
        """Count a call; return whether it is within the limit.

        :param now: seconds of the monotonic clock.
        """
        if int(now) != self.window:
            self.window = int(now)
            self.calls_in_window = 0
        self.calls_in_window += 1
        return self.calls_in_window <= self.per_second


class MemoryStore:
    """State of the key-value service.

    Operations are not limited by themselves: :meth:`count_read` or
    :meth:`count_write` is to be called before each of them.

    :param clock: source of time for leases and rate limits.
    :param reads_per_second: limit of :meth:`count_read`.
    :param writes_per_second: limit of :meth:`count_write`.
    """

    def __init__(
        self,
        clock: Clock,
        reads_per_second: int = DEFAULT_READS_PER_SECOND,
        writes_per_second: int = DEFAULT_WRITES_PER_SECOND,
    ):
        self.clock = clock
        self.entries: dict[str, StoredEntry] = {}
        self.leases: dict[str, Lease] = {}
        self.read_limiter = RateLimiter(reads_per_second)
        self.write_limiter = RateLimiter(writes_per_second)
        self.counters: Counter[str] = Counter()
        self.index = 0
        self.lease_numbers = count(1)

    def count_read(self, kind: str) -> None:
        """Count a read.

        :param kind: name of the counter.
        :raises PlatformError: ``PLATFORM_LIMITED`` above the rate limit.
        """
        self._count(kind, self.read_limiter)

    def count_write(self, kind: str) -> None:
        """Count a write.

        :param kind: name of the counter.
        :raises PlatformError: ``PLATFORM_LIMITED`` above the rate limit.
        """
        self._count(kind, self.write_limiter)

    def count_bytes(self, kind: str, size: int) -> None:
        """Add to the byte counter of a kind of call."""
        self.counters[f"{kind}_bytes"] += size

    def get(self, key: str) -> StoredEntry | None:
        """Return a key's entry, or None if the key is absent."""
        self.expire_leases()
        return self.entries.get(key)

    def put(self, key: str, value: bytes, expected_index: int | None) -> bool:
        """Write a key, unless its index has changed.

        :param expected_index: expected index, 0 if the key is absent; None for any.
        :returns: whether the key was written.
        :raises PlatformError: ``PLATFORM_VALUE_TOO_LARGE`` above the size limit.
        """
        self._check_size(value)
        entry = self.get(key)
        if expected_index is not None and expected_index != (
            entry.index if entry else 0
        ):
            return False
        self._set(key, value, None)
        return True

    def acquire(self, key: str, value: bytes, lease_id: str) -> bool:
        """Write a key under a lease, unless another lease holds it.

        :returns: whether the key was written.
        :raises PlatformError: ``PLATFORM_VALUE_TOO_LARGE`` above the size limit.
        """
        self._check_size(value)
        entry = self.get(key)
        if lease_id not in self.leases:
            return False
        if entry is not None and entry.lease_id not in (None, lease_id):
            return False
        self._set(key, value, lease_id)
        return True

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.entries.pop(key, None) is not None:
            self.index += 1

    def grant_lease(self, duration: timedelta) -> str:
        """Create a lease; return its identifier."""
        lease_id = f"lease-{next(self.lease_numbers)}"
        seconds = duration.total_seconds()
        self.leases[lease_id] = Lease(seconds, self.clock.monotonic() + seconds)
        return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its duration; return whether it still existed."""
        self.expire_leases()
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        expires_at = self.clock.monotonic() + lease.duration
        self.leases[lease_id] = lease._replace(expires_at=expires_at)
        return True

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease_id, None)
        held = [
            key for key, entry in self.entries.items() if entry.lease_id == lease_id
        ]
        for key in held:
            self.delete(key)

    def expire_leases(self) -> None:
        """Revoke the leases that have expired."""
        now = self.clock.monotonic()
        expired = [
            name for name, lease in self.leases.items() if lease.expires_at <= now
        ]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    def _set(self, key: str, value: bytes, lease_id: str | None) -> None:
        self.index += 1
        self.entries[key] = StoredEntry(value, self.index, lease_id)

    def _count(self, kind: str, limit: RateLimiter) -> None:
        self.counters[kind] += 1
        if not limit.admit(self.clock.monotonic()):
            self.counters["limited"] += 1
            raise PlatformError("rate limit reached", ResultCode.PLATFORM_LIMITED)

    def _check_size(self, value: bytes) -> None:
        if len(value) > MAX_VALUE_BYTES:
            message = f"value has {len(value)} bytes, limit is {MAX_VALUE_BYTES}"
            raise PlatformError(message, ResultCode.PLATFORM_VALUE_TOO_LARGE)
