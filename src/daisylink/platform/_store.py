"""Client of the platform's metadata store."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Mapping, Sequence
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from daisylink.errors import CallError, PlatformError, ResultCode
from daisylink.http_client import HttpClient, HttpResponse, Transfer
from daisylink.platform._units import format_duration, parse_duration
from daisylink.registry import (
    Changes,
    EraTracker,
    Item,
    Lease,
    Listing,
    Put,
    StoreRevision,
)

# Time for a megabyte, the longest page, on a link of 2.5 Mbit/s.
READ_TIMEOUT_SECONDS = 3.5
ERA_HEADER = b"store-era"
# Of a number that fits 63 bits.
MAX_ERA_DIGITS = 18
RESULT_CODES = {
    HTTPStatus.TOO_MANY_REQUESTS: ResultCode.PLATFORM_LIMITED,
    HTTPStatus.GONE: ResultCode.PLATFORM_HISTORY_GONE,
    HTTPStatus.NOT_FOUND: ResultCode.PLATFORM_LEASE_ENDED,
    HTTPStatus.PRECONDITION_FAILED: ResultCode.PLATFORM_CONFLICT,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ResultCode.PLATFORM_VALUE_TOO_LARGE,
}


class _Item(msgspec.Struct):
    """A key with its value, or its deletion.

    :param rev: revision of its last change.
    :param tombstone: whether the key was deleted.
    """

    key: str
    rev: int
    value: str = ""
    tombstone: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    current_rev: int
    more_pages: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class _Lease(msgspec.Struct):
    lease: int
    ttl_time: str


class _Written(msgspec.Struct):
    rev: int


class _Response(NamedTuple):
    """A successful response and the era that it states."""

    body: bytes
    era: int


class MetadataStore:
    """A :class:`~daisylink.registry.LeaseStore` over HTTP.

    :param address: ``ip:port`` of the store.
    :param timeout: timeout of calls with small responses.
    """

    def __init__(self, address: str, timeout: timedelta):
        self.client = HttpClient(address)
        self.era_tracker = EraTracker()
        self.timeout = timeout.total_seconds()
        self.transfer: Transfer | None = None

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def list(self, prefix: str) -> Listing:
        """Return all keys of a prefix."""
        transfer = self._begin_transfer()
        items: list[Item] = []
        revision = None
        after = ""
        while True:
            query = {"prefix": prefix, "after": after} if after else {"prefix": prefix}
            target = f"/-/kv-range?{urlencode(query)}"
            response = await self._call(
                "GET", target, seconds=READ_TIMEOUT_SECONDS, transfer=transfer
            )
            page = _decode(response, _Page)
            if revision is None:
                revision = StoreRevision(response.era, page.current_rev)
            elif response.era != revision.era:
                raise PlatformError(
                    "the store came back", ResultCode.PLATFORM_HISTORY_GONE
                )
            items += [_convert(item, response.era) for item in page.items]
            if not page.more_pages or not page.items:
                return Listing(items, revision)
            after = page.items[-1].key

    async def watch(
        self, prefix: str, revision: StoreRevision, wait: timedelta
    ) -> Changes:
        """Return the changes after a revision, waiting up to ``wait`` for any."""
        _check_era(revision, self.era_tracker.current)
        seconds = wait.total_seconds()
        query = {
            "prefix": prefix,
            "after": revision.number,
            "wait_ms": round(seconds * 1000),
        }
        target = f"/-/kv-watch?{urlencode(query)}"
        transfer = self._begin_transfer()
        try:
            response = await self._call(
                "GET",
                target,
                seconds=seconds + READ_TIMEOUT_SECONDS,
                transfer=transfer,
            )
        except PlatformError as error:
            if transfer.is_too_large:
                raise PlatformError(
                    "too many changes for one response",
                    ResultCode.PLATFORM_HISTORY_GONE,
                ) from error
            raise
        _check_era(revision, response.era)
        events = _decode(response, _Events)
        items = [_convert(item, response.era) for item in events.events]
        return Changes(items, StoreRevision(response.era, events.current_rev))

    async def write(self, key: str, value: bytes, lease_id: int) -> StoreRevision:
        """Write a key that lasts as long as a lease; return its revision."""
        return await self._write(key, value, lease_id, [])

    async def compare_and_swap(
        self, key: str, value: bytes, revision: StoreRevision
    ) -> StoreRevision:
        """Write a permanent key if its revision is unchanged; return the new one."""
        return await self._write(key, value, 0, [{"key": key, "rev": revision.number}])

    async def delete(self, key: str, revision: StoreRevision) -> None:
        """Delete a key if its revision is unchanged."""
        expected = [{"key": key, "rev": revision.number}]
        body = {"expect_rev": expected, "puts": [], "deletes": [key]}
        await self._post("/-/kv-txn", body)

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Request a new lease."""
        response = await self._post("/-/kv-lease", {"ttl_time": format_duration(ttl)})
        lease = _decode(response, _Lease)
        return Lease(lease.lease, parse_duration(lease.ttl_time))

    async def renew_lease(self, lease_id: int) -> bool:
        """Extend a lease; return whether it was still held."""
        try:
            await self._call("POST", f"/-/kv-keep/{lease_id}")
        except PlatformError as error:
            if error.code is ResultCode.PLATFORM_LEASE_ENDED:
                return False
            raise
        return True

    async def end_lease(self, lease_id: int) -> None:
        """End a lease; the keys it holds are deleted."""
        await self._call("DELETE", f"/-/kv-lease-end/{lease_id}")

    async def transact(
        self, conditions: Mapping[str, StoreRevision], puts: Sequence[Put]
    ) -> StoreRevision:
        """Write several keys at once if no condition fails; return the new revision.

        :param conditions: expected revisions by key, with number 0 for a key that does
            not exist.
        """
        expected = [
            {"key": key, "rev": revision.number} for key, revision in conditions.items()
        ]
        rows = [
            {"key": put.key, "value": b64encode(put.value).decode(), "lease": put.lease}
            for put in puts
        ]
        body = {"expect_rev": expected, "puts": rows, "deletes": []}
        response = await self._post("/-/kv-txn", body)
        return StoreRevision(response.era, _decode(response, _Written).rev)

    async def _write(
        self, key: str, value: bytes, lease_id: int, expected: Sequence[dict]
    ) -> StoreRevision:
        put = {"key": key, "value": b64encode(value).decode(), "lease": lease_id}
        body = {"expect_rev": expected, "puts": [put], "deletes": []}
        response = await self._post("/-/kv-txn", body)
        return StoreRevision(response.era, _decode(response, _Written).rev)

    async def _post(self, target: str, value: dict) -> _Response:
        return await self._call("POST", target, msgspec.json.encode(value))

    def _begin_transfer(self) -> Transfer:
        now = asyncio.get_running_loop().time()
        self.transfer = Transfer(now, READ_TIMEOUT_SECONDS)
        return self.transfer

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        seconds: float = 0.0,
        transfer: Transfer | None = None,
    ) -> _Response:
        path = target.partition("?")[0]
        timeout = seconds or self.timeout
        try:
            response = await self.client.call(method, target, timeout, body, transfer)
        except CallError as error:
            lost = error.was_sent
            code = ResultCode.PLATFORM_ANSWER_LOST if lost else None
            raise PlatformError(f"{path}: {error.message}", code) from error
        era = self.era_tracker.check_response(_parse_era(response))
        if response.status != HTTPStatus.OK:
            code = RESULT_CODES.get(response.status, ResultCode.PLATFORM_UNAVAILABLE)
            raise PlatformError(f"{path}: status {response.status}", code)
        return _Response(response.body, era)


def _parse_era(response: HttpResponse) -> int | None:
    """Return the era that a response states, None if it states no number."""
    text = response.headers.get(ERA_HEADER, b"")
    is_number = text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number else None


def _check_era(revision: StoreRevision, era: int) -> None:
    """Refuse to continue a watch in another era.

    :raises PlatformError: ``PLATFORM_HISTORY_GONE``.
    """
    if revision.era != era:
        raise PlatformError(
            f"era {revision.era} has ended", ResultCode.PLATFORM_HISTORY_GONE
        )


def _decode(response: _Response, expected_type: type):
    try:
        return msgspec.json.decode(response.body, type=expected_type)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"response cannot be decoded: {error}") from error


def _convert(item: _Item, era: int) -> Item:
    revision = StoreRevision(era, item.rev)
    if item.tombstone:
        return Item(item.key, None, revision)
    try:
        return Item(item.key, b64decode(item.value), revision)
    except ValueError as error:
        raise PlatformError(f"value of {item.key} is not base64") from error
