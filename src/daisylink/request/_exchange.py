"""One request and its response, from the first byte to the last.

An :class:`Exchange` is the caller's side: it plans the request, buffers its body and
writes the response. Its :class:`~daisylink.request.RequestSender` is the side of
the servers.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from daisylink.errors import ResultCode
from daisylink.logs import get_logger
from daisylink.quota import Decision
from daisylink.request._body import RequestBody
from daisylink.request._decision import RunResult
from daisylink.request._head import LOAD_HEADER, PACE_HEADER, RequestHead
from daisylink.request._outcome import (
    NOT_RUN_STATUSES,
    Outcome,
    Refusal,
    encode_refusal,
    make_refusal,
)
from daisylink.request._plan import RequestPlan
from daisylink.request._recording import REPLAY_HEADER, build_replay
from daisylink.request._response import ForwardedResponse
from daisylink.request._sender import RequestSender
from daisylink.request._start import apply_quota, start_request

# Time for the rest of a response that has begun before its deadline.
LATE_RESPONSE_SECONDS = 0.25
# A refusal takes some 300 bytes.
MIN_REPLACED_BYTES = 4 * 1024

log = get_logger("request")


class Exchange:
    """One request and its response.

    :param gateway: the process's :class:`~daisylink.serving.Gateway`.
    :param caller: the :class:`~daisylink.connection.CallerConnection` that the request
        arrived on.
    :param head: the parsed request head.
    :param keep_alive: whether the caller's connection may stay open.
    :param is_http_1_0: whether the caller speaks HTTP/1.0.
    """

    def __init__(
        self,
        gateway: Any,
        caller: Any,
        head: RequestHead,
        keep_alive: bool,
        is_http_1_0: bool,
    ):
        self.gateway = gateway
        self.caller = caller
        self.head = head
        self.head_bytes = 0
        self.keep_alive = keep_alive
        self.is_http_1_0 = is_http_1_0
        self.is_relay = head.hop_metadata is not None
        self.started_at = gateway.now()
        self.plan: RequestPlan | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.sender = RequestSender(self)
        self.started = False
        self.refusal: Refusal | None = None
        # What was written before the request's turn on its connection.
        self.pending_output = bytearray()
        self.body = RequestBody(head.length is None)
        self.has_sent_continue = False
        self.response = ForwardedResponse()
        self.done = False
        # Number of the question to a quota coordinator, 0 without one.
        self.quota_number = 0

    # Events from the caller

    def start(self, is_first: bool = True) -> None:
        """Plan the request and make the first attempt.

        :param is_first: whether all earlier requests of the connection are answered.
            A later pipelined request starts early only if that risks nothing.
        """
        if self.started or self.done:
            return
        self._run_step(start_request, is_first)

    def handle_quota(self, decision: Decision) -> None:
        """Handle the decision on the tenant's quota that was waited for."""
        if not self.done:
            self._run_step(apply_quota, decision)

    def _run_step(self, step: Callable[..., None], argument: Any) -> None:
        """Run a step of the start; an unexpected error ends the request."""
        try:
            step(self, argument)
        except Exception:
            log.bind(request=self.head.request_id).exception("a request failed")
            self.fail(ResultCode.REQUEST_NO_SERVER)

    def start_timer(self, seconds: float) -> None:
        """Start the timer of the request's deadline.

        :param seconds: time that is left.
        """
        self.timer = self.gateway.loop.call_later(seconds, self._handle_deadline)

    def _handle_deadline(self) -> None:
        if self.quota_number:
            self.send_refusal(make_refusal(ResultCode.REQUEST_DEADLINE_NOT_RUN))
        elif self.is_responding:
            self.timer = self.gateway.loop.call_later(
                LATE_RESPONSE_SECONDS, self.sender.handle_late_response
            )
        else:
            self.sender.handle_deadline()

    def handle_body(self, data: bytes) -> None:
        """Handle a piece of the request body."""
        if self.done:
            return
        hop = self.sender.hop
        piece = self.body.take(data, keep=hop is None)
        if self.plan is not None and self.body.size > self.plan.body_limit:
            self.fail(ResultCode.REQUEST_BODY_TOO_LARGE)
        elif hop is not None:
            hop.buffer(piece)
            self.body.trim()
        elif self.body.is_recognizable:
            self.sender.handle_body_recognizable()

    def handle_body_end(self) -> None:
        """Handle the end of the request body."""
        piece = self.body.end()
        if self.done:
            return
        hop = self.sender.hop
        if hop is not None and piece:
            hop.buffer(piece)
        self.sender.handle_body_recognizable()

    def flush_body(self) -> None:
        """Write the body pieces that :meth:`handle_body` buffered to the next hop."""
        if self.sender.hop is not None:
            self.sender.hop.flush()

    @property
    def origin(self) -> str:
        """Return the service of the node where the request entered."""
        return self.plan.origin if self.is_relay else self.gateway.origin

    @property
    def can_read_body(self) -> bool:
        """Return whether more of the request body can be read now."""
        hop = self.sender.hop
        return not self.body.is_full if hop is None else not hop.is_write_paused

    @property
    def is_responding(self) -> bool:
        """Return whether the response has started to pass to the caller."""
        return self.response.started

    @property
    def is_body_complete(self) -> bool:
        """Return whether the whole request body was received."""
        return self.body.done

    @property
    def is_response_handed_on(self) -> bool:
        """Return whether a part of the response was written to the caller."""
        return self.response.is_handed_on

    def count_held_bytes(self) -> int:
        """Return all bytes that are held for the request."""
        buffered = len(self.pending_output) + len(self.body.kept)
        return self.head_bytes + buffered + self.count_unsent_bytes()

    def count_unsent_bytes(self) -> int:
        """Return the bytes of the request that the next hop has not accepted."""
        hop = self.sender.hop
        return hop.count_unsent_bytes() if hop is not None else 0

    def is_response_stalled(self, now: float, timeout_seconds: float) -> bool:
        """Return whether the next hop sent nothing for longer than a timeout.

        :param now: seconds of the monotonic clock.
        :param timeout_seconds: the timeout in seconds.
        """
        hop = self.sender.hop
        if hop is None or hop.is_read_paused:
            return False
        return now - hop.last_read_at > timeout_seconds

    def pause_response(self) -> None:
        """Read no more of the response until :meth:`resume_response`."""
        if self.sender.hop is not None:
            self.sender.hop.pause_reading()

    def resume_response(self) -> None:
        """Continue to read the response."""
        if self.sender.hop is not None:
            self.sender.hop.resume_reading()

    def free_memory(self) -> bool:
        """End the request because the process holds too many bytes.

        A whole response that waits for its turn is replaced by a refusal. Its request
        is then counted twice, as answered and as refused.

        :returns: whether that frees anything worth it.
        """
        if not self.done:
            self.fail(ResultCode.REQUEST_OVERLOADED)
            return True
        if len(self.pending_output) < MIN_REPLACED_BYTES:
            return False
        self.pending_output.clear()
        self._write_refusal(make_refusal(ResultCode.REQUEST_ANSWER_LOST))
        return True

    def fail(self, code: ResultCode) -> None:
        """End the request, with a refusal if its caller has got nothing of a response.

        Otherwise the caller's connection closes, and the requests behind this one end
        too. If a server may have begun the request, the refusal does not promise that
        it was not run.

        :param code: why the request ends.
        """
        if self.done:
            return
        if self.is_response_handed_on:
            self._cut()
            return
        self.drop_response()
        refusal = make_refusal(code)
        if self.sender.head_sent and refusal.status in NOT_RUN_STATUSES:
            refusal = make_refusal(ResultCode.REQUEST_ANSWER_LOST)
        elif self.sender.head_sent:
            refusal = refusal._replace(outcome=Outcome.UNKNOWN)
        # After a body that was read whole, the requests behind it are answered too.
        self.keep_alive = self.keep_alive and self.body.done
        self.send_refusal(refusal)

    def cancel(self) -> None:
        """End the request because the caller disconnected."""
        if self.done:
            return
        self.done = True
        self._release()
        self.gateway.record_cancelled(self)

    def drop_response(self) -> None:
        """Drop a response of which the caller has got nothing, for another one."""
        if not self.is_responding:
            return
        self.response = ForwardedResponse()
        if self.pending_output:
            self.pending_output.clear()
            self.has_sent_continue = False

    def _cut(self) -> None:
        """Close the caller's connection because the rest of the response is lost."""
        self._log_cut()
        self.done = True
        self._release()
        self.gateway.record_cut(self)
        self.caller.abort()

    def _log_cut(self) -> None:
        """Log that the connection closes, and how many requests end with it."""
        _, *behind = self.caller.open_requests
        fields = {
            "request": self.head.request_id.decode("latin-1"),
            "status": self.response.status,
            "behind": len(behind),
            "behind_begun": sum(other.started for other in behind),
        }
        log.bind(**fields).info("a connection is closed on a response that is lost")

    # The response

    def replay(self, packed: bytes) -> None:
        """Send the response that was recorded for the request's idempotency key.

        :param packed: the encoded response.
        """
        self.response.replayed = True
        is_head = self.head.method == b"HEAD"
        replay = build_replay(packed, is_head, not self.keeps_connection)
        self.caller.write(self, replay)
        self.gateway.record_answered(self)
        self.finish()

    def send_continue(self) -> None:
        """Send ``100 Continue`` if the caller waits for it."""
        if (
            self.head.expects_continue
            and not self.has_sent_continue
            and not self.is_responding
        ):
            self.has_sent_continue = True
            self.caller.write(self, b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def keeps_connection(self) -> bool:
        """Return whether the caller's connection stays open after the response."""
        if (
            self.head.expects_continue
            and not self.has_sent_continue
            and not self.body.done
        ):
            return False
        if self.is_relay or not self.gateway.stopping:
            return self.keep_alive
        return self.keep_alive and self.caller.has_started_after(self)

    def flush_response(self) -> None:
        """Write the buffered part of the response to the caller."""
        if self.response.pending and not self.done:
            self.caller.write(self, self.response.drain())

    def format_load_headers(self) -> tuple[bytes, ...]:
        """Return the header lines that report this node's load to the entry node."""
        kind = self.plan.route if self.plan is not None else ""
        load = LOAD_HEADER + b": " + self.gateway.format_load(kind)
        pace = self.gateway.pace.format_header()
        return (load,) if pace is None else (load, PACE_HEADER + b": " + pace)

    def format_response_headers(self) -> list[bytes]:
        """Return the header lines that this node adds to the response."""
        lines = list(self.format_load_headers()) if self.is_relay else []
        if self.response.replayed:
            lines.append(REPLAY_HEADER + b": 1")
        if not self.keeps_connection:
            lines.append(b"connection: close")
        return lines

    # End of the request

    def send_refusal(self, refusal: Refusal) -> None:
        """End the request and send the refusal to the caller."""
        self._write_refusal(refusal)
        self.finish()

    def _write_refusal(self, refusal: Refusal) -> None:
        close = not self.keeps_connection
        self.refusal = refusal
        extra = self.format_load_headers() if self.is_relay else ()
        status_only = self.gateway.header_names.callers_read_status_only
        data = encode_refusal(refusal, close, status_only, extra)
        if self.head.method == b"HEAD":
            data = data[: data.index(b"\r\n\r\n") + 4]
        self.caller.write(self, data)
        self.gateway.record_refused(self, refusal)

    def finish(self, result: RunResult = RunResult.UNKNOWN) -> None:
        """End the request, whose response was passed on.

        :param result: how its run ended, for the replicas of its key.
        """
        if self.done:
            return
        self.done = True
        self._release(result)
        self.caller.finish(self, self.keeps_connection)

    def _release(self, result: RunResult = RunResult.UNKNOWN) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.quota_number:
            self.gateway.quota.cancel(self.quota_number)
        self.sender.end_attempt(result)
        self.body.kept.clear()
