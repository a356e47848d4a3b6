"""Stand-in backend server: runs requests in slots, with switchable faults."""

import asyncio
import hashlib
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

import httptools
import msgspec

from daisylink.logs import get_logger
from daisylink.standin._caller import CallerClient

ANNOUNCE_INTERVAL_SECONDS = 1.5
ANNOUNCE_TIMEOUT_SECONDS = 1.0
MS_PER_SECOND = 1000
MAX_LOAD_REPORTS = 600
ID_HEADER = b"x-request-id"
SLEEP_HEADER = b"x-standin-sleep-ms"
CRASH_HEADER = b"x-standin-crash"
SIZE_HEADER = b"x-standin-answer-bytes"
DEADLINE_HEADER = b"daisylink-deadline-ms"
BEHAVIOUR_URL = b"/standin/behaviour"
CHUNK_BYTES = 16 * 1024

log = get_logger("backend")


class BackendSettings(NamedTuple):
    """Settings of the stand-in backend server.

    :param pool: pool of the backend server.
    :param port: port to listen on, 0 for a free one.
    :param admin: admin address of the node to announce to, empty for none.
    :param slots: maximum number of concurrent requests.
    :param connections: maximum number of open connections.
    :param service_ms: time that a request takes.
    :param cold_ms: time after the start during which the state is "starting".
    """

    pool: str
    host: str = "127.0.0.1"
    port: int = 0
    admin: str = ""
    slots: int = 10
    connections: int = 110
    service_ms: float = 0.0
    cold_ms: float = 0.0


class Behaviour(msgspec.Struct):
    """Faults and behaviour that can be changed at run time.

    :param shed: refuse requests beyond the slots without running them.
    :param healthy: whether ``/health`` reports success.
    :param health_lag_ms: age of the values that ``/health`` and ``/load`` report.
    :param false_load: load that ``/load`` reports instead of the true one, unless
        negative.
    :param renew: whether the server keeps announcing itself.
    :param service_ms: time that a request takes.
    """

    shed: bool = True
    healthy: bool = True
    health_lag_ms: int = 0
    false_load: float = -1.0
    renew: bool = True
    service_ms: float = 0.0


class LoadReport(NamedTuple):
    """Load at one point in time.

    :param at: time of the event loop's clock, in seconds.
    :param load: requests in progress per slot.
    :param healthy: whether ``/health`` is to report success.
    """

    at: float
    load: float
    healthy: bool


class BackendServer:
    """An HTTP/1.1 server that runs requests in slots and announces itself to a node.

    :param crash: called when a request asks the server to crash.
    """

    def __init__(self, settings: BackendSettings, crash: Callable[[], None]):
        self.settings = settings
        self.crash = crash
        self.behaviour = Behaviour(service_ms=settings.service_ms)
        self.loop = asyncio.get_running_loop()
        self.connections: set[BackendConnection] = set()
        self.in_use = 0
        self.runs: Counter[str] = Counter()
        self.finished: Counter[str] = Counter()
        self.cancelled_count = 0
        self.shed_count = 0
        self.load_reports: deque[LoadReport] = deque(maxlen=MAX_LOAD_REPORTS)
        self.draining = False
        self.started_at = self.loop.time()
        self.server: asyncio.Server | None = None
        self.announce_task: asyncio.Task | None = None
        self.admin_client = CallerClient(settings.admin)

    @property
    def address(self) -> str:
        """Return the address listened on as ``ip:port``."""
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def state(self) -> str:
        """Return the state to announce."""
        if self.draining:
            return "draining"
        age_ms = (self.loop.time() - self.started_at) * MS_PER_SECOND
        return "starting" if age_ms < self.settings.cold_ms else "serving"

    async def start(self) -> None:
        """Start to listen and to announce."""
        self.server = await self.loop.create_server(
            lambda: BackendConnection(self), self.settings.host, self.settings.port
        )
        if self.settings.admin:
            self.announce_task = self.loop.create_task(self._announce_periodically())
        log.info("serving {} on {}", self.settings.pool, self.address)

    async def drain(self) -> None:
        """Announce that no new requests are accepted."""
        self.draining = True
        await self.announce()

    async def stop(self) -> None:
        """Drain, wait for the requests in progress, deregister and close."""
        await self.drain()
        while self.in_use:
            await asyncio.sleep(0.01)
        await self._call_admin("DELETE", "/v1/server")
        await self.close()

    async def close(self) -> None:
        """Close the listener and all connections at once."""
        self.kill()
        self.admin_client.close()

    def kill(self) -> None:
        """Abort all connections and stop listening, as in a crash."""
        if self.announce_task is not None:
            self.announce_task.cancel()
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def announce(self) -> None:
        """Announce address, pool, slots and state to the node once."""
        settings = self.settings
        body = {
            "address": self.address,
            "pool": settings.pool,
            "slots": settings.slots,
            "state": self.state,
        }
        await self._call_admin("PUT", "/v1/server", msgspec.json.encode(body))

    def record_load(self) -> None:
        """Record the current load, for reports with a lag."""
        load = self.in_use / self.settings.slots
        report = LoadReport(self.loop.time(), load, self.behaviour.healthy)
        self.load_reports.append(report)

    def get_shown_report(self) -> LoadReport:
        """Return the load to report, with the configured lag and false load."""
        behaviour = self.behaviour
        cutoff = self.loop.time() - behaviour.health_lag_ms / MS_PER_SECOND
        shown = LoadReport(cutoff, 0.0, True)
        if not behaviour.health_lag_ms:
            load = self.in_use / self.settings.slots
            shown = LoadReport(cutoff, load, behaviour.healthy)
        for report in self.load_reports:
            if report.at <= cutoff:
                shown = report
        if behaviour.false_load >= 0:
            shown = shown._replace(load=behaviour.false_load)
        return shown

    async def _announce_periodically(self) -> None:
        while True:
            if self.behaviour.renew:
                await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def _call_admin(self, method: str, path: str, body: bytes = b"") -> None:
        if not self.settings.admin:
            return
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_SECONDS):
                await self.admin_client.call(method, path, self.settings.admin, body)
        except (OSError, TimeoutError) as error:
            self.admin_client.close()
            log.debug("no response from node: {}", type(error).__name__)


class BackendConnection(asyncio.Protocol):
    """A connection to the stand-in, which carries one request at a time."""

    def __init__(self, backend: BackendServer):
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.url = b""
        self.received = 0
        self.behaviour_body = b""
        self.hash = hashlib.sha256()
        self.timer: asyncio.TimerHandle | None = None
        self.is_running = False
        self.writable = asyncio.Event()
        self.writable.set()
        self.writer: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection, or abort it if there are too many."""
        self.transport = transport
        if len(self.backend.connections) >= self.backend.settings.connections:
            transport.abort()
            return
        self.backend.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel the request in progress."""
        self.backend.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.writer is not None:
            self.writer.cancel()
        if self.is_running:
            self.backend.cancelled_count += 1
            self._release_slot()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if they are malformed."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Suspend writing while the transport's buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Resume writing."""
        self.writable.set()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.headers = {}
        self.url = b""
        self.received = 0
        self.behaviour_body = b""
        self.hash = hashlib.sha256()

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Count and hash a piece of the body."""
        self.received += len(data)
        self.hash.update(data)
        if self.url == BEHAVIOUR_URL:
            self.behaviour_body += data

    def on_message_complete(self) -> None:
        """Handle the complete request."""
        if self.url.startswith((b"/standin/", b"/health", b"/load")):
            self._handle_control_request(self.parser.get_method())
        else:
            self._run()

    def _run(self) -> None:
        backend = self.backend
        if CRASH_HEADER in self.headers:
            backend.runs[self._request_id()] += 1
            backend.crash()
            return
        full = backend.in_use >= backend.settings.slots
        if full and backend.behaviour.shed:
            backend.shed_count += 1
            self._write(503, b"", b"daisylink-shed: not-run\r\nretry-after: 1\r\n")
            return
        backend.in_use += 1
        self.is_running = True
        backend.runs[self._request_id()] += 1
        backend.record_load()
        sleep_ms = float(self.headers.get(SLEEP_HEADER, backend.behaviour.service_ms))
        deadline_ms = float(self.headers.get(DEADLINE_HEADER, b"inf"))
        if deadline_ms < sleep_ms:
            self._schedule(deadline_ms, self._expire)
        elif sleep_ms:
            self._schedule(sleep_ms, self._finish)
        else:
            self._finish()

    def _schedule(self, milliseconds: float, callback: Callable[[], None]) -> None:
        loop = self.backend.loop
        self.timer = loop.call_later(milliseconds / MS_PER_SECOND, callback)

    def _expire(self) -> None:
        self._release_slot()
        self._write(504, b"deadline passed")

    def _finish(self) -> None:
        request_id = self._request_id()
        self.backend.finished[request_id] += 1
        self._release_slot()
        size = int(self.headers.get(SIZE_HEADER, b"0"))
        if size:
            self.writer = self.backend.loop.create_task(self._write_chunked(size))
            return
        digest = self.hash.hexdigest() if self.received else ""
        body = f'{{"id":"{request_id}","bytes":{self.received},"sha256":"{digest}"}}'
        self._write(200, body.encode())

    async def _write_chunked(self, size: int) -> None:
        self.transport.write(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n%b\r\n"
            % self._id_header()
        )
        chunk = bytes(CHUNK_BYTES)
        while size:
            count = min(size, CHUNK_BYTES)
            self.transport.write(b"%x\r\n%b\r\n" % (count, chunk[:count]))
            size -= count
            await self.writable.wait()
        self.transport.write(b"0\r\n\r\n")

    def _release_slot(self) -> None:
        self.is_running = False
        self.backend.in_use -= 1
        self.backend.record_load()

    def _request_id(self) -> str:
        return self.headers.get(ID_HEADER, b"").decode("latin-1")

    def _id_header(self) -> bytes:
        request_id = self.headers.get(ID_HEADER)
        return b"x-request-id: %b\r\n" % request_id if request_id else b""

    def _write(self, status: int, body: bytes, extra: bytes = b"") -> None:
        self.transport.write(
            b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n%b%b\r\n%b"
            % (status, len(body), extra, self._id_header(), body)
        )

    def _handle_control_request(self, method: bytes) -> None:
        backend = self.backend
        match self.url:
            case b"/health":
                healthy = backend.get_shown_report().healthy
                self._write(200 if healthy else 503, b"")
            case b"/load":
                self._write(200, b"%.3f" % backend.get_shown_report().load)
            case b"/standin/runs":
                self._write(200, msgspec.json.encode(dict(backend.runs)))
            case b"/standin/behaviour" if method == b"PUT":
                self._set_behaviour()
            case b"/standin/drain" if method == b"POST":
                backend.loop.create_task(backend.drain())
                self._write(200, b"")
            case _:
                self._write(404, b"")

    def _set_behaviour(self) -> None:
        try:
            behaviour = msgspec.json.decode(self.behaviour_body, type=Behaviour)
        except msgspec.MsgspecError as error:
            self._write(400, str(error).encode())
            return
        self.backend.behaviour = behaviour
        self._write(200, msgspec.json.encode(behaviour))
