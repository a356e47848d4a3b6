"""Client of a key-value service that speaks Consul's published KV and session API."""

import base64
from datetime import timedelta
from typing import Any

import httpx
import msgspec

from daisylink.errors import PlatformError, ResultCode
from daisylink.platform._store import Entry

INDEX_HEADER = "X-Consul-Index"
CALL_TIMEOUT = timedelta(seconds=2)
MAX_CONNECTIONS = 8
MILLISECONDS = 1000


class HttpStore:
    """A :class:`~daisylink.platform.KeyValueStore` over HTTP.

    :param address: ``ip:port`` of the service.
    :param timeout: longest time for one call; a watch adds its waiting time.
    """

    def __init__(self, address: str, timeout: timedelta = CALL_TIMEOUT):
        self.timeout = timeout.total_seconds()
        self.client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=self.timeout,
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def get(self, key: str) -> Entry:
        """Read a key."""
        return await self._read(key, {}, self.timeout)

    async def watch(self, key: str, watch_index: int, wait: timedelta) -> Entry:
        """Read a key once it differs from ``watch_index``, or after ``wait``."""
        seconds = wait.total_seconds()
        params = {"index": watch_index, "wait": f"{round(seconds * MILLISECONDS)}ms"}
        return await self._read(key, params, self.timeout + seconds)

    async def put(self, key: str, value: bytes, index: int) -> bool:
        """Write a key if its index is still ``index`` (0: absent)."""
        reply = await self._write("PUT", f"/v1/kv/{key}", {"cas": index}, value)
        return reply.content == b"true"

    async def delete(self, key: str) -> None:
        """Delete a key."""
        await self._write("DELETE", f"/v1/kv/{key}")

    async def grant_lease(self, duration: timedelta) -> str:
        """Return the identifier of a new lease."""
        seconds = duration.total_seconds()
        body = msgspec.json.encode({"TTL": f"{seconds:g}s", "Behavior": "delete"})
        reply = await self._write("PUT", "/v1/session/create", {}, body)
        return msgspec.json.decode(reply.content)["ID"]

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its duration; return whether it was still held."""
        reply = await self._write("PUT", f"/v1/session/renew/{lease_id}")
        return reply.status_code == httpx.codes.OK

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease; the keys it holds are deleted."""
        await self._write("PUT", f"/v1/session/destroy/{lease_id}")

    async def hold(self, key: str, value: bytes, lease_id: str) -> bool:
        """Write a key for as long as a lease lasts, unless another lease holds it."""
        params = {"acquire": lease_id}
        reply = await self._write("PUT", f"/v1/kv/{key}", params, value)
        return reply.content == b"true"

    async def _read(self, key: str, params: dict[str, Any], timeout: float) -> Entry:
        try:
            reply = await self.client.get(
                f"/v1/kv/{key}", params=params, timeout=timeout
            )
        except httpx.HTTPError as error:
            raise PlatformError(f"cannot read {key}: {_describe(error)}") from error
        _check_status(reply)
        watch_index = int(reply.headers.get(INDEX_HEADER, "0"))
        if reply.status_code == httpx.codes.NOT_FOUND:
            return Entry(None, 0, watch_index)
        item = msgspec.json.decode(reply.content)[0]
        value = base64.b64decode(item["Value"] or "")
        return Entry(value, item["ModifyIndex"], watch_index)

    async def _write(
        self,
        method: str,
        path: str,
        params: dict[str, Any] | None = None,
        body: bytes = b"",
    ) -> httpx.Response:
        try:
            reply = await self.client.request(method, path, params=params, content=body)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformError(f"cannot reach platform: {_describe(error)}") from error
        except httpx.HTTPError as error:
            raise PlatformError(
                f"no answer to {method} {path}: {_describe(error)}",
                ResultCode.PLATFORM_ANSWER_LOST,
            ) from error
        _check_status(reply)
        return reply


def _check_status(reply: httpx.Response) -> None:
    match reply.status_code:
        case httpx.codes.OK | httpx.codes.NOT_FOUND:
            return
        case httpx.codes.TOO_MANY_REQUESTS:
            raise PlatformError("rate limit reached", ResultCode.PLATFORM_LIMITED)
        case httpx.codes.REQUEST_ENTITY_TOO_LARGE:
            raise PlatformError("value too large", ResultCode.PLATFORM_VALUE_TOO_LARGE)
        case status:
            raise PlatformError(f"platform answered {status}")


def _describe(error: httpx.HTTPError) -> str:
    return str(error) or type(error).__name__
