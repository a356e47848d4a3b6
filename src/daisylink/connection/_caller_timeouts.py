"""Timeouts of the connections from callers, enforced from time to time."""

from typing import Any

from daisylink.errors import ResultCode

BODY_SECONDS = 10.0
STALL_SECONDS = 10.0
RELAY_IDLE_SECONDS = 120.0


class WriteProgress:
    """Tells whether a caller still accepts what is written to it.

    :param now: seconds of the monotonic clock.
    """

    def __init__(self, now: float):
        self.written_bytes = 0
        self.accepted_bytes = 0
        self.accepted_at = now

    def record_written(self, size: int) -> None:
        """Record bytes that were given to the connection."""
        self.written_bytes += size

    def is_stalled(self, waiting_bytes: int, now: float) -> bool:
        """Return whether the caller has accepted nothing for long.

        :param waiting_bytes: bytes that its socket has not accepted yet.
        :param now: seconds of the monotonic clock.
        """
        accepted_bytes = self.written_bytes - waiting_bytes
        if not waiting_bytes or accepted_bytes > self.accepted_bytes:
            self.accepted_bytes = accepted_bytes
            self.accepted_at = now
        return now - self.accepted_at > STALL_SECONDS


def enforce_timeouts(caller: Any, now: float) -> None:
    """Enforce the timeouts on a slow caller, a stalled response or an idle connection.

    :param caller: the :class:`~daisylink.connection.CallerConnection`.
    :param now: seconds of the monotonic clock.
    """
    waiting_bytes = caller.transport.get_write_buffer_size()
    if caller.write_progress.is_stalled(waiting_bytes, now):
        caller.abort()
    elif caller.lingering is not None:
        caller.lingering.enforce_timeout(now)
    elif caller.current is None:
        _end_idle(caller, now)
    else:
        _end_stalled(caller, caller.current, now)


def _end_idle(caller: Any, now: float) -> None:
    """End a connection without a request if it is idle or its next head is late."""
    limits = caller.gateway.caller_limits
    max_idle_seconds = RELAY_IDLE_SECONDS if caller.is_relay else limits.idle_seconds
    seconds_since_read = now - caller.last_read_at
    seconds_in_head = now - caller.head_started_at
    if caller.is_reading_head and seconds_in_head > limits.header_seconds:
        caller.refuse_rest(ResultCode.REQUEST_CALLER_TOO_SLOW)
    elif seconds_since_read > max_idle_seconds or (
        caller.parsing is not None and seconds_since_read > BODY_SECONDS
    ):
        caller.close()


def _end_stalled(caller: Any, exchange: Any, now: float) -> None:
    """End the current request if its response or its body does not go on."""
    if exchange.is_responding:
        if exchange.is_response_stalled(now, STALL_SECONDS):
            exchange.fail(ResultCode.REQUEST_ANSWER_LOST)
        return
    is_waiting_for_body = (
        not exchange.is_body_complete
        and exchange.can_read_body
        and not caller.is_paused
    )
    if is_waiting_for_body and now - caller.last_read_at > BODY_SECONDS:
        exchange.fail(ResultCode.REQUEST_CALLER_TOO_SLOW)
