"""Hands responses on to a caller in the order of its requests."""

from typing import Any

from daisylink.request import Exchange

# Bytes of a response that are held before no more of it is read.
MAX_HELD_BYTES = 64 * 1024


class ResponseOrder:
    """The responses of one connection that are held until they can be handed on.

    A response waits until all requests in front of it are answered. While servers work
    at requests behind it, it waits until it is whole too: if it broke off after a part
    of it, the connection would have to close on them.

    :param caller: the :class:`~daisylink.connection.CallerConnection`.
    """

    def __init__(self, caller: Any):
        self.caller = caller

    def write(self, exchange: Exchange, data: bytes) -> None:
        """Hand bytes of a response on, or hold them.

        The rest of the response is not read while the caller does not read, or while
        too much of it waits for its turn.
        """
        if exchange is not self.caller.current:
            exchange.pending_output += data
            if len(exchange.pending_output) > MAX_HELD_BYTES:
                exchange.pause_response()
            return
        if self._must_hold(exchange, len(data)):
            exchange.pending_output += data
            return
        self.hand_on(exchange, data)
        if self.caller.is_write_paused:
            exchange.pause_response()

    def take_turn(self, exchange: Exchange) -> None:
        """Begin with the response whose turn has come, and read on."""
        if self.caller.is_closing:
            return
        if exchange.done or not self._must_hold(exchange):
            self.hand_on(exchange)
        if not self.caller.is_write_paused:
            exchange.resume_response()

    def hand_on(self, exchange: Exchange, data: bytes = b"") -> None:
        """Write what is held of a response, and what follows it."""
        if exchange.pending_output:
            exchange.pending_output += data
            data, exchange.pending_output = exchange.pending_output, bytearray()
        if data and not self.caller.is_closing:
            self.caller.write_bytes(data)
            exchange.response.is_handed_on = exchange.response.started

    def _must_hold(self, exchange: Exchange, size: int = 0) -> bool:
        """Return whether the response whose turn it is waits until it is whole.

        :param size: bytes that would be added to those that are held.
        """
        caller = self.caller
        if not caller.pipelined or exchange.response.is_handed_on:
            return False
        is_small = len(exchange.pending_output) + size <= MAX_HELD_BYTES
        return is_small and caller.has_started_after(exchange)
