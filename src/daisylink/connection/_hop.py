"""Connections to the next hop, and the pool that keeps them open between requests."""

import asyncio
from typing import Any

import httptools

from daisylink.logs import get_logger
from daisylink.request import ResponseHead

HTTP_CONTINUE = 100
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})
# Several round trips between regions; an opening packet that was lost comes again
# only after a second, when another node has long answered.
CONNECT_SECONDS = 0.25
IDLE_SECONDS = 30.0
# An idle connection is given up well before the other end closes it.
IDLE_SHARE = 0.6
MAX_IDLE_PER_ADDRESS = 32
HIGH_WATER_BYTES = 256 * 1024

log = get_logger("hop")


class HopConnection(asyncio.Protocol):
    """One connection to a backend server or to another node's relay listener.

    :param pool: the pool that it goes back to.
    :param address: ``ip:port`` of the other end.
    """

    def __init__(self, pool: "HopConnectionPool", address: str):
        self.pool = pool
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.exchange: Any = None
        self.parser: httptools.HttpResponseParser | None = None
        self.is_head_request = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.length: int | None = None
        self.status = 0
        self.ended = False
        self.is_stray = False
        self.is_broken = False
        self.idle_limit = IDLE_SECONDS
        self.reusable = False
        self.until_close = False
        self.is_write_paused = False
        self.idle_since = 0.0
        self.last_read_at = 0.0
        self.pending: list[bytes] = []

    # asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the open connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the exchange, if one is under way.

        An answer without a length is whole only if its sender closed in order.
        """
        self.pool.remove(self)
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        in_order = error is None and not self.is_broken
        if self.until_close and self.status and in_order:
            exchange.flush_response()
            exchange.handle_response_end(self, False)
        else:
            exchange.handle_hop_lost()

    def data_received(self, data: bytes) -> None:
        """Parse what came and pass it on."""
        exchange = self.exchange
        if exchange is None:
            self.transport.abort()
            return
        self.last_read_at = self.pool.gateway.now()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.reusable = False
            if not self.ended:
                self.is_broken = True
                self.transport.abort()
                return
        if self.exchange is not exchange:
            return
        exchange.flush_response()
        if self.ended:
            self.exchange = None
            reusable = self.reusable and not self.transport.is_closing()
            exchange.handle_response_end(self, reusable)
            if not reusable:
                self.transport.close()

    def pause_writing(self) -> None:
        """Stop reading the request: the next hop reads too slowly."""
        self.is_write_paused = True
        if self.exchange is not None:
            self.exchange.caller.update_flow_control()

    def resume_writing(self) -> None:
        """Read the request again."""
        self.is_write_paused = False
        if self.exchange is not None:
            self.exchange.caller.update_flow_control()

    # httptools

    def on_message_begin(self) -> None:
        """Begin an answer; one after the exchange's own belongs to nobody."""
        self.is_stray = self.ended
        self.headers = []
        self.length = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if self.status or self.is_stray:
            return
        name = name.lower()
        if name == b"content-length":
            self.length = int(value)
        elif name == b"keep-alive":
            self._limit_idle(value)
        self.headers.append((name, value))

    def _limit_idle(self, value: bytes) -> None:
        """Note how long the other end keeps an idle connection, in whole seconds."""
        for part in value.split(b","):
            name, _, text = part.strip().partition(b"=")
            if name.lower() == b"timeout" and text.isdigit():
                self.idle_limit = min(IDLE_SECONDS, int(text) * IDLE_SHARE)

    def on_headers_complete(self) -> None:
        """Take the whole head."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS or self.is_stray:
            return
        if not self.exchange.owns_response(self.headers):
            self.is_stray = True
            return
        self.status = status
        bodiless = self.is_head_request or status in BODILESS_STATUSES
        chunked = any(name == b"transfer-encoding" for name, _ in self.headers)
        self.until_close = not bodiless and self.length is None and not chunked
        self.reusable = self.parser.should_keep_alive() and not self.until_close
        head = ResponseHead(status, self.headers, self.length, bodiless)
        self.exchange.handle_response_head(head)
        if self.is_head_request:
            self.reusable = False
            self.ended = True

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self.exchange is not None and not self.is_stray:
            self.exchange.handle_response_body(data)

    def on_message_complete(self) -> None:
        """Note the end of an answer, or of an interim one."""
        if self.is_stray:
            self.is_stray = False
            self.reusable = self.reusable and not self.ended
        elif self.status:
            self.ended = True
        elif self.parser.get_status_code() == HTTP_CONTINUE:
            self.exchange.send_continue()

    # Exchanges

    def start_exchange(self, exchange: Any, is_head_request: bool) -> None:
        """Serve an exchange.

        :param is_head_request: whether its method is HEAD, whose answer has no body.
        """
        self.exchange = exchange
        self.is_head_request = is_head_request
        if self.parser is None:
            self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.ended = False
        self.until_close = False

    def buffer(self, data: bytes) -> None:
        """Collect bytes for :meth:`flush`."""
        self.pending.append(data)

    def flush(self) -> None:
        """Write what was collected."""
        if self.pending:
            data = b"".join(self.pending)
            self.pending.clear()
            self.transport.write(data)

    def abort(self) -> None:
        """Close: the exchange ended before the answer did."""
        self.exchange = None
        self.transport.abort()


class HopConnectionPool:
    """Open connections by address.

    :param gateway: the process's :class:`~daisylink.process.Gateway`.
    """

    def __init__(self, gateway: Any):
        self.gateway = gateway
        self.idle: dict[str, list[HopConnection]] = {}
        self.connect_tasks: set[asyncio.Task] = set()

    def acquire(self, address: str) -> HopConnection | None:
        """Return an idle connection, or None."""
        idle = self.idle.get(address)
        now = self.gateway.now()
        while idle:
            hop = idle.pop()
            if now - hop.idle_since > hop.idle_limit:
                hop.transport.close()
            elif not hop.transport.is_closing():
                return hop
        return None

    def open(self, address: str, exchange: Any, attempt: int) -> None:
        """Open a connection for one attempt of an exchange."""
        task = self.gateway.loop.create_task(self._open(address, exchange, attempt))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def release(self, hop: HopConnection) -> None:
        """Keep a connection for the next request."""
        idle = self.idle.setdefault(hop.address, [])
        if hop.transport.is_closing():
            return
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            hop.transport.close()
            return
        hop.idle_since = self.gateway.now()
        idle.append(hop)

    def remove(self, hop: HopConnection) -> None:
        """Drop a lost connection."""
        idle = self.idle.get(hop.address)
        if idle and hop in idle:
            idle.remove(hop)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that does not answer."""
        for hop in self.idle.pop(address, []):
            hop.transport.abort()

    async def probe(self, address: str) -> bool:
        """Return whether a new connection is answered; it is kept for requests.

        A refusal is an answer too: the process is gone or stops, and what it still has
        in hand comes or breaks off on the connections that are open.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, hop = await self.gateway.loop.create_connection(
                    lambda: HopConnection(self, address), host, int(port)
                )
        except TimeoutError:
            return False
        except (OSError, ValueError) as error:
            log.bind(address=address).debug("probe was refused: {}", error)
            return True
        self.release(hop)
        return True

    def close_expired(self, now: float) -> None:
        """Close connections that were not used for a while."""
        for address, idle in list(self.idle.items()):
            while idle and now - idle[0].idle_since > idle[0].idle_limit:
                idle.pop(0).transport.close()
            if not idle:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self.idle.values():
            for hop in idle:
                hop.transport.close()
        self.idle.clear()

    async def _open(self, address: str, exchange: Any, attempt: int) -> None:
        host, _, port = address.rpartition(":")
        loop = self.gateway.loop
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, hop = await loop.create_connection(
                    lambda: HopConnection(self, address), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            exchange.handle_connect_failure(attempt, isinstance(error, TimeoutError))
            return
        if not exchange.handle_connection(hop, attempt):
            self.release(hop)
