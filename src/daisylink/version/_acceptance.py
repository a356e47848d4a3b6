"""Acceptance of a version, committed by a single compare-and-swap of the head key.

:class:`Acceptance` performs no I/O. It yields actions for the platform's key-value
service and is sent the resulting events; see :meth:`Acceptance.steps`.

The parts of the content are written first, under keys of their own, and the current
head record is copied to the history before the swap replaces it. An acceptance whose
response was lost can therefore always be found again: in the head or, if another
planner has accepted a version since, in the history.
"""

from collections.abc import Generator
from dataclasses import dataclass
from datetime import datetime

import msgspec

from daisylink.errors import AcceptanceError, PlatformError, ResultCode, VersionError
from daisylink.version._content import Content, Delta, compute_delta
from daisylink.version._version import HeadRecord, pack_content, unpack_content

HEAD_KEY = "daisylink/head"
HISTORY_PREFIX = "daisylink/history/"
CONTENT_PREFIX = "daisylink/content/"
MAX_PART_BYTES = 700_000
MAX_HEAD_DELTA_BYTES = 32_768
MAX_TRIES_PER_ACTION = 8
MAX_KEPT_VERSIONS = 100
MAX_PRUNED_PER_ACCEPTANCE = 3


@dataclass(frozen=True)
class Read:
    """Action: read a key.

    :param tries: how many times the read was tried before.
    """

    key: str
    tries: int = 0


@dataclass(frozen=True)
class Write:
    """Action: write a key if its index is still ``index`` (0 if it must be absent)."""

    key: str
    value: bytes
    index: int
    tries: int = 0


@dataclass(frozen=True)
class Delete:
    """Action: delete a key."""

    key: str


@dataclass(frozen=True)
class ReadDone:
    """Event: a key was read; ``value`` is None if it is absent."""

    value: bytes | None
    index: int


@dataclass(frozen=True)
class ReadFailed:
    """Event: the read failed."""


@dataclass(frozen=True)
class WriteDone:
    """Event: the write took effect."""


@dataclass(frozen=True)
class WriteConflict:
    """Event: the key's index had changed, so nothing was written."""


@dataclass(frozen=True)
class WriteFailed:
    """Event: the write failed and had no effect."""


@dataclass(frozen=True)
class AnswerLost:
    """Event: the response was lost; the write may have taken effect."""


@dataclass(frozen=True)
class DeleteDone:
    """Event: the delete was attempted; a failure is ignored."""


@dataclass(frozen=True)
class Accepted:
    """Outcome: the version is accepted."""

    record: HeadRecord


@dataclass(frozen=True)
class Unchanged:
    """Outcome: the content equals that of the head; nothing was written."""

    record: HeadRecord


@dataclass(frozen=True)
class Conflict:
    """Outcome: another version was accepted in the meantime.

    :param record: the current head.
    :param delta: changes since the proposal's base, or None if unknown.
    """

    record: HeadRecord
    delta: Delta | None


@dataclass(frozen=True)
class Unsettled:
    """Outcome: the swap was sent, and whether it took effect cannot be determined."""

    acceptance_id: str
    number: int


Action = Read | Write | Delete
Event = (
    ReadDone
    | ReadFailed
    | WriteDone
    | WriteConflict
    | WriteFailed
    | AnswerLost
    | DeleteDone
)
Outcome = Accepted | Unchanged | Conflict | Unsettled


@dataclass(frozen=True)
class Proposal:
    """Content that a planner submits for acceptance.

    :param acceptance_id: unique identifier of the acceptance, kept in its record.
    :param base: number of the version that must be the head, or None for any.
    """

    content: Content
    acceptance_id: str
    author: str
    note: str
    accepted_at: datetime
    base: int | None = None


def encode_head(record: HeadRecord) -> bytes:
    """Encode a head record."""
    return msgspec.json.encode(record)


def decode_head(value: bytes) -> HeadRecord:
    """Decode a head record.

    :raises VersionError: ``VERSION_CORRUPT`` if it does not decode.
    """
    try:
        return msgspec.json.decode(value, type=HeadRecord)
    except msgspec.MsgspecError as error:
        raise VersionError(f"head does not decode: {error}") from error


def history_key(number: int) -> str:
    """Return the key that holds the record of a former head."""
    return f"{HISTORY_PREFIX}{number}"


def part_key(record: HeadRecord, part: int) -> str:
    """Return the key of one part of a version's compressed content."""
    return f"{CONTENT_PREFIX}{record.number}/{record.acceptance_id}/{part}"


Steps = Generator[Action, Event, Outcome]


class Acceptance:
    """One acceptance of a version as a sequence of actions.

    :param proposal: the content to accept.
    """

    def __init__(self, proposal: Proposal):
        self.proposal = proposal
        self.swap_sent = False

    def steps(self) -> Steps:
        """Yield actions, receive their events and return the outcome.

        :raises AcceptanceError: if the proposal has a base, but no version is accepted.
        :raises PlatformError: if the platform failed before the swap was sent; the
            version is not accepted then.
        :raises VersionError: if the content is too large or the head is corrupt.
        """
        value, index = yield from self._read(HEAD_KEY)
        base = decode_head(value) if value is not None else None
        base_content = Content()
        if base is not None:
            base_content = yield from read_content_steps(base, self._read)
        if self.proposal.base is not None and self.proposal.base != _number_of(base):
            return (yield from self._report_conflict(base))
        if base is not None and base_content == self.proposal.content:
            return Unchanged(base)
        record, packed = self._make_record(base, base_content)
        if base is not None:
            yield from self._write_once(history_key(base.number), encode_head(base))
        for part in range(record.parts):
            start = part * MAX_PART_BYTES
            piece = packed[start : start + MAX_PART_BYTES]
            yield from self._write_once(part_key(record, part), piece)
        outcome = yield from self._swap(record, index, base_content)
        match outcome:
            case Accepted():
                yield from self._prune(record.number)
            case Conflict():
                yield from _delete_parts(record)
        return outcome

    def _make_record(
        self, base: HeadRecord | None, base_content: Content
    ) -> tuple[HeadRecord, bytes]:
        digest, packed = pack_content(self.proposal.content)
        delta = compute_delta(base_content, self.proposal.content) if base else None
        if delta is not None and _encoded_size(delta) > MAX_HEAD_DELTA_BYTES:
            delta = None
        record = HeadRecord(
            number=_number_of(base) + 1,
            digest=digest,
            acceptance_id=self.proposal.acceptance_id,
            accepted_at=self.proposal.accepted_at,
            author=self.proposal.author,
            note=self.proposal.note,
            parts=-(-len(packed) // MAX_PART_BYTES),
            delta=delta,
        )
        return record, packed

    def _read(self, key: str) -> Generator[Action, Event, tuple[bytes | None, int]]:
        for tries in range(MAX_TRIES_PER_ACTION):
            event = yield Read(key, tries)
            if isinstance(event, ReadDone):
                return event.value, event.index
        raise PlatformError(f"cannot read {key}")

    def _write_once(self, key: str, value: bytes) -> Generator[Action, Event, None]:
        """Write a key that never holds another value; a conflict means it exists."""
        for tries in range(MAX_TRIES_PER_ACTION):
            event = yield Write(key, value, 0, tries)
            if isinstance(event, WriteDone | WriteConflict):
                return
        raise PlatformError(f"cannot write {key}")

    def _swap(self, record: HeadRecord, index: int, base_content: Content) -> Steps:
        value = encode_head(record)
        for tries in range(MAX_TRIES_PER_ACTION):
            event = yield Write(HEAD_KEY, value, index, tries)
            match event:
                case WriteDone():
                    return Accepted(record)
                case AnswerLost():
                    self.swap_sent = True
            try:
                resolved = yield from self._resolve_swap(record, index, base_content)
            except PlatformError:
                if self.swap_sent:
                    return Unsettled(record.acceptance_id, record.number)
                raise
            if resolved is not None:
                return resolved
        if self.swap_sent:
            return Unsettled(record.acceptance_id, record.number)
        raise PlatformError("cannot write the head key")

    def _resolve_swap(
        self, record: HeadRecord, index: int, base_content: Content
    ) -> Generator[Action, Event, Outcome | None]:
        """Read back the outcome of the swap; return None if the head is unchanged."""
        value, seen_index = yield from self._read(HEAD_KEY)
        if seen_index == index:
            return None
        if value is None:
            raise VersionError("the head key was deleted")
        head = decode_head(value)
        if head.acceptance_id == record.acceptance_id:
            return Accepted(head)
        past, _ = yield from self._read(history_key(record.number))
        if past is not None:
            own_record = decode_head(past)
            if own_record.acceptance_id == record.acceptance_id:
                return Accepted(own_record)
        return (yield from self._report_conflict(head, base_content))

    def _report_conflict(
        self, head: HeadRecord | None, base_content: Content | None = None
    ) -> Steps:
        if head is None:
            message = f"base is version {self.proposal.base}, but none is accepted yet"
            raise AcceptanceError(message)
        if base_content is None:
            base_content = yield from self._read_past_content(self.proposal.base)
        if base_content is None:
            return Conflict(head, None)
        try:
            content = yield from read_content_steps(head, self._read)
        except (PlatformError, VersionError):
            return Conflict(head, head.delta)
        return Conflict(head, compute_delta(base_content, content))

    def _read_past_content(
        self, number: int | None
    ) -> Generator[Action, Event, Content | None]:
        if not number:
            return Content()
        value, _ = yield from self._read(history_key(number))
        if value is None:
            return None
        return (yield from read_content_steps(decode_head(value), self._read))

    def _prune(self, number: int) -> Generator[Action, Event, None]:
        """Delete versions past the retention limit, a few per acceptance."""
        oldest = number - MAX_KEPT_VERSIONS
        for past in range(oldest, max(oldest - MAX_PRUNED_PER_ACCEPTANCE, 0), -1):
            event = yield Read(history_key(past))
            if not isinstance(event, ReadDone) or event.value is None:
                return
            yield from _delete_parts(decode_head(event.value))
            yield Delete(history_key(past))


def read_content_steps(record: HeadRecord, read) -> Generator[Action, Event, Content]:
    """Read the content of a version and verify its digest.

    :param read: generator function that reads one key and handles retries.
    :raises VersionError: ``VERSION_UNKNOWN`` if a part is missing, ``VERSION_CORRUPT``
        if the parts do not match the digest.
    """
    pieces = []
    for part in range(record.parts):
        value, _ = yield from read(part_key(record, part))
        if value is None:
            raise VersionError(
                f"version {record.number} is no longer kept",
                ResultCode.VERSION_UNKNOWN,
            )
        pieces.append(value)
    return unpack_content(b"".join(pieces), record.digest)


def _delete_parts(record: HeadRecord) -> Generator[Action, Event, None]:
    for part in range(record.parts):
        yield Delete(part_key(record, part))


def _number_of(record: HeadRecord | None) -> int:
    return record.number if record is not None else 0


def _encoded_size(delta: Delta) -> int:
    return len(msgspec.json.encode(delta))
