"""Typed datagrams between nodes, for messages whose loss their sender can bear.

Each node has one UDP socket, on the address and port number of its listener for peers.
A datagram may be lost, late or repeated, and may come from another release: one that
cannot be decoded, or that nobody handles, is dropped and counted.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from daisylink.logs import get_logger
from daisylink.settings import Address

# Fits one packet on any link, so that it is not lost with a fragment.
MAX_DATAGRAM_BYTES = 1200

Handler = Callable[[Any, str], None]

log = get_logger("datagrams")


class _Envelope(msgspec.Struct, array_like=True):
    """A message with the name of its type."""

    kind: str
    body: msgspec.Raw


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives messages, which are :class:`msgspec.Struct` types.

    :param counts: datagrams by what became of them.
    """

    def __init__(self):
        self.transport: asyncio.DatagramTransport | None = None
        self.decoders: dict[str, tuple[msgspec.msgpack.Decoder, Handler]] = {}
        self.counts: Counter[str] = Counter()

    async def listen(self, address: Address) -> None:
        """Open the socket; without it, no message is sent or received."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=tuple(address))
        except OSError as error:
            log.warning("cannot receive datagrams on {}: {}", address, error.strerror)

    def register(self, message_type: type, handler: Handler) -> None:
        """Handle messages of a type.

        :param handler: called with each message and the ``ip:port`` of its sender.
        """
        decoder = msgspec.msgpack.Decoder(message_type)
        self.decoders[message_type.__name__] = (decoder, handler)

    def send(self, node: str, message: msgspec.Struct) -> None:
        """Send a message to a node, which may not arrive.

        :param node: the node's name, which is its address ``ip:port``.
        """
        if self.transport is None or self.transport.is_closing():
            return
        body = msgspec.Raw(msgspec.msgpack.encode(message))
        data = msgspec.msgpack.encode(_Envelope(type(message).__name__, body))
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["too_long"] += 1
            log.warning("{} of {} bytes not sent", type(message).__name__, len(data))
            return
        host, _, port = node.rpartition(":")
        self.counts["sent"] += 1
        self.transport.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    # Events of the transport

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Use the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a message and pass it to its handler."""
        try:
            envelope = msgspec.msgpack.decode(data, type=_Envelope)
            decoder, handler = self.decoders[envelope.kind]
            message = decoder.decode(envelope.body)
        except (msgspec.MsgspecError, KeyError):
            self.counts["dropped"] += 1
            return
        self.counts["received"] += 1
        try:
            handler(message, f"{address[0]}:{address[1]}")
        except Exception:
            log.exception("a datagram could not be handled")

    def error_received(self, error: OSError) -> None:
        """Count an error of an earlier datagram, such as no listener at its target."""
        self.counts["errors"] += 1
