"""Keeps this node's record in the store under a lease, without I/O.

The store may be unavailable, respond late, or lose the record without notice. One call
is pending at a time; a failed call is retried with jittered exponential backoff.
"""

import random
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.registry._backoff import Backoff, BackoffSettings
from daisylink.registry._store import NO_REVISION, Item, Lease, StoreRevision

RENEWALS_PER_TTL = 3


class RegistrationSettings(NamedTuple):
    """Lease duration and retry delays of a :class:`Registration`.

    :param ttl: how long the record outlives the process.
    """

    ttl: timedelta = timedelta(seconds=3)
    backoff: BackoffSettings = BackoffSettings()


@dataclass(frozen=True)
class GrantLease:
    """A call that requests a new lease."""

    ttl: timedelta


@dataclass(frozen=True)
class RenewLease:
    """A call that extends the lease."""

    lease_id: int


@dataclass(frozen=True)
class WriteRecord:
    """A call that writes the record under the lease."""

    lease_id: int
    value: bytes


@dataclass(frozen=True)
class EndLease:
    """A call that ends the lease, which deletes the record."""

    lease_id: int


RegistrationCall = GrantLease | RenewLease | WriteRecord | EndLease


class Registration:
    """Writes this node's record and renews the lease that it depends on.

    :param rng: source of jitter.
    """

    def __init__(self, settings: RegistrationSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.backoff = Backoff(settings.backoff, rng)
        self.desired_record: bytes | None = None
        self.written_record: bytes | None = None
        self.written_revision = NO_REVISION
        self.lease_id = 0
        self.granted_ttl = settings.ttl
        self.renew_at = float("inf")
        self.pending: RegistrationCall | None = None
        self.is_leaving = False
        self.is_done = False

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds."""
        if self.pending is not None or self.is_done:
            return float("inf")
        if self._next_call(float("inf")) is None:
            return float("inf")
        if self._next_call(0.0) is not None:
            return self.backoff.retry_at
        return max(self.backoff.retry_at, self.renew_at)

    @property
    def is_written(self) -> bool:
        """Return whether the store holds the record under the present lease."""
        return bool(self.lease_id) and self.written_record == self.desired_record

    def set_record(self, value: bytes) -> None:
        """Set the value that the record should have."""
        self.desired_record = value

    def leave(self, value: bytes) -> None:
        """Write a last value of the record, then end the lease."""
        self.desired_record = value
        self.is_leaving = True
        self.backoff.retry_at = 0.0

    def mark_unwritten(self) -> None:
        """Note that the store lacks the record, so that it is written again."""
        self.written_record = None

    def handle_stored_record(self, item: Item) -> bool:
        """Handle what the store holds as the record, while no call is pending.

        A write that was given up may land after a later one. The watch may also be
        behind and tell of a revision before the last write.

        :returns: whether the record is to be written again.
        """
        if self.written_record is None or item.value == self.written_record:
            return False
        if item.revision <= self.written_revision:
            return False
        self.mark_unwritten()
        return True

    def begin_era(self, now: float, spread: timedelta) -> None:
        """Take a new lease and write the record again: the store may have lost both.

        The former lease is not renewed, as the store may grant its number to another
        node.

        :param spread: longest delay, so that the nodes of a fleet do not call at once.
        """
        self._forget_lease()
        delay = self.rng.uniform(0.0, spread.total_seconds())
        self.backoff.retry_at = max(self.backoff.retry_at, now + delay)

    def tick(self, now: float) -> RegistrationCall | None:
        """Return the call to make now, if any."""
        if self.pending is not None or self.is_done or now < self.backoff.retry_at:
            return None
        self.pending = self._next_call(now)
        return self.pending

    def handle_result(
        self, result: Lease | bool | StoreRevision | None, now: float
    ) -> None:
        """Handle the result of the pending call.

        :param result: the granted lease, whether a renewed lease was still held, the
            revision of a write, or None for the end of the lease.
        """
        call, self.pending = self.pending, None
        self.backoff.record_success()
        match call:
            case GrantLease():
                self.lease_id = result.lease_id
                self.written_record = None
                self.granted_ttl = result.ttl
                self.renew_at = now + self._renew_interval()
            case RenewLease() if result:
                self.renew_at = now + self._renew_interval()
            case RenewLease():
                self._forget_lease()
            case WriteRecord(_, value):
                self.written_record = value
                self.written_revision = result
            case EndLease():
                self.is_done = True

    def handle_failure(self, code: ResultCode, now: float) -> None:
        """Handle the failure of the pending call."""
        call, self.pending = self.pending, None
        if code is ResultCode.PLATFORM_LEASE_ENDED:
            self._forget_lease()
            return
        if isinstance(call, EndLease):
            self.is_done = True
            return
        self.backoff.record_failure(now)

    def _next_call(self, now: float) -> RegistrationCall | None:
        if self.desired_record is None:
            return None
        if not self.lease_id:
            return None if self.is_leaving else GrantLease(self.settings.ttl)
        if self.written_record != self.desired_record:
            return WriteRecord(self.lease_id, self.desired_record)
        if self.is_leaving:
            return EndLease(self.lease_id)
        if now >= self.renew_at:
            return RenewLease(self.lease_id)
        return None

    def _renew_interval(self) -> float:
        return self.granted_ttl.total_seconds() / RENEWALS_PER_TTL

    def _forget_lease(self) -> None:
        self.lease_id = 0
        self.written_record = None
