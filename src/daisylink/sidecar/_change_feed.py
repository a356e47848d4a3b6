"""Key changes that readers serve to nodes that do not watch the store."""

import asyncio
import zlib
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from math import ceil
from typing import NamedTuple

import msgspec

from daisylink.errors import CallError
from daisylink.http_client import HttpClient, Transfer
from daisylink.http_server import WebRequest, WebResponse
from daisylink.logs import get_logger
from daisylink.registry import (
    NO_REVISION,
    ApplyBudget,
    Changes,
    Item,
    Listing,
    StoreRevision,
    WatchCache,
)

CHANGES_PATH = "/v1/changes"
# Longest wait of a poll, also of one that states none.
MAX_WAIT_SECONDS = 1.0
MS_PER_SECOND = 1000
AGE_STEP_MS = 50
# Digits of the largest 64-bit number.
MAX_COUNT_DIGITS = 19
# Fits a whole uncompressed configuration and the members of a large fleet.
MAX_UPDATES_BYTES = 32 * 1024 * 1024

log = get_logger("feed")


def format_revision(revision: StoreRevision) -> str:
    """Return a revision as a query parameter."""
    return f"{revision.era}-{revision.number}"


def parse_revision(text: str) -> StoreRevision:
    """Return the revision of a query parameter, :data:`NO_REVISION` if malformed."""
    era_text, _, number_text = text.partition("-")
    era, number = parse_count(era_text), parse_count(number_text)
    if era is None or number is None:
        return NO_REVISION
    return StoreRevision(era, number)


def parse_count(text: str) -> int | None:
    """Return a count of a query, None if it is not one."""
    is_count = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else None


def _parse_wait(request: WebRequest) -> float:
    """Return for how many seconds a poll waits."""
    wait_ms = parse_count(request.query.get("wait_ms", ""))
    if wait_ms is None:
        return MAX_WAIT_SECONDS
    return min(wait_ms / MS_PER_SECOND, MAX_WAIT_SECONDS)


class KeyUpdates(msgspec.Struct, array_like=True):
    """Changed keys that one node sends to another, compressed in transit.

    :param revision: store revision up to which the keys are complete.
    :param items: key, value (None if deleted) and revision of each newer key.
    :param is_whole: whether these are all keys, because the sender cannot know which
        ones were deleted since the requested revision.
    :param version: number of the version in force at the sender, 0 for none.
    :param age_ms: milliseconds since the store confirmed these keys to the sender.
    :param first_era: era of the store in which the sender first listed its keys, 0 if
        unknown; it knows what the store lost in later ones.
    """

    revision: StoreRevision
    items: list[tuple[str, bytes | None, StoreRevision]]
    is_whole: bool = False
    version: int = 0
    age_ms: int = 0
    first_era: int = 0

    @classmethod
    def from_bytes(cls, data: bytes) -> "KeyUpdates":
        """Decode updates.

        :raises CallError: if they cannot be decoded.
        """
        try:
            body = zlib.decompressobj().decompress(data, MAX_UPDATES_BYTES)
            return msgspec.msgpack.decode(body, type=cls)
        except (msgspec.MsgspecError, zlib.error) as error:
            raise CallError(f"news: {error}", was_sent=True) from error

    def to_bytes(self) -> bytes:
        """Encode the updates."""
        return zlib.compress(msgspec.msgpack.encode(self))

    def list_items(self) -> list[Item]:
        """Return the changed keys."""
        return [Item(*item) for item in self.items]


class ChangeFeed:
    """Serves key changes to other nodes by long polling.

    :param prefix: prefix of the keys that are served.
    :param can_serve: returns whether this node's keys are complete and confirmed.
    :param now: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        watch_cache: WatchCache,
        prefix: str,
        can_serve: Callable[[], bool],
        now: Callable[[], float],
    ):
        self.watch_cache = watch_cache
        self.prefix = prefix
        self.can_serve = can_serve
        self.now = now
        self.loop = asyncio.get_running_loop()
        self.waiting: list[tuple[StoreRevision, asyncio.Future[WebResponse]]] = []
        self.notified_revision = NO_REVISION
        self.last_key: tuple[StoreRevision, StoreRevision, int, int] | None = None
        self.last_response = WebResponse()

    @property
    def wake_at(self) -> float:
        """Return when :meth:`notify_waiters` is due, in monotonic seconds."""
        return self.watch_cache.stale_at if self.waiting else float("inf")

    def handle_request(
        self, request: WebRequest
    ) -> WebResponse | asyncio.Future[WebResponse]:
        """Respond to a long poll, at once or when there are changes."""
        after = parse_revision(request.query.get("after", ""))
        if not self.can_serve():
            return WebResponse(HTTPStatus.SERVICE_UNAVAILABLE)
        if self.watch_cache.latest_revision(self.prefix) > after:
            return self._make_response(after)
        wait = _parse_wait(request)
        if not wait:
            return self._make_response(after)
        response = self.loop.create_future()
        self.waiting.append((after, response))
        self.loop.call_later(wait, self._end_wait, after, response)
        return response

    def notify_waiters(self) -> None:
        """Respond to the long polls for which there are changes.

        None waits at a node whose keys the store has not confirmed for too long.
        """
        if not self.waiting:
            return
        if not self.can_serve():
            self._turn_away()
            return
        if self.watch_cache.revision == self.notified_revision:
            return
        self.notified_revision = self.watch_cache.revision
        latest = self.watch_cache.latest_revision(self.prefix)
        for after, response in self.waiting:
            if latest > after and not response.done():
                response.set_result(self._make_response(after))
        self.waiting = [item for item in self.waiting if not item[1].done()]

    def _turn_away(self) -> None:
        """Send the waiting nodes to another reader or to the store."""
        log.bind(waiting=len(self.waiting), age_ms=self._count_age_ms()).info(
            "keys are served no longer"
        )
        for _, response in self.waiting:
            if not response.done():
                response.set_result(WebResponse(HTTPStatus.SERVICE_UNAVAILABLE))
        self.waiting.clear()

    def _end_wait(
        self, after: StoreRevision, response: asyncio.Future[WebResponse]
    ) -> None:
        """Tell a waiting node that there are no changes, if this node can know it."""
        if response.done():
            return
        if not self.can_serve():
            self._turn_away()
            return
        response.set_result(self._make_response(after))
        self.waiting = [item for item in self.waiting if item[1] is not response]

    def _make_response(self, after: StoreRevision) -> WebResponse:
        """Return the response to a long poll; most waiting nodes get the same one."""
        watch_cache = self.watch_cache
        age_ms = self._count_age_ms()
        key = (after, watch_cache.revision, watch_cache.change_count, age_ms)
        if key != self.last_key:
            self.last_key = key
            self.last_response = self._encode_changes(after, age_ms)
        return self.last_response

    def _count_age_ms(self) -> int:
        """Return the age of the keys in steps, so that responses can be shared."""
        age = max(0.0, self.watch_cache.count_age(self.now()))
        return ceil(age * MS_PER_SECOND / AGE_STEP_MS) * AGE_STEP_MS

    def _encode_changes(self, after: StoreRevision, age_ms: int) -> WebResponse:
        watch_cache = self.watch_cache
        is_whole = after < watch_cache.first_revision
        start = NO_REVISION if is_whole else after
        items = watch_cache.list_changes_after(start, self.prefix)
        if is_whole:
            items = [item for item in items if item.value is not None]
        updates = KeyUpdates(
            watch_cache.revision,
            [tuple(item) for item in items],
            is_whole,
            age_ms=age_ms,
        )
        return WebResponse(body=updates.to_bytes())


class ReaderAnswer(NamedTuple):
    """What a reader answered.

    :param age: seconds since the store confirmed it to the reader.
    """

    updates: Changes | Listing
    age: float


class ChangeFeedClient:
    """Gets changes from one reader at a time.

    Polls of a reader cost no store call, so they can be short: an unresponsive reader
    is noticed well within the bound for applying a configuration.

    :param budget: how long a poll waits, and how much later the reader may answer.
    """

    def __init__(self, budget: ApplyBudget):
        self.wait = budget.poll_wait
        self.response_seconds = budget.poll_response.total_seconds()
        self.client: HttpClient | None = None
        self.transfer: Transfer | None = None

    async def watch(
        self, reader: str, after: StoreRevision, wait: timedelta
    ) -> ReaderAnswer:
        """Return the changes after a revision, or all keys.

        :param wait: longest time that the reader waits for a change.
        :raises CallError: if the reader does not respond or serves no changes.
        """
        if self.client is None or self.client.address != reader:
            self.close()
            self.client = HttpClient(reader)
        wait_seconds = min(wait, self.wait).total_seconds()
        wait_ms = round(wait_seconds * MS_PER_SECOND)
        target = f"{CHANGES_PATH}?after={format_revision(after)}&wait_ms={wait_ms}"
        now = asyncio.get_running_loop().time()
        self.transfer = Transfer(now, self.response_seconds)
        response = await self.client.call(
            "GET",
            target,
            wait_seconds + self.response_seconds,
            transfer=self.transfer,
        )
        if response.status != HTTPStatus.OK:
            raise CallError(f"status {response.status}", was_sent=True)
        updates = KeyUpdates.from_bytes(response.body)
        age = updates.age_ms / MS_PER_SECOND
        form = Listing if updates.is_whole else Changes
        return ReaderAnswer(form(updates.list_items(), updates.revision), age)

    def close(self) -> None:
        """Close the connection."""
        if self.client is not None:
            self.client.close()
