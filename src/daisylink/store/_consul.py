"""Client of a key-value service with Consul's KV and session API."""

import base64
from datetime import timedelta
from http import HTTPStatus
from typing import Any, NamedTuple

import aiohttp
import msgspec

from daisylink.errors import PlatformError, ResultCode
from daisylink.store._store import Entry

INDEX_HEADER = "X-Consul-Index"
DEFAULT_TIMEOUT = timedelta(seconds=2)
MAX_CONNECTIONS = 8
MS_PER_SECOND = 1000


class Reply(NamedTuple):
    """A reply of the service.

    :param watch_index: value of the ``X-Consul-Index`` header.
    """

    status: int
    body: bytes
    watch_index: int


class ConsulStore:
    """A :class:`~daisylink.store.KeyValueStore` over HTTP.

    :param address: ``ip:port`` of the service.
    :param timeout: timeout of one call; a watch adds its waiting time.
    """

    def __init__(self, address: str, timeout: timedelta = DEFAULT_TIMEOUT):
        self.base = f"http://{address}"
        self.timeout = timeout.total_seconds()
        self.session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()

    async def get(self, key: str) -> Entry:
        """Read a key."""
        return await self._read(key, {}, self.timeout)

    async def watch(self, key: str, watch_index: int, wait: timedelta) -> Entry:
        """Read a key once it differs from ``watch_index``, or after ``wait``."""
        seconds = wait.total_seconds()
        params = {"index": watch_index, "wait": f"{round(seconds * MS_PER_SECOND)}ms"}
        return await self._read(key, params, self.timeout + seconds)

    async def put(self, key: str, value: bytes, index: int) -> bool:
        """Write a key if its index is still ``index`` (0 if it must be absent)."""
        reply = await self._write("PUT", f"/v1/kv/{key}", {"cas": index}, value)
        return reply.body == b"true"

    async def delete(self, key: str) -> None:
        """Delete a key."""
        await self._write("DELETE", f"/v1/kv/{key}")

    async def grant_lease(self, duration: timedelta) -> str:
        """Return the identifier of a new lease."""
        seconds = duration.total_seconds()
        body = msgspec.json.encode({"TTL": f"{seconds:g}s", "Behavior": "delete"})
        reply = await self._write("PUT", "/v1/session/create", {}, body)
        return msgspec.json.decode(reply.body)["ID"]

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its duration; return whether it was still valid."""
        reply = await self._write("PUT", f"/v1/session/renew/{lease_id}")
        return reply.status == HTTPStatus.OK

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease; the keys bound to it are deleted."""
        await self._write("PUT", f"/v1/session/destroy/{lease_id}")

    async def acquire(self, key: str, value: bytes, lease_id: str) -> bool:
        """Write a key bound to a lease, unless it is bound to another one."""
        params = {"acquire": lease_id}
        reply = await self._write("PUT", f"/v1/kv/{key}", params, value)
        return reply.body == b"true"

    async def _read(self, key: str, params: dict[str, Any], timeout: float) -> Entry:
        try:
            reply = await self._call("GET", f"/v1/kv/{key}", params, b"", timeout)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformError(f"cannot read {key}: {_describe(error)}") from error
        _check_status(reply)
        if reply.status == HTTPStatus.NOT_FOUND:
            return Entry(None, 0, reply.watch_index)
        item = msgspec.json.decode(reply.body)[0]
        value = base64.b64decode(item["Value"] or "")
        return Entry(value, item["ModifyIndex"], reply.watch_index)

    async def _write(
        self,
        method: str,
        path: str,
        params: dict[str, Any] | None = None,
        body: bytes = b"",
    ) -> Reply:
        try:
            reply = await self._call(method, path, params or {}, body, self.timeout)
        except aiohttp.ClientConnectorError as error:
            raise PlatformError(f"cannot reach platform: {_describe(error)}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformError(
                f"no response to {method} {path}: {_describe(error)}",
                ResultCode.PLATFORM_ANSWER_LOST,
            ) from error
        _check_status(reply)
        return reply

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, Any],
        body: bytes,
        timeout_seconds: float,
    ) -> Reply:
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
            self.session = aiohttp.ClientSession(connector=connector)
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        query = {name: str(value) for name, value in params.items()}
        async with self.session.request(
            method, self.base + path, params=query, data=body, timeout=timeout
        ) as reply:
            index = int(reply.headers.get(INDEX_HEADER, "0"))
            return Reply(reply.status, await reply.read(), index)


def _check_status(reply: Reply) -> None:
    match reply.status:
        case HTTPStatus.OK | HTTPStatus.NOT_FOUND:
            return
        case HTTPStatus.TOO_MANY_REQUESTS:
            raise PlatformError("rate limit reached", ResultCode.PLATFORM_LIMITED)
        case HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise PlatformError("value too large", ResultCode.PLATFORM_VALUE_TOO_LARGE)
        case status:
            raise PlatformError(f"platform responded with status {status}")


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
