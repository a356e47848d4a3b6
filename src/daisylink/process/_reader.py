"""Readers: the few nodes of a zone that read the platform for all others.

A reader holds one of the zone's slots, a key under a lease. The lease bounds how many
nodes call the platform, and its key names the reader for new nodes to ask. Safety does
not depend on it: a reader that is paused, expired or wrong does no harm, because every
node checks what it installs.
"""

import random
from datetime import timedelta
from typing import NamedTuple

import msgspec

from daisylink.errors import VersionError
from daisylink.process._events import (
    AcquireKey,
    CallStore,
    CompareAndSwapKey,
    GrantLease,
    ReadKey,
    RenewLease,
    RevokeLease,
    StoreAnswered,
    StoreCall,
    StoreFailed,
    WatchKey,
)
from daisylink.process._messages import VersionUpdate
from daisylink.store import Entry
from daisylink.version import HEAD_KEY, HeadRecord, decode_head, part_key

ZONES_KEY = "daisylink/zones"
READER_PREFIX = "daisylink/reader/"


class ReaderSettings(NamedTuple):
    """Number and intervals of readers.

    :param slots: number of readers in a zone.
    :param max_candidates: number of nodes, from the start of the zone's ring, that
        may become readers.
    :param lease_duration: how long a slot lasts without renewal.
    :param poll_interval: how often a candidate looks for a free slot.
    :param watch_timeout: maximum duration of one watch.
    :param zones_interval: maximum time between two reads of the list of zones.
    :param second_reader_delay: how long the second reader waits for the first one to
        broadcast a new version.
    :param base_retry_delay: base of the maximum delay after a failure, doubled with
        each one; the delay is random from 0 to the maximum (full jitter).
    :param max_retry_delay: upper bound of that maximum.
    """

    slots: int = 2
    max_candidates: int = 3
    lease_duration: timedelta = timedelta(seconds=3)
    poll_interval: timedelta = timedelta(seconds=2)
    watch_timeout: timedelta = timedelta(seconds=10)
    zones_interval: timedelta = timedelta(seconds=15)
    second_reader_delay: timedelta = timedelta(milliseconds=300)
    base_retry_delay: timedelta = timedelta(milliseconds=100)
    max_retry_delay: timedelta = timedelta(seconds=2)


class FetchedSnapshot(NamedTuple):
    """A version's packed content, read from the platform."""

    update: VersionUpdate
    packed: bytes


class ReaderResult(NamedTuple):
    """What follows from a reply of the platform.

    :param calls: further calls to the platform.
    :param record: the accepted version.
    :param snapshot: the content of an accepted version.
    :param contacts: nodes that are readers of this or another zone.
    """

    calls: tuple[CallStore, ...] = ()
    record: HeadRecord | None = None
    snapshot: FetchedSnapshot | None = None
    contacts: tuple[str, ...] = ()


def reader_key(zone: str, slot: int) -> str:
    """Return the key of one reader slot of a zone."""
    return f"{READER_PREFIX}{zone}/{slot}"


class Reader:
    """Acquires and renews a slot, watches the head and fetches versions.

    :param node: name of the own node.
    """

    def __init__(
        self, settings: ReaderSettings, node: str, zone: str, rng: random.Random
    ):
        self.settings = settings
        self.node = node
        self.zone = zone
        self.rng = rng
        self.due = 0.0
        self.failures = 0
        self.slot: int | None = None
        self.candidate_slot = 0
        self.lease_id: str | None = None
        self.renewed_at = 0.0
        self.renew_due = float("inf")
        self.zones_due = float("inf")
        self.zones_pause = settings.base_retry_delay
        self.watch_open = False
        self.watch_due = float("inf")
        self.watch_index = 0
        self.fetching: HeadRecord | None = None
        self.content_parts: list[bytes] = []
        self.known_zones: frozenset[str] = frozenset()

    @property
    def has_slot(self) -> bool:
        """Return whether this node believes that it holds a slot."""
        return self.slot is not None

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due next."""
        if not self.has_slot:
            return self.due
        return min(self.renew_due, self.zones_due, self.watch_due)

    def start(self, now: float) -> None:
        """Schedule the first search for a slot at a random time.

        The delay keeps nodes that start together from calling the platform at once.
        """
        self.due = now + self.rng.uniform(
            0, self.settings.poll_interval.total_seconds()
        )

    def tick(
        self, now: float, rank: int, is_isolated: bool, live_zones: frozenset[str]
    ) -> list[CallStore]:
        """Return the calls that are due.

        :param rank: how many live nodes of the zone come before this one.
        :param is_isolated: whether no other node of the zone answers.
        :param live_zones: zones with a node known to be running.
        """
        if self.has_slot:
            return self._maintain_slot(now, is_isolated, live_zones)
        if now < self.due:
            return []
        self.due = now + self._jitter(self.settings.poll_interval)
        if rank >= self.settings.max_candidates or is_isolated:
            return []
        self.candidate_slot = 0
        return [CallStore(ReadKey(reader_key(self.zone, self.candidate_slot)))]

    def handle_answer(self, answer: StoreAnswered, now: float) -> ReaderResult:
        """Handle a reply of the platform."""
        self.failures = 0
        match answer.call, answer.result:
            case ReadKey(key), Entry() as entry if key.startswith(READER_PREFIX):
                return self._handle_slot_entry(key, entry)
            case ReadKey(key) | WatchKey(key), Entry() as entry if key == HEAD_KEY:
                return self._handle_head(answer.call, entry, now)
            case ReadKey(key), Entry() as entry if key == ZONES_KEY:
                return self._handle_zones(entry)
            case ReadKey(key), Entry() as entry:
                return self._handle_part(key, entry, now)
            case GrantLease(), str() as lease_id:
                self.lease_id = lease_id
                key = reader_key(self.zone, self.candidate_slot)
                call = AcquireKey(key, self.node.encode(), lease_id)
                return ReaderResult((CallStore(call),))
            case AcquireKey(_, _, lease_id), bool() as done:
                return self._handle_acquire(lease_id, done, now)
            case RenewLease(lease_id), bool() as done if lease_id == self.lease_id:
                return self._handle_renewal(done, now)
            case _:
                return ReaderResult()

    def handle_failure(self, failure: StoreFailed, now: float) -> None:
        """Handle a failed call, and schedule the next attempt."""
        self.failures += 1
        delay = self._backoff()
        match failure.call:
            case WatchKey() | ReadKey():
                if self.has_slot and failure.call != ReadKey(ZONES_KEY):
                    self.fetching = None
                    self.watch_open = False
                    self.watch_due = now + delay
            case RenewLease():
                self.renew_due = now + delay
        if not self.has_slot:
            self.due = max(self.due, now + delay)

    def release_slot(self, now: float) -> list[CallStore]:
        """Release the slot."""
        lease_id = self.lease_id
        self.slot = None
        self.lease_id = None
        self.fetching = None
        self.watch_open = False
        self.due = now + self._jitter(self.settings.poll_interval)
        return [CallStore(RevokeLease(lease_id))] if lease_id else []

    def stop(self, now: float) -> list[CallStore]:
        """Release the slot, and stop looking for one."""
        calls = self.release_slot(now)
        self.due = float("inf")
        return calls

    def _maintain_slot(
        self, now: float, is_isolated: bool, live_zones: frozenset[str]
    ) -> list[CallStore]:
        has_expired = (
            now - self.renewed_at > self.settings.lease_duration.total_seconds()
        )
        if has_expired or is_isolated:
            return self.release_slot(now)
        calls: list[StoreCall] = []
        if now >= self.renew_due:
            self.renew_due = float("inf")
            calls.append(RenewLease(self.lease_id))
        if now >= self.watch_due and not self.watch_open:
            calls.append(self._open_watch())
        if now >= self.zones_due:
            self.zones_pause = min(self.zones_pause * 2, self.settings.zones_interval)
            self.zones_due = now + self._jitter(self.zones_pause)
            self.known_zones = live_zones
            calls.append(ReadKey(ZONES_KEY))
        return [CallStore(call) for call in calls]

    def _open_watch(self) -> StoreCall:
        self.watch_open = True
        self.watch_due = float("inf")
        if not self.watch_index:
            return ReadKey(HEAD_KEY)
        return WatchKey(HEAD_KEY, self.watch_index, self.settings.watch_timeout)

    def _handle_slot_entry(self, key: str, entry: Entry) -> ReaderResult:
        is_candidate = key == reader_key(self.zone, self.candidate_slot)
        if entry.value is None:
            if self.has_slot or not is_candidate:
                return ReaderResult()
            return ReaderResult((CallStore(GrantLease(self.settings.lease_duration)),))
        holder = entry.value.decode(errors="replace")
        contacts = () if holder == self.node else (holder,)
        return ReaderResult(self._read_next_slot(is_candidate), contacts=contacts)

    def _read_next_slot(self, is_candidate: bool) -> tuple[CallStore, ...]:
        """Return the call that reads the slot after an occupied one."""
        is_last = self.candidate_slot + 1 >= self.settings.slots
        if self.has_slot or not is_candidate or is_last:
            return ()
        self.candidate_slot += 1
        return (CallStore(ReadKey(reader_key(self.zone, self.candidate_slot))),)

    def _handle_acquire(self, lease_id: str, done: bool, now: float) -> ReaderResult:
        if lease_id != self.lease_id:
            return ReaderResult()
        if not done:
            self.lease_id = None
            return ReaderResult((CallStore(RevokeLease(lease_id)),))
        self.slot = self.candidate_slot
        self._record_renewal(now)
        self.zones_due = now
        self.zones_pause = self.settings.base_retry_delay
        self.watch_index = 0
        return ReaderResult((CallStore(self._open_watch()),))

    def _handle_renewal(self, done: bool, now: float) -> ReaderResult:
        if not done:
            self.release_slot(now)
            return ReaderResult()
        self._record_renewal(now)
        return ReaderResult()

    def _record_renewal(self, now: float) -> None:
        self.renewed_at = now
        self.renew_due = now + self.settings.lease_duration.total_seconds() / 3

    def _handle_head(self, call: StoreCall, entry: Entry, now: float) -> ReaderResult:
        if not self.has_slot:
            return ReaderResult(record=head_from_entry(entry))
        self.watch_open = False
        self.watch_index = entry.watch_index or self.watch_index
        self.watch_due = now
        if entry.value is None:
            pause = (
                self.settings.base_retry_delay if not self.watch_index else timedelta()
            )
            self.watch_due = now + pause.total_seconds()
        return ReaderResult(record=head_from_entry(entry))

    def fetch_content(self, record: HeadRecord) -> list[CallStore]:
        """Return the first call that reads a version's content."""
        if self.fetching is not None and self.fetching.number >= record.number:
            return []
        self.fetching = record
        self.content_parts = []
        return [CallStore(ReadKey(part_key(record, 0)))]

    def _handle_part(self, key: str, entry: Entry, now: float) -> ReaderResult:
        record = self.fetching
        if record is None or key != part_key(record, len(self.content_parts)):
            return ReaderResult()
        if entry.value is None:
            self.fetching = None
            self.watch_index = 0
            self.watch_due = now + self._backoff()
            return ReaderResult()
        self.content_parts.append(entry.value)
        if len(self.content_parts) < record.parts:
            key = part_key(record, len(self.content_parts))
            return ReaderResult((CallStore(ReadKey(key)),))
        self.fetching = None
        update = VersionUpdate(record.number, record.digest, record.accepted_at)
        return ReaderResult(
            snapshot=FetchedSnapshot(update, b"".join(self.content_parts))
        )

    def _handle_zones(self, entry: Entry) -> ReaderResult:
        zones = _decode_zones(entry.value)
        if self.zone not in zones:
            value = msgspec.json.encode(sorted([*zones, self.zone]))
            swap = CompareAndSwapKey(ZONES_KEY, value, entry.index)
            return ReaderResult((CallStore(swap),))
        slot = self.rng.randrange(self.settings.slots)
        missing = sorted(set(zones) - self.known_zones - {self.zone})
        calls = (CallStore(ReadKey(reader_key(zone, slot))) for zone in missing)
        return ReaderResult(tuple(calls))

    def _backoff(self) -> float:
        base = self.settings.base_retry_delay.total_seconds()
        max_delay = min(
            self.settings.max_retry_delay.total_seconds(),
            base * 2 ** min(self.failures, 10),
        )
        return self.rng.uniform(0, max_delay)

    def _jitter(self, period: timedelta) -> float:
        return period.total_seconds() * self.rng.uniform(0.75, 1.25)


def head_from_entry(entry: Entry) -> HeadRecord | None:
    """Return the head record of an entry, or None if absent or damaged."""
    if entry.value is None:
        return None
    try:
        return decode_head(entry.value)
    except VersionError:
        return None


def _decode_zones(value: bytes | None) -> list[str]:
    if value is None:
        return []
    try:
        return msgspec.json.decode(value, type=list[str])
    except msgspec.MsgspecError:
        return []
