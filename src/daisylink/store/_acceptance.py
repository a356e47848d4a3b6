"""Runs the actions of an acceptance against the platform."""

import asyncio
import random
from collections.abc import Generator
from typing import Any

from daisylink.errors import PlatformError, ResultCode, VersionError
from daisylink.store._store import KeyValueStore
from daisylink.version import (
    HEAD_KEY,
    AnswerLost,
    Content,
    Delete,
    DeleteDone,
    HeadRecord,
    Read,
    ReadDone,
    ReadFailed,
    Write,
    WriteConflict,
    WriteDone,
    WriteFailed,
    decode_head,
    history_key,
    read_content_steps,
)

BASE_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 2.0


async def run_steps(
    steps: Generator[Any, Any, Any], store: KeyValueStore, rng: random.Random
) -> Any:
    """Perform each action that a generator yields and return the generator's result.

    Retries are delayed by exponential backoff with full jitter.

    :param steps: yields actions and is sent the resulting events.
    :param rng: source of the jitter.
    """
    event = None
    while True:
        try:
            action = steps.send(event)
        except StopIteration as end:
            return end.value
        tries = getattr(action, "tries", 0)
        if tries:
            max_delay = min(
                MAX_RETRY_DELAY_SECONDS, BASE_RETRY_DELAY_SECONDS * 2**tries
            )
            await asyncio.sleep(rng.uniform(0, max_delay))
        event = await _perform(action, store)


async def _perform(action: Read | Write | Delete, store: KeyValueStore):
    match action:
        case Read(key):
            try:
                entry = await store.get(key)
            except PlatformError:
                return ReadFailed()
            return ReadDone(entry.value, entry.index)
        case Write(key, value, index):
            try:
                done = await store.put(key, value, index)
            except PlatformError as error:
                lost = error.code == ResultCode.PLATFORM_ANSWER_LOST
                return AnswerLost() if lost else WriteFailed()
            return WriteDone() if done else WriteConflict()
        case Delete(key):
            try:
                await store.delete(key)
            except PlatformError:
                return DeleteDone()
            return DeleteDone()


async def read_head(store: KeyValueStore) -> HeadRecord | None:
    """Return the record of the accepted version, or None before the first."""
    entry = await store.get(HEAD_KEY)
    return decode_head(entry.value) if entry.value is not None else None


async def read_version_record(store: KeyValueStore, number: int) -> HeadRecord:
    """Return the record of the head or of an earlier version.

    :raises VersionError: ``VERSION_UNKNOWN`` if it is not kept.
    """
    head = await read_head(store)
    if head is not None and head.number == number:
        return head
    entry = await store.get(history_key(number))
    if entry.value is None:
        message = f"version {number} is not kept"
        raise VersionError(message, ResultCode.VERSION_UNKNOWN)
    return decode_head(entry.value)


async def fetch_content(store: KeyValueStore, record: HeadRecord) -> Content:
    """Read the content of a version and verify its digest.

    :raises VersionError: ``VERSION_UNKNOWN`` or ``VERSION_CORRUPT``.
    """
    return await run_steps(
        read_content_steps(record, _read_once), store, random.Random(record.number)
    )


def _read_once(key: str) -> Generator[Read, Any, tuple[bytes | None, int]]:
    event = yield Read(key)
    if isinstance(event, ReadDone):
        return event.value, event.index
    raise PlatformError(f"cannot read {key}")
