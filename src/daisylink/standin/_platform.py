"""Stand-in for the platform's key-value service, over HTTP.

Implements the part of Consul's KV and session API that daisylink uses.
"""

import asyncio
import base64
from datetime import timedelta
from typing import NamedTuple

import msgspec

from daisylink.clock import Clock, SystemClock
from daisylink.errors import DaisylinkError, PlatformError, ResultCode
from daisylink.loop import Application
from daisylink.standin._store import (
    DEFAULT_READS_PER_SECOND,
    DEFAULT_WRITES_PER_SECOND,
    MemoryStore,
    StoreFaults,
)
from daisylink.web import WebRequest, WebResponse, WebServer

KV_PATH = "/v1/kv/"
WATCH_POLL_SECONDS = 0.25
MAX_WATCH_SECONDS = 60.0
MS_PER_SECOND = 1000
STATUS_BY_CODE = {
    ResultCode.PLATFORM_LIMITED: 429,
    ResultCode.PLATFORM_VALUE_TOO_LARGE: 413,
}


class PlatformSettings(NamedTuple):
    """Address to listen on (port 0: any free one) and rate limits."""

    host: str = "127.0.0.1"
    port: int = 0
    reads_per_second: int = DEFAULT_READS_PER_SECOND
    writes_per_second: int = DEFAULT_WRITES_PER_SECOND


class PlatformServer:
    """HTTP interface to a :class:`MemoryStore`.

    :param store: the store.
    :param web: server that requests are received on.
    """

    def __init__(self, store: MemoryStore, web: WebServer):
        self.store = store
        self.web = web
        self.faults = StoreFaults()
        self.changed = asyncio.Event()
        routes = (
            ("GET", KV_PATH, self._read),
            ("PUT", KV_PATH, self._put),
            ("DELETE", KV_PATH, self._delete),
            ("PUT", "/v1/session/create", self._grant_lease),
            ("PUT", "/v1/session/renew/", self._renew_lease),
            ("PUT", "/v1/session/destroy/", self._revoke_lease),
        )
        for method, path, handler in routes:
            web.add_route(method, path, self._with_faults(handler, method != "GET"))
        web.add_route("PUT", "/standin/faults", self._set_faults)
        web.add_route("GET", "/standin/counters", self._show_counters)

    @classmethod
    def from_config(
        cls,
        application: Application,
        settings: PlatformSettings,
        clock: Clock | None = None,
    ) -> "PlatformServer":
        """Create the server from its settings."""
        store = MemoryStore(
            clock or SystemClock(),
            settings.reads_per_second,
            settings.writes_per_second,
        )
        return cls(store, WebServer(application, settings.host, settings.port))

    @property
    def address(self) -> str:
        """Return the address listened on as ``ip:port``."""
        return f"{self.web.host}:{self.web.port}"

    def start(self) -> None:
        """Start to serve requests."""
        self.web.start()

    def stop(self) -> None:
        """Close the listener."""
        self.web.stop()

    def _with_faults(self, handler, is_write: bool):
        """Return a handler that applies the configured faults to another one.

        :param is_write: whether the handler changes the store.
        """

        async def wrapped(request: WebRequest) -> WebResponse:
            if self.faults.outage:
                self.store.counters["refused"] += 1
                return WebResponse.from_error(PlatformError("outage"), 503)
            if self.faults.slow_ms:
                await asyncio.sleep(self.faults.slow_ms / MS_PER_SECOND)
            try:
                response = await handler(request)
            except DaisylinkError as error:
                return WebResponse.from_error(
                    error, STATUS_BY_CODE.get(error.code, 400)
                )
            if is_write:
                self.changed.set()
                self.changed = asyncio.Event()
            if is_write and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return WebResponse(close_without_response=True)
            return response

        return wrapped

    async def _read(self, request: WebRequest) -> WebResponse:
        key = request.path.removeprefix(KV_PATH)
        kind = "watch" if "index" in request.query else "get"
        self.store.count_read(kind)
        if kind == "watch":
            await self._wait_for_change(key, request)
            if self.faults.outage:
                raise PlatformError("outage")
        entry = self.store.get(key)
        if entry is None:
            index = str(self.store.index)
            return WebResponse(404, headers=(("X-Consul-Index", index),))
        item = {
            "Key": key,
            "Value": base64.b64encode(entry.value).decode(),
            "ModifyIndex": entry.index,
            "Session": entry.lease_id,
        }
        response = WebResponse.from_object([item])
        self.store.count_bytes(kind, len(response.body))
        return response._replace(headers=(("X-Consul-Index", str(entry.index)),))

    async def _wait_for_change(self, key: str, request: WebRequest) -> None:
        seen_index = int(request.query["index"])
        wait_ms = int(request.query.get("wait", "0ms").removesuffix("ms"))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(MAX_WATCH_SECONDS, wait_ms / MS_PER_SECOND)
        while loop.time() < deadline and not self.faults.outage:
            entry = self.store.get(key)
            if entry is not None and entry.index != seen_index:
                return
            timeout_seconds = min(WATCH_POLL_SECONDS, max(0.0, deadline - loop.time()))
            changed = asyncio.create_task(self.changed.wait())
            await asyncio.wait([changed], timeout=timeout_seconds)
            changed.cancel()

    async def _put(self, request: WebRequest) -> WebResponse:
        key = request.path.removeprefix(KV_PATH)
        self.store.count_write("put")
        self.store.count_bytes("put", len(request.body))
        if "acquire" in request.query:
            done = self.store.acquire(key, request.body, request.query["acquire"])
        else:
            index = request.query.get("cas")
            expected_index = int(index) if index is not None else None
            done = self.store.put(key, request.body, expected_index)
        return WebResponse.from_object(done)

    async def _delete(self, request: WebRequest) -> WebResponse:
        self.store.count_write("delete")
        self.store.delete(request.path.removeprefix(KV_PATH))
        return WebResponse.from_object(True)

    async def _grant_lease(self, request: WebRequest) -> WebResponse:
        self.store.count_write("lease")
        ttl = float(msgspec.json.decode(request.body)["TTL"].removesuffix("s"))
        lease_id = self.store.grant_lease(timedelta(seconds=ttl))
        return WebResponse.from_object({"ID": lease_id})

    async def _renew_lease(self, request: WebRequest) -> WebResponse:
        self.store.count_write("lease")
        held = self.store.renew_lease(request.path.rpartition("/")[2])
        return WebResponse.from_object(held, 200 if held else 404)

    async def _revoke_lease(self, request: WebRequest) -> WebResponse:
        self.store.count_write("lease")
        self.store.revoke_lease(request.path.rpartition("/")[2])
        return WebResponse.from_object(True)

    def _set_faults(self, request: WebRequest) -> WebResponse:
        try:
            self.faults = msgspec.json.decode(request.body, type=StoreFaults)
        except msgspec.MsgspecError as error:
            fault = DaisylinkError(str(error), ResultCode.SETTING_INVALID)
            return WebResponse.from_error(fault, 400)
        return WebResponse.from_object(self.faults)

    def _show_counters(self, _request: WebRequest) -> WebResponse:
        return WebResponse.from_object(dict(self.store.counters))
