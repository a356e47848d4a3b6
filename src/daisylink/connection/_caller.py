"""HTTP/1.1 connections from callers and from other nodes, parsed by httptools.

circuits.web is too slow for callers' requests (see docs/DESIGN.md), so this is an
asyncio protocol on the same loop.
"""

import asyncio
from collections import deque
from typing import Any

import httptools

from daisylink.connection._caller_timeouts import WriteProgress, enforce_timeouts
from daisylink.connection._head_limits import (
    MAX_STORED_HEADERS,
    PartialHead,
    find_head_limits,
    measure_head,
)
from daisylink.connection._held_bytes import REQUEST_BYTES, HeldBytes, sum_held_bytes
from daisylink.connection._lingering_close import LingeringClose, count_unsent_bytes
from daisylink.connection._response_order import ResponseOrder
from daisylink.connection._shared_reads import SharedReadProtocol
from daisylink.errors import RequestError, ResultCode
from daisylink.logs import get_logger
from daisylink.request import Exchange, encode_refusal, make_refusal, parse_head

# Requests that are read behind the first one of a connection, and their body bytes.
MAX_PIPELINED = 64
MAX_PIPELINED_BYTES = 256 * 1024

log = get_logger("caller")


class CallerConnection(SharedReadProtocol):
    """A connection from a caller.

    Pipelined requests are queued, so that responses are written in the order of the
    requests.

    :param gateway: the process's :class:`~daisylink.serving.Gateway`.
    :param is_relay: whether the peer is another node.
    """

    def __init__(self, gateway: Any, is_relay: bool):
        self.gateway = gateway
        self.is_relay = is_relay
        self.transport: asyncio.Transport | None = None
        # IP address of the node at the other end.
        self.peer_host = ""
        self.parser = httptools.HttpRequestParser(self)
        self.current: Exchange | None = None
        self.pipelined: deque[Exchange] = deque()
        self.response_order = ResponseOrder(self)
        self.parsing: Exchange | None = None
        self.needs_start = False
        self.requests_in_read = 0
        self.is_reading_head = False
        self.partial_head = PartialHead()
        self.head_started_at = 0.0
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.last_read_at = gateway.now()
        self.parse_error: RequestError | None = None
        self.is_rest_unread = False
        # The response to a request that cannot be read, when its turn comes.
        self.rest_refusal = b""
        self.is_closing = False
        self.lingering: LingeringClose | None = None
        self.is_paused = False
        self.is_write_paused = False
        self.write_progress = WriteProgress(gateway.now())

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and register the connection."""
        self.transport = transport
        if self.is_relay:
            self.peer_host = (transport.get_extra_info("peername") or ("",))[0]
        self.gateway.callers.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel the caller's requests."""
        self.gateway.callers.discard(self)
        self._cancel_requests()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes and start or continue the requests in them."""
        if self.lingering is not None:
            self.lingering.discard(len(data))
        if self.is_closing or self.is_rest_unread:
            return
        self.last_read_at = self.gateway.now()
        self.requests_in_read = 0
        self.partial_head.begin_read()
        continued = self.parsing
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.parse_error = RequestError("upgrade is not served")
        except httptools.HttpParserCallbackError as error:
            log.opt(exception=error.__context__).error("a request could not be handled")
            self._set_parse_error("internal error", ResultCode.REQUEST_NO_SERVER)
        except httptools.HttpParserError as error:
            self.parse_error = self.parse_error or RequestError(str(error))
        self.partial_head.end_read(len(data))
        if self.partial_head.is_too_large(self.gateway, self.is_relay):
            self._set_parse_error("head too large", ResultCode.REQUEST_HEAD_TOO_LARGE)
        if self.parse_error is not None:
            self.refuse_rest(self.parse_error.code)
        if continued is not None:
            continued.flush_body()
        needs_start, self.needs_start = self.needs_start, False
        if needs_start and self.current is not None:
            self.current.start()
        self.update_flow_control()
        held_bytes = len(data) + self.requests_in_read * REQUEST_BYTES
        self.gateway.held_limit.record_received(held_bytes)

    def eof_received(self) -> bool:
        """Close the connection: a half-closed one counts as closed by the caller."""
        return False

    def pause_writing(self) -> None:
        """Read no more requests and responses while the caller does not read."""
        self.is_write_paused = True
        self.update_flow_control()

    def resume_writing(self) -> None:
        """Resume reading the current response, and requests."""
        self.is_write_paused = False
        if self.current is not None:
            self.current.resume_response()
        self.update_flow_control()

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.is_reading_head = True
        self.head_started_at = self.gateway.now()
        self.headers = []
        self.url = b""

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if self.is_reading_head and len(self.headers) <= MAX_STORED_HEADERS:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the complete head and create its exchange."""
        self.partial_head.has_parsed = True
        self.is_reading_head = False
        head_bytes = self._check_head_size()
        if self.parse_error is not None:
            return
        parser = self.parser
        if parser.should_upgrade():
            self._set_parse_error("upgrade is not served")
            return
        if not self.url.startswith(b"/"):
            self._set_parse_error("target is not a path")
            return
        is_http_1_0 = parser.get_http_version() == "1.0"
        try:
            head = parse_head(
                parser.get_method(),
                self.url,
                self.headers,
                self.is_relay,
                self.gateway.header_names,
            )
        except RequestError as error:
            self.parse_error = error
            return
        keep_alive = parser.should_keep_alive()
        exchange = Exchange(self.gateway, self, head, keep_alive, is_http_1_0)
        exchange.head_bytes = head_bytes
        self.requests_in_read += 1
        self.parsing = exchange
        if self.current is None:
            self.current = exchange
            self.needs_start = True
        else:
            self.pipelined.append(exchange)
            self.gateway.loop.call_soon(exchange.start, False)

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body to its exchange."""
        self.partial_head.has_parsed = True
        if self.parsing is not None:
            self.parsing.handle_body(data)

    def on_message_complete(self) -> None:
        """End the body of the request."""
        self.partial_head.has_parsed = True
        exchange, self.parsing = self.parsing, None
        if exchange is not None:
            exchange.handle_body_end()

    # Called by exchanges and the gateway

    @property
    def open_requests(self) -> list[Exchange]:
        """Return the requests without a complete response, in their order."""
        current = [] if self.current is None else [self.current]
        return [*current, *self.pipelined]

    @property
    def is_drained(self) -> bool:
        """Return whether no response is due and none is on its way to the caller."""
        is_idle = self.current is None and not self.pipelined
        return is_idle and not count_unsent_bytes(self.transport)

    @property
    def is_mid_response(self) -> bool:
        """Return whether a part of the current response was handed on."""
        return self.current is not None and self.current.is_response_handed_on

    def has_started_after(self, exchange: Exchange) -> bool:
        """Return whether a request pipelined after this one has started."""
        behind = list(self.pipelined)
        if exchange in behind:
            behind = behind[behind.index(exchange) + 1 :]
        return any(other.started for other in behind)

    def write(self, exchange: Exchange, data: bytes) -> None:
        """Write to the caller, or hold the bytes until they can be handed on."""
        if not self.is_closing:
            self.response_order.write(exchange, data)

    def finish(self, exchange: Exchange, keep_alive: bool) -> None:
        """Continue with the next request, or close the connection.

        The rest of a refused request's body is read and discarded.
        """
        if exchange is not self.current:
            return
        self.response_order.hand_on(exchange)
        self.current = None
        if not keep_alive:
            self.close()
            return
        if self.pipelined:
            self.current = self.pipelined.popleft()
            self.response_order.take_turn(self.current)
            self.gateway.loop.call_soon(self._start_next, self.current)
        elif self.is_rest_unread:
            self._close_unread()
            return
        self.update_flow_control()

    def count_held_bytes(self) -> HeldBytes:
        """Return the bytes that wait for the caller or for its requests' next hops."""
        written_bytes = self.transport.get_write_buffer_size()
        return sum_held_bytes(self.open_requests, written_bytes, self.partial_head.size)

    def end_largest_request(self) -> None:
        """End the request that holds most bytes, or the connection if it does."""
        largest = max(self.open_requests, key=Exchange.count_held_bytes, default=None)
        written = self.transport.get_write_buffer_size()
        holds_most = largest is not None and largest.count_held_bytes() > written
        if not holds_most or not largest.free_memory():
            self.abort()
            self._cancel_requests()

    def update_flow_control(self) -> None:
        """Pause or resume reading from the caller as buffers allow."""
        can_read = not self.is_write_paused and self._can_hold_more()
        if can_read == self.is_paused and not self.is_closing:
            self.is_paused = not can_read
            if self.is_paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def refuse_rest(self, code: ResultCode) -> None:
        """Refuse a request that cannot be read, and close the connection after it.

        Where the next request starts is unknown, so all that follows is discarded. The
        requests in front of it are answered first.
        """
        log.bind(peer=self.peer_host, in_front=len(self.open_requests)).info(
            "a request cannot be read: {}", code.name
        )
        self.is_rest_unread = True
        unfinished, self.parsing = self.parsing, None
        if unfinished is not None:
            unfinished.fail(code)
        else:
            self.rest_refusal = encode_refusal(make_refusal(code), close=True)
        if self.current is None:
            self._close_unread()

    def close(self) -> None:
        """Close when the caller has received everything and has closed."""
        if self.is_closing:
            return
        self._cancel_requests()
        self.lingering = LingeringClose(self.transport, self.gateway.now())
        if self.is_paused:
            self.is_paused = False
            self.transport.resume_reading()

    def close_at_once(self) -> None:
        """Close after all buffered data is written."""
        self._cancel_requests()
        self.transport.close()

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or partly received."""
        if self.current is None and not self.is_reading_head:
            self.close()

    def abort(self) -> None:
        """Abort, so that the caller sees that its response is truncated."""
        self.is_closing = True
        self.transport.abort()

    def enforce_timeouts(self, now: float) -> None:
        """Enforce the timeouts on slow callers, stalled responses and idle connections.

        :param now: time of the monotonic clock in seconds.
        """
        enforce_timeouts(self, now)

    def write_bytes(self, data: bytes | bytearray) -> None:
        """Write bytes that are due on the connection now."""
        self.write_progress.record_written(len(data))
        self.transport.write(data)

    def _cancel_requests(self) -> None:
        self.is_closing = True
        for exchange in self.open_requests:
            exchange.cancel()
        self.current = None
        self.pipelined.clear()

    def _start_next(self, exchange: Exchange) -> None:
        """Start the request that became current, or finish it if it is done."""
        if exchange is not self.current or self.is_closing:
            return
        if exchange.done:
            self.finish(exchange, exchange.keeps_connection)
            return
        exchange.start()

    def _can_hold_more(self) -> bool:
        """Return whether the requests leave room for more bytes of the caller."""
        if self.pipelined:
            body_bytes = sum(len(exchange.body.kept) for exchange in self.pipelined)
            is_full = body_bytes > MAX_PIPELINED_BYTES
            if is_full or len(self.pipelined) >= MAX_PIPELINED:
                return False
        return self.parsing is None or self.parsing.done or self.parsing.can_read_body

    def _check_head_size(self) -> int:
        """Refuse a complete head that is too large; return its size in bytes."""
        size = measure_head(self.url, self.headers)
        limits = find_head_limits(self.gateway, self.is_relay)
        if size > limits.max_bytes or len(self.headers) > limits.max_headers:
            self._set_parse_error("head too large", ResultCode.REQUEST_HEAD_TOO_LARGE)
        return size

    def _set_parse_error(
        self, message: str, code: ResultCode = ResultCode.REQUEST_MALFORMED
    ) -> None:
        self.parse_error = self.parse_error or RequestError(message, code)

    def _close_unread(self) -> None:
        """Close the connection, whose rest is not read."""
        if self.is_closing:
            return
        self.write_bytes(self.rest_refusal)
        self.close()
