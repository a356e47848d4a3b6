"""Connections from callers and from other nodes: HTTP/1.1, parsed by httptools.

circuits.web is too slow for callers' requests (see docs/DESIGN.md); this is an asyncio
protocol on the same loop.
"""

import asyncio
from collections import deque
from typing import Any

import httptools

from daisylink.errors import RequestError, ResultCode
from daisylink.request import Exchange, encode_refusal, make_refusal, parse_head

MAX_HEADERS = 100
MAX_PIPELINED = 8
BODY_SECONDS = 10.0
STALL_SECONDS = 10.0
RELAY_IDLE_SECONDS = 120.0


class CallerConnection(asyncio.Protocol):
    """One connection from a caller.

    Requests that come before the answer to the one before wait their turn, so answers
    go out in the order of requests.

    :param gateway: the process's :class:`~daisylink.process.Gateway`.
    :param is_relay: whether the other end is a node.
    """

    def __init__(self, gateway: Any, is_relay: bool):
        self.gateway = gateway
        self.is_relay = is_relay
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.current: Exchange | None = None
        self.pipelined: deque[Exchange] = deque()
        self.parsing: Exchange | None = None
        self.needs_start = False
        self.in_head = False
        self.unparsed = 0
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.last_read_at = gateway.now()
        self.fault: RequestError | None = None
        self.closing = False
        self.paused = False

    # asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the open connection."""
        self.transport = transport
        self.gateway.callers.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel what the caller asked for: it has gone."""
        self.gateway.callers.discard(self)
        self.closing = True
        for exchange in (self.current, *self.pipelined):
            if exchange is not None:
                exchange.cancel()
        self.current = None
        self.pipelined.clear()

    def data_received(self, data: bytes) -> None:
        """Parse what came and pass it on."""
        if self.closing:
            return
        self.last_read_at = self.gateway.now()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fault = RequestError("upgrade is not served")
        except httptools.HttpParserError as error:
            self.fault = self.fault or RequestError(str(error))
        if self.fault is not None:
            self._refuse_rest(self.fault.code)
            return
        if self.in_head:
            self.unparsed += len(data)
            if self.unparsed > self.gateway.caller_limits.header_bytes:
                self._refuse_rest(ResultCode.REQUEST_HEAD_TOO_LARGE)
                return
        if self.needs_start:
            self.needs_start = False
            self.current.start()
        elif self.current is not None:
            self.current.flush_body()
        self._check_pause()

    def eof_received(self) -> bool:
        """Close: a caller that stops sending has gone."""
        return False

    def pause_writing(self) -> None:
        """Stop reading the answer: the caller reads too slowly."""
        if self.current is not None and self.current.hop is not None:
            self.current.hop.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read the answer again."""
        if self.current is not None and self.current.hop is not None:
            self.current.hop.transport.resume_reading()

    # httptools

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.in_head = True
        self.unparsed = 0
        self.headers = []
        self.url = b""

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if self.in_head:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the whole head."""
        self.in_head = False
        self._check_head_size()
        if self.fault is not None:
            return
        parser = self.parser
        if parser.should_upgrade():
            self._set_fault("upgrade is not served")
            return
        if not self.url.startswith(b"/"):
            self._set_fault("target is not a path")
            return
        is_old = parser.get_http_version() == "1.0"
        try:
            head = parse_head(
                parser.get_method(),
                self.url,
                self.headers,
                self.is_relay,
                self.gateway.header_names,
            )
        except RequestError as error:
            self.fault = error
            return
        keep_alive = parser.should_keep_alive()
        exchange = Exchange(self.gateway, self, head, keep_alive, is_old)
        self.parsing = exchange
        if self.current is None:
            self.current = exchange
            self.needs_start = True
        else:
            self.pipelined.append(exchange)
            self.gateway.loop.call_soon(exchange.start, False)

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self.parsing is not None:
            self.parsing.handle_body(data)

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        exchange, self.parsing = self.parsing, None
        if exchange is not None:
            exchange.handle_body_end()

    # Exchanges

    def has_started_after(self, exchange: Exchange) -> bool:
        """Return whether a request behind another one has begun."""
        behind = list(self.pipelined)
        if exchange in behind:
            behind = behind[behind.index(exchange) + 1 :]
        return any(other.started for other in behind)

    def write(self, exchange: Exchange, data: bytes) -> None:
        """Write to the caller, or hold the bytes until it is the request's turn."""
        if exchange is not self.current:
            exchange.pending_output.append(data)
        elif not self.closing:
            self.transport.write(data)

    def finish(self, exchange: Exchange, keep_alive: bool) -> None:
        """Go on to the next request, or close.

        The rest of a refused request's body is read and dropped.
        """
        if exchange is not self.current:
            return
        self.current = None
        if not keep_alive:
            self.close()
            return
        if self.pipelined:
            self.current = self.pipelined.popleft()
            self._write_held(self.current)
            self.gateway.loop.call_soon(self._take_turn, self.current)
        self.update_flow_control()

    def update_flow_control(self) -> None:
        """Read from the caller again."""
        self._check_pause()

    def close(self) -> None:
        """Close once everything is written."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def close_if_idle(self) -> None:
        """Close if no request is open, not even in part."""
        if self.current is None and not self.in_head:
            self.close()

    def abort(self) -> None:
        """Close at once, so that the caller sees that its answer is not whole."""
        self.closing = True
        self.transport.abort()

    def enforce_timeouts(self, now: float) -> None:
        """Cut a caller or an answer that is too slow; close an idle connection."""
        quiet = now - self.last_read_at
        exchange = self.current
        if exchange is None:
            limits = self.gateway.caller_limits
            idle = RELAY_IDLE_SECONDS if self.is_relay else limits.idle_seconds
            if self.in_head and quiet > limits.header_seconds:
                self._refuse_rest(ResultCode.REQUEST_CALLER_TOO_SLOW)
            elif quiet > idle or (self.parsing is not None and quiet > BODY_SECONDS):
                self.close()
            return
        if exchange.is_responding:
            if exchange.is_response_stalled(now, STALL_SECONDS):
                exchange.abort()
            return
        is_stalled = (
            not exchange.is_body_complete and exchange.can_read_body and not self.paused
        )
        if is_stalled and quiet > BODY_SECONDS:
            exchange.fail(ResultCode.REQUEST_CALLER_TOO_SLOW)

    def _write_held(self, exchange: Exchange) -> None:
        """Write what came of an answer before its turn, ahead of what comes now."""
        if exchange.pending_output and not self.closing:
            self.transport.write(b"".join(exchange.pending_output))
            exchange.pending_output.clear()

    def _take_turn(self, exchange: Exchange) -> None:
        """Give the first of the waiting requests its turn to answer."""
        if exchange is not self.current or self.closing:
            return
        if exchange.done:
            self.finish(exchange, exchange.keeps_connection)
            return
        exchange.start()

    def _check_pause(self) -> None:
        wants = len(self.pipelined) < MAX_PIPELINED and (
            self.parsing is None or self.parsing.done or self.parsing.can_read_body
        )
        hop = self.current.hop if self.current is not None else None
        if hop is not None and hop.is_write_paused:
            wants = False
        if wants == self.paused and not self.closing:
            self.paused = not wants
            if self.paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def _check_head_size(self) -> None:
        size = len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value)
        if (
            size > self.gateway.caller_limits.header_bytes
            or len(self.headers) > MAX_HEADERS
        ):
            self._set_fault("head too large", ResultCode.REQUEST_HEAD_TOO_LARGE)

    def _set_fault(
        self, message: str, code: ResultCode = ResultCode.REQUEST_MALFORMED
    ) -> None:
        self.fault = self.fault or RequestError(message, code)

    def _refuse_rest(self, code: ResultCode) -> None:
        """Refuse what cannot be parsed; nothing after it can be understood."""
        broken = self.parsing
        self.needs_start = False
        if broken is None and self.current is None:
            self.transport.write(encode_refusal(make_refusal(code), close=True))
            self.close()
            return
        if broken is not None and broken is self.current:
            broken.fail(code)
        elif self.current is not None:
            self.pipelined.clear()
            self.current.keep_alive = False
        self.parsing = None
