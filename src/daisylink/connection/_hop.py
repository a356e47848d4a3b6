"""Connections to the next hop: a backend server, or another node."""

import asyncio
import re
import socket
from typing import Any

import httptools

from daisylink.connection._shared_reads import SharedReadProtocol
from daisylink.logs import get_logger
from daisylink.request import ResponseHead, may_be_repeated, owns_response

HTTP_CONTINUE = 100
INTERIM_STATUSES = frozenset({HTTP_CONTINUE, 102, 103})
FINAL_STATUSES = range(200, 600)
# Headers that an interim response must not have, as it has no body (RFC 9110, 15.2).
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
STATUS_LINE_START = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")
BODILESS_STATUSES = frozenset({204, 304})
# Time in which the peer's machine must acknowledge sent bytes, in milliseconds: two
# retransmissions. A connection may go silent for good while new ones work.
UNACKNOWLEDGED_MS = 700
MAX_IDLE_SECONDS = 30.0
# An idle connection is closed well before the peer's own timeout.
IDLE_TIMEOUT_FRACTION = 0.6
WRITE_BUFFER_HIGH_BYTES = 256 * 1024
# Bytes that are no part of a response's body, one after the other: of a head, a trailer
# or a stray response. A server in trouble may send them without end.
MAX_USELESS_BYTES = 256 * 1024
MAX_HEADERS = 256

log = get_logger("hop")


class HopConnection(SharedReadProtocol):
    """A connection to a backend server or to another node's relay listener.

    :param pool: its :class:`~daisylink.connection.HopConnectionPool`.
    :param address: ``ip:port`` of the peer.
    """

    def __init__(self, pool: Any, address: str):
        self.pool = pool
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.sender: Any = None
        self.parser: httptools.HttpResponseParser | None = None
        self.is_head_request = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.content_length: int | None = None
        self.status = 0
        self.is_ended = False
        self.is_stray = False
        # Whether the head was cut off and goes on with that of another response.
        self.is_merged = False
        self.is_broken = False
        # Whether a stray response had an invalid status code.
        self.is_distrusted = False
        # Whether a late copy of the last response could be taken for the next one.
        self.may_repeat = False
        self.useless_bytes = 0
        self.has_body_bytes = False
        self.is_read_paused = False
        self.idle_limit_seconds = MAX_IDLE_SECONDS
        self.is_reusable = False
        self.ends_at_close = False
        self.is_write_paused = False
        self.idle_since = 0.0
        self.last_read_at = 0.0
        self.sent_at = 0.0
        self.pending: list[bytes] = []

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            tcp_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the sender of the request in progress, if any.

        A response without a length is complete only if the peer closed the connection
        without an error.
        """
        self.pool.remove(self)
        if isinstance(error, TimeoutError):
            log.bind(address=self.address).warning("connection went silent")
            self.pool.close_unproven(self.sent_at)
        sender, self.sender = self.sender, None
        if sender is None:
            return
        is_clean_close = error is None and not self.is_broken
        if self.ends_at_close and self.status and is_clean_close:
            sender.exchange.flush_response()
            sender.handle_response_end(self, False)
        else:
            sender.handle_hop_lost()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes and pass them to the request's sender."""
        sender = self.sender
        if sender is None:
            self.transport.abort()
            return
        gateway = self.pool.gateway
        self.last_read_at = gateway.now()
        self.has_body_bytes = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.is_reusable = False
            if self.sender is sender:
                self._handle_parse_error(error)
        if self.is_broken or self.sender is not sender:
            return
        if self._has_too_many_useless_bytes(len(data)):
            log.bind(address=self.address).warning("bytes without end are no response")
            self._break_off()
            return
        sender.exchange.flush_response()
        gateway.held_limit.record_received(len(data))
        if self.sender is not sender:
            return
        if self.is_ended:
            self.sender = None
            reusable = self.is_reusable and not self.transport.is_closing()
            sender.handle_response_end(self, reusable)
            if not reusable:
                self.transport.close()

    def _handle_parse_error(self, error: httptools.HttpParserError) -> None:
        """Break the response off, unless it is whole or broken off already."""
        if self.is_broken:
            return
        if isinstance(error, httptools.HttpParserCallbackError):
            log.bind(address=self.address).opt(exception=error.__context__).error(
                "a response could not be handled"
            )
        else:
            self._log_unreadable(str(error))
        if not self.is_ended:
            self._break_off()

    def _log_unreadable(self, reason: str) -> None:
        fields = {
            "address": self.address,
            "request": self.sender.exchange.head.request_id.decode("latin-1"),
            "status": self.parser.get_status_code(),
            "is_whole": self.is_ended,
        }
        log.bind(**fields).info("a response cannot be read: {}", reason)

    def _break_off(self) -> None:
        """Abort, because what the peer sends is no response."""
        self.is_broken = True
        self.transport.abort()

    def _has_too_many_useless_bytes(self, size: int) -> bool:
        """Count the bytes received since the last ones that were passed on.

        They are of heads, of stray responses, or of a trailer or the extension of a
        chunk, which the parser gathers or drops.
        """
        if self.is_ended:
            return False
        if self.has_body_bytes:
            self.useless_bytes = 0
            return False
        self.useless_bytes += size
        has_too_many_headers = len(self.headers) > MAX_HEADERS
        return has_too_many_headers or self.useless_bytes > MAX_USELESS_BYTES

    def pause_writing(self) -> None:
        """Pause reading the request while the write buffer to the next hop is full."""
        self.is_write_paused = True
        if self.sender is not None:
            self.sender.exchange.caller.update_flow_control()

    def resume_writing(self) -> None:
        """Resume reading the request."""
        self.is_write_paused = False
        if self.sender is not None:
            self.sender.exchange.caller.update_flow_control()

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a response.

        A response after the request's own is stray: it belongs to no request.
        """
        self.is_stray = self.is_ended
        self.is_merged = False
        self.headers = []
        self.content_length = None

    def on_status(self, reason: bytes) -> None:
        """Look for the status line of another response in the reason phrase."""
        if STATUS_LINE.search(reason):
            self.is_merged = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if STATUS_LINE_START in value and STATUS_LINE.search(value):
            self.is_merged = True
        if self.status or self.is_stray or len(self.headers) > MAX_HEADERS:
            return
        name = name.lower()
        if name == b"content-length":
            self.content_length = int(value)
        elif name == b"keep-alive":
            self._limit_idle(value)
        self.headers.append((name, value))

    def _limit_idle(self, value: bytes) -> None:
        """Apply the timeout of a Keep-Alive header, given in whole seconds."""
        for part in value.split(b","):
            name, _, text = part.strip().partition(b"=")
            if name.lower() == b"timeout" and text.isdigit():
                # More digits than a float holds count as infinity, not as an error.
                self.idle_limit_seconds = min(
                    MAX_IDLE_SECONDS, float(text) * IDLE_TIMEOUT_FRACTION
                )

    def on_headers_complete(self) -> None:
        """Pass the head to the sender, unless it is interim or stray."""
        if self.is_stray or self.is_broken:
            return
        if self.is_merged:
            self._log_unreadable("it holds the head of another one")
            self._break_off()
            return
        status = self.parser.get_status_code()
        if self._is_interim(status):
            return
        if not owns_response(self.sender, self.headers):
            self.is_stray = True
            self.is_distrusted |= status not in FINAL_STATUSES
            return
        if status not in FINAL_STATUSES:
            self._log_unreadable("its status code is invalid")
            self._break_off()
            return
        self.status = status
        bodiless = self.is_head_request or status in BODILESS_STATUSES
        chunked = any(name == b"transfer-encoding" for name, _ in self.headers)
        self.ends_at_close = (
            not bodiless and self.content_length is None and not chunked
        )
        can_be_kept = not self.ends_at_close and not self.is_distrusted
        self.is_reusable = can_be_kept and self.parser.should_keep_alive()
        head = ResponseHead(status, self.headers, self.content_length, bodiless)
        self.may_repeat = may_be_repeated(self.sender, status)
        self.sender.handle_response_head(head)
        if self.is_head_request:
            self.is_reusable = False
            self.is_ended = True

    def _is_interim(self, status: int) -> bool:
        """Return whether a response is followed by the final one."""
        if status not in INTERIM_STATUSES:
            return False
        return all(name not in FRAMING_HEADERS for name, _ in self.headers)

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body to the sender."""
        is_own = self.status and not self.is_stray and not self.is_ended
        if self.sender is not None and is_own:
            self.has_body_bytes = True
            self.sender.handle_response_body(data)

    def on_message_complete(self) -> None:
        """End a final, interim or stray response."""
        if self.is_broken:
            return
        if self.is_stray:
            self.is_stray = False
            self.is_reusable = self.is_reusable and not self.is_ended
        elif self.status:
            self.is_ended = True
        elif self.parser.get_status_code() == HTTP_CONTINUE:
            self.sender.exchange.send_continue()

    # Called by senders

    def start_exchange(self, sender: Any, is_head_request: bool) -> None:
        """Start an exchange on the connection.

        :param sender: the :class:`~daisylink.request.RequestSender` of the request.
        :param is_head_request: whether the method is HEAD, whose response has no body.
        """
        self.sender = sender
        self.sent_at = self.pool.gateway.now()
        self.is_head_request = is_head_request
        if self.parser is None:
            self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.is_ended = False
        self.ends_at_close = False
        self.useless_bytes = 0
        self.has_body_bytes = False

    def buffer(self, data: bytes) -> None:
        """Buffer bytes until :meth:`flush`."""
        self.pending.append(data)

    def flush(self) -> None:
        """Write the buffered bytes."""
        if self.pending:
            data = b"".join(self.pending)
            self.pending.clear()
            self.transport.write(data)

    def pause_reading(self) -> None:
        """Read no more of the response; its peer is slowed when its socket is full."""
        if not self.is_read_paused:
            self.is_read_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read the response. Until now its peer could not be heard."""
        if self.is_read_paused:
            self.is_read_paused = False
            self.last_read_at = self.pool.gateway.now()
            self.transport.resume_reading()

    def count_unsent_bytes(self) -> int:
        """Return the bytes of requests that the peer has not accepted."""
        buffered = sum(map(len, self.pending))
        return buffered + self.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Abort, because the exchange ended before the response did."""
        self.sender = None
        self.transport.abort()
