"""Stand-ins for the platform's store and for a backend server.

Tests turn their faults on. Everything runs on the event loop of the test.
"""

import asyncio
import copy
from base64 import b64decode, b64encode
from enum import Enum
from http import HTTPStatus
from urllib.parse import parse_qsl

import msgspec

from tests.loopback import LOOPBACK_HOST

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
PAGE_SIZE = 3
# Time between two pieces of a response on a narrow link.
NARROW_STEP_SECONDS = 0.1


class Fault(Enum):
    """How the store handles calls."""

    NONE = "none"
    UNAVAILABLE = "503"
    UNRESPONSIVE = "no answer, nothing done"
    LOSE_ANSWERS = "done, no answer"


class HttpStandIn:
    """An HTTP listener; subclasses handle complete requests."""

    def __init__(self):
        self.server = None
        self.writers = set()

    @property
    def address(self):
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, LOOPBACK_HOST, port)

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.strip().split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.handle_request(writer, method, target, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle_request(self, writer, method, target, headers, body):
        raise NotImplementedError


class StoreStandIn(HttpStandIn):
    """The platform's store: items with revisions, leases, watches and a history."""

    def __init__(self):
        super().__init__()
        self.fault = Fault.NONE
        self.revision = 1
        self.items = {}
        self.events = []
        self.compacted = 0
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.calls = 0
        self.watched_prefixes = []
        # When the calls that count as writes arrived, in seconds of the loop's clock.
        self.write_times = []
        self.era = 1
        self.era_header = None
        # Bandwidth of every connection, None if responses are sent at once.
        self.bytes_per_second = None

    def put(self, key, value, lease=0):
        self.revision += 1
        text = b64encode(value).decode()
        item = {"key": key, "value": text, "rev": self.revision, "lease": lease}
        self.items[key] = item
        self._record_event({**item, "create_rev": self.revision})

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"key": key, "rev": self.revision, "tombstone": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def compact_history(self):
        self.compacted = self.revision
        self.events.clear()
        self.abort_connections()

    def make_copy(self):
        """Return a copy of the contents, for :meth:`come_back`."""
        return copy.deepcopy((self.items, self.leases, self.next_lease, self.revision))

    async def come_back(self, saved, away_seconds=0.5, on_return=None):
        """Be away for a moment, then come back from an older copy in the next era.

        :param on_return: called before the first call after the return.
        """
        self.fault = Fault.UNRESPONSIVE
        self.abort_connections()
        await asyncio.sleep(away_seconds)
        self.items, self.leases, self.next_lease, self.revision = copy.deepcopy(saved)
        self.events.clear()
        self.compacted = self.revision
        self.era += 1
        if on_return is not None:
            on_return()
        self.fault = Fault.NONE
        self.abort_connections()

    def abort_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def _record_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle_request(self, writer, method, target, headers, body):
        self.calls += 1
        if self.fault is Fault.UNAVAILABLE:
            await self._respond(writer, HTTPStatus.SERVICE_UNAVAILABLE, b"")
            return
        if self.fault is Fault.UNRESPONSIVE:
            return
        if method == "POST" and "kv-keep" not in target:
            self.write_times.append(asyncio.get_running_loop().time())
        path, _, text = target.partition("?")
        query = dict(parse_qsl(text))
        status, value = await self._perform(method, path, query, body)
        if self.fault is not Fault.LOSE_ANSWERS:
            await self._respond(writer, status, msgspec.json.encode(value))

    async def _respond(self, writer, status, body):
        era = self.era if self.era_header is None else self.era_header
        data = encode(status, body, f"Store-Era: {era}\r\n")
        step = len(data)
        if self.bytes_per_second is not None:
            step = round(self.bytes_per_second * NARROW_STEP_SECONDS)
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            if step < len(data):
                await asyncio.sleep(NARROW_STEP_SECONDS)

    async def _perform(self, method, path, query, body):
        match method, path.split("/")[2:]:
            case "GET", ["kv-range"]:
                return HTTPStatus.OK, self._list(query)
            case "GET", ["kv-watch"]:
                return await self._watch(query)
            case "POST", ["kv-txn"]:
                return self._write(msgspec.json.decode(body))
            case "POST", ["kv-lease"]:
                lease = self.next_lease
                self.next_lease += 1
                self.leases[lease] = msgspec.json.decode(body)["ttl_time"]
                return HTTPStatus.OK, {"lease": lease, "ttl_time": self.leases[lease]}
            case "POST", ["kv-keep", number]:
                found = int(number) in self.leases
                status = HTTPStatus.OK if found else HTTPStatus.NOT_FOUND
                return status, {"ttl_time": "3000ms"}
            case "DELETE", ["kv-lease-end", number]:
                self.end_lease(int(number))
                return HTTPStatus.OK, {}
        return HTTPStatus.BAD_REQUEST, {}

    def _list(self, query):
        after, prefix = query.get("after", ""), query.get("prefix", "")
        keys = sorted(k for k in self.items if k > after and k.startswith(prefix))
        items = [self.items[key] for key in keys[:PAGE_SIZE]]
        more = len(keys) > PAGE_SIZE
        return {"items": items, "more_pages": more, "current_rev": self.revision}

    async def _watch(self, query):
        self.watched_prefixes.append(query.get("prefix", ""))
        after = int(query["after"])
        if not self.compacted <= after <= self.revision:
            return HTTPStatus.GONE, {}
        deadline = int(query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(deadline):
                while not self._find_events(query, after):
                    await self.changed.wait()
        except TimeoutError:
            pass
        events = self._find_events(query, after)
        return HTTPStatus.OK, {"events": events, "current_rev": self.revision}

    def _find_events(self, query, after):
        prefix = query.get("prefix", "")
        return [
            event
            for event in self.events
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

    def _write(self, call):
        for row in call["expect_rev"]:
            if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                return HTTPStatus.PRECONDITION_FAILED, {"items": []}
        for put in call["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return HTTPStatus.NOT_FOUND, {}
            self.put(put["key"], b64decode(put["value"]), put["lease"])
        for key in call["deletes"]:
            self.delete(key)
        return HTTPStatus.OK, {"rev": self.revision}


class ServerStandIn(HttpStandIn):
    """A backend server whose responses carry its seal, or a faulty one.

    :param crash_path: path of the requests that crash it.
    :param crash_caller: calling service of those requests, None for any.
    :param make_raw_response: makes the bytes sent instead of the response, from the
        request's id.
    :param flood: bytes that follow those again and again until the caller closes.
    """

    def __init__(self, instance):
        super().__init__()
        self.instance = instance
        self.crash_path = None
        self.crash_caller = None
        self.make_raw_response = None
        self.flood = b""
        self.flood_bytes = 0
        self.service_seconds = 0.0
        self.runs = []
        self.seen_headers = []

    async def handle_request(self, writer, method, target, headers, body):
        self.seen_headers.append(headers)
        name = headers["x-daisylink-request-id"]
        if headers.get("x-daisylink-target-instance") != self.instance:
            write(writer, HTTPStatus.MISDIRECTED_REQUEST, b"")
            return
        self.runs.append(name)
        caller = headers["x-daisylink-caller-service"]
        if target == self.crash_path and self.crash_caller in (None, caller):
            self.close()
            return
        await asyncio.sleep(self.service_seconds)
        if self.make_raw_response is not None:
            writer.write(self.make_raw_response(name))
            await self._flood(writer)
            return
        writer.write(encode_response(name, f"answer to {name}".encode()))

    async def _flood(self, writer):
        while self.flood and not writer.is_closing():
            writer.write(self.flood)
            self.flood_bytes += len(self.flood)
            await writer.drain()
            await asyncio.sleep(0.001)


def encode_response(name, body, extra=""):
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Daisylink-Request-Id: {name}\r\n"
        f"X-Daisylink-Response-Seal: {SEAL}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def encode(status, body, extra=""):
    length = f"Content-Length: {len(body)}\r\n"
    head = f"HTTP/1.1 {int(status)} X\r\n{extra}{length}\r\n"
    return head.encode() + body


def write(writer, status, body, extra=""):
    writer.write(encode(status, body, extra))
