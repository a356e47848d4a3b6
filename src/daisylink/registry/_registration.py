"""Keeps a process's own record in the store under a lease, without I/O.

The store may be away, answer late, or lose the record without a word. One call is under
way at a time; what failed is tried again after a growing, jittered delay.
"""

import random
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.registry._store import Lease

RENEWALS_PER_TTL = 3


class RegistrationSettings(NamedTuple):
    """Times of a registration.

    :param ttl: how long the record outlives the process.
    :param base_retry_delay: delay after the first failed call; doubles with each
        further one.
    :param max_retry_delay: longest delay, short enough that a record is back within two
        seconds of the store's return.
    """

    ttl: timedelta = timedelta(seconds=3)
    base_retry_delay: timedelta = timedelta(milliseconds=100)
    max_retry_delay: timedelta = timedelta(milliseconds=800)


@dataclass(frozen=True)
class GrantLease:
    """Call: take a new lease."""

    ttl: timedelta


@dataclass(frozen=True)
class RenewLease:
    """Call: extend the lease."""

    lease_id: int


@dataclass(frozen=True)
class WriteRecord:
    """Call: write the record under the lease."""

    lease_id: int
    value: bytes


@dataclass(frozen=True)
class EndLease:
    """Call: end the lease, and the record with it."""

    lease_id: int


RegistrationCall = GrantLease | RenewLease | WriteRecord | EndLease


class Registration:
    """The own record in the store.

    :param rng: source of jitter.
    """

    def __init__(self, settings: RegistrationSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.desired_record: bytes | None = None
        self.written_record: bytes | None = None
        self.lease_id = 0
        self.renew_at = float("inf")
        self.retry_at = 0.0
        self.failures = 0
        self.pending: RegistrationCall | None = None
        self.is_leaving = False
        self.is_done = False

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due."""
        if self.pending is not None or self.is_done:
            return float("inf")
        if self._next_call(float("inf")) is None:
            return float("inf")
        if self._next_call(0.0) is not None:
            return self.retry_at
        return max(self.retry_at, self.renew_at)

    def set_record(self, value: bytes) -> None:
        """Set what the record is to be."""
        self.desired_record = value

    def leave(self, value: bytes) -> None:
        """Write a last record that says so, then end the lease."""
        self.desired_record = value
        self.is_leaving = True
        self.retry_at = 0.0

    def mark_unwritten(self) -> None:
        """Note that the store does not hold the record: write it again."""
        self.written_record = None

    def tick(self, now: float) -> RegistrationCall | None:
        """Return the call to make now, if any."""
        if self.pending is not None or self.is_done or now < self.retry_at:
            return None
        self.pending = self._next_call(now)
        return self.pending

    def handle_answer(self, answer: Lease | bool | None, now: float) -> None:
        """Take the answer of the call under way.

        :param answer: the lease granted, whether the renewed lease was held, or None
            for a write and an end.
        """
        call, self.pending = self.pending, None
        self.failures = 0
        match call:
            case GrantLease():
                self.lease_id = answer.lease_id
                self.written_record = None
                self.renew_at = now + answer.ttl.total_seconds() / RENEWALS_PER_TTL
            case RenewLease() if answer:
                self.renew_at = now + self._renew_interval()
            case RenewLease():
                self._forget_lease()
            case WriteRecord(_, value):
                self.written_record = value
            case EndLease():
                self.is_done = True

    def handle_failure(self, code: ResultCode, now: float) -> None:
        """Take the failure of the call under way."""
        call, self.pending = self.pending, None
        if code is ResultCode.PLATFORM_LEASE_ENDED:
            self._forget_lease()
            return
        if isinstance(call, EndLease):
            self.is_done = True
            return
        self.failures += 1
        backoff = self.settings.base_retry_delay.total_seconds() * 2 ** (
            self.failures - 1
        )
        delay = min(backoff, self.settings.max_retry_delay.total_seconds())
        self.retry_at = now + self.rng.uniform(delay / 2, delay)

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
        return self.settings.ttl.total_seconds() / RENEWALS_PER_TTL

    def _forget_lease(self) -> None:
        self.lease_id = 0
        self.written_record = None
