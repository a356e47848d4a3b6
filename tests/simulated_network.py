"""A gateway on connections and a clock that the test holds: no sockets, no waiting.

The clock of :class:`SimulatedLoop` moves only when a test moves it. What a caller or a
backend server reads and writes is decided by the test through :class:`PeerEnd`.
"""

import asyncio
import random
import selectors
import unittest

import msgspec

from daisylink import platform
from daisylink.clock import LoopClock
from daisylink.connection import CallerConnection
from daisylink.logs import configure_logging
from daisylink.registry import MemberSettings, MemberTable
from daisylink.serving import (
    Announcement,
    Gateway,
    LoadBalancer,
    LocalServer,
    LocalServerSettings,
    MemberRecord,
    Metrics,
    Quarantine,
    ServerState,
)
from daisylink.sidecar._strikes import SIDECAR_QUARANTINE_SETTINGS
from tests.platform_standin import SEAL
from tests.test_platform import make_configuration

HOST = "a.example"
POOL = "one"
SERVER_ADDRESS = "10.0.0.1:9000"
OTHER_RELAY_ADDRESS = "10.0.0.2:8000"
SLOTS = 8
MAX_CONNECTIONS = 120
READ_BYTES = 64 * 1024
# Bytes that the sockets' buffers between two processes take.
SOCKET_BYTES = 64 * 1024
STEP_SECONDS = 0.005
# Enough for what was sent to arrive and to be handled.
SETTLE_SECONDS = 0.02
MAX_TURNS = 50


class SimulatedSelector(selectors.DefaultSelector):
    """Selector whose waits take no time."""

    def select(self, timeout=None):
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop with a clock of its own and connections to stand-ins only.

    :ivar listeners: called with the :class:`PeerEnd` of each connection that is opened,
        by address; connections to other addresses are refused.
    """

    def __init__(self):
        super().__init__(SimulatedSelector())
        self.seconds = 0.0
        self.listeners = {}

    def time(self):
        return self.seconds

    async def create_connection(self, factory, host, port):
        listener = self.listeners.get(f"{host}:{port}")
        if listener is None:
            raise ConnectionRefusedError
        peer = PeerEnd(self, factory())
        listener(peer)
        return peer.transport, peer.transport.protocol

    def settle(self):
        """Run all callbacks that are due, and those that they schedule."""
        for _ in range(MAX_TURNS):
            self.call_soon(self.stop)
            self.run_forever()
            if not self._ready:
                break

    def advance(self, seconds):
        """Move the clock in small steps, running what is due at each."""
        end = self.seconds + seconds
        while self.seconds < end:
            self.seconds = min(end, self.seconds + STEP_SECONDS)
            self.settle()


class SimulatedTransport(asyncio.Transport):
    """The process's end of a connection, with a write buffer and paused reading."""

    def __init__(self, loop, protocol):
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.peer = None
        self.buffer = bytearray()
        self.high_bytes, self.low_bytes = 64 * 1024, 16 * 1024
        self.is_reading_paused = False
        self.is_writing_paused = False
        self.is_ended = False
        self.closing = False
        self.is_eof_written = False

    def get_extra_info(self, name, default=None):
        return ("10.9.9.9", 1) if name == "peername" else default

    def set_write_buffer_limits(self, high=None, low=None):
        self.high_bytes = high
        self.low_bytes = high // 4 if low is None else low

    def get_write_buffer_size(self):
        return len(self.buffer)

    def is_closing(self):
        return self.closing

    def write(self, data):
        if self.closing:
            return
        self.buffer += data
        self.hand_on()
        if len(self.buffer) > self.high_bytes and not self.is_writing_paused:
            self.is_writing_paused = True
            self.protocol.pause_writing()

    def hand_on(self):
        """Give the peer as many bytes as its socket takes."""
        count = self.peer.free_bytes
        taken = bytes(self.buffer[:count])
        del self.buffer[:count]
        if taken:
            self.peer.received += taken
            self.peer.unread_bytes += len(taken)
        if self.is_writing_paused and len(self.buffer) <= self.low_bytes:
            self.is_writing_paused = False
            self.protocol.resume_writing()
        if self.closing and not self.buffer:
            self.end(None)
        elif self.is_eof_written and not self.buffer and self.peer.closes_at_end:
            self.loop.call_soon(self.receive_eof)

    def receive_eof(self):
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def pause_reading(self):
        self.is_reading_paused = True

    def resume_reading(self):
        if self.is_reading_paused:
            self.is_reading_paused = False
            self.loop.call_soon(self.peer.deliver)

    def close(self):
        self.closing = True
        if not self.buffer:
            self.end(None)

    def can_write_eof(self):
        return True

    def write_eof(self):
        self.is_eof_written = True
        self.hand_on()

    def abort(self):
        self.closing = True
        self.buffer.clear()
        self.end(None)

    def end(self, error):
        if not self.is_ended:
            self.is_ended = self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, error)


class PeerEnd:
    """The caller's or backend server's end of a connection, held by the test.

    :ivar received: all bytes that the process has handed on.
    :ivar is_reading: whether the peer reads what arrives.
    :ivar closes_at_end: whether it closes when the process has ended its side.
    """

    def __init__(self, loop, protocol):
        self.transport = SimulatedTransport(loop, protocol)
        self.transport.peer = self
        self.received = bytearray()
        self.unread_bytes = 0
        self.is_reading = True
        self.closes_at_end = True
        self.undelivered = bytearray()
        self.delivered_bytes = 0
        protocol.connection_made(self.transport)

    @property
    def free_bytes(self):
        return SOCKET_BYTES * 1024 if self.is_reading else self._free_in_socket

    @property
    def _free_in_socket(self):
        return max(0, SOCKET_BYTES - self.unread_bytes)

    @property
    def is_closed(self):
        """Return whether the process has closed or aborted the connection."""
        return self.transport.is_ended

    def send(self, data):
        """Send bytes; what the process does not read stays in the sockets."""
        self.undelivered += data
        self.deliver()

    def deliver(self):
        transport = self.transport
        while self.undelivered and not transport.is_reading_paused:
            if transport.closing:
                return
            data = bytes(self.undelivered[:READ_BYTES])
            del self.undelivered[:READ_BYTES]
            self.delivered_bytes += len(data)
            deliver_read(transport.protocol, data)

    def stop_reading(self):
        self.is_reading = False
        self.unread_bytes = 0

    def resume_reading(self):
        self.is_reading = True
        self.unread_bytes = 0
        self.transport.hand_on()

    def close(self, error=None):
        """Close the connection from the peer's side."""
        self.transport.end(error)


def deliver_read(protocol, data):
    """Give a protocol the bytes of one read."""
    if isinstance(protocol, asyncio.BufferedProtocol):
        while data:
            buffer = protocol.get_buffer(-1)
            piece, data = data[: len(buffer)], data[len(buffer) :]
            buffer[: len(piece)] = piece
            protocol.buffer_updated(len(piece))
        return
    protocol.data_received(data)


class SimulatedNode:
    """A gateway with a backend server that the test plays.

    :ivar server_ends: the server's ends of its connections, the oldest first.
    :ivar relay_ends: another node's ends of its connections, after :meth:`add_node`.
    """

    def __init__(self, slots=SLOTS, runs_once_prefix="", **route):
        self.loop = SimulatedLoop()
        clock = LoopClock(self.loop)
        own_record = MemberRecord("n1", "a", 0, relay="10.0.0.1:8000")
        members = MemberTable(MemberSettings(), own_record, lambda _node: 0.0)
        local_server = LocalServer(LocalServerSettings())
        self.gateway = Gateway(
            clock,
            self.loop,
            LoadBalancer(members, random.Random(1)),
            local_server,
            Metrics("n1", "a", reads_latency=False),
            Quarantine(SIDECAR_QUARANTINE_SETTINGS),
            platform.HEADER_NAMES,
            claims_keys=False,
            origin=POOL,
        )
        self.server_ends = []
        self.relay_ends = []
        self.server_reads = True
        self.loop.listeners[SERVER_ADDRESS] = self._accept
        announcement = Announcement(SERVER_ADDRESS, POOL, slots, instance="i-1", born=1)
        local_server.handle_announcement(announcement, self.loop.time())
        members.set_own_record(local_server.update_record(own_record, 0.0))
        self.decoder = platform.ConfigurationDecoder()
        self.slots = slots
        self.runs_once_prefix = runs_once_prefix
        self.install(**route)
        self.loop.settle()

    def install(self, number=12, **route):
        """Put a version into force, as when the operator changes the configuration."""
        configuration = msgspec.json.decode(make_configuration(**route))
        configuration["version"] = f"r{number}"
        for resource in configuration["resources"]:
            if resource["resource_type"] == "services":
                resource["spec"]["max_conns"] = max(self.slots, MAX_CONNECTIONS)
        if self.runs_once_prefix:
            first = configuration["resources"][0]
            kind = {"prefix": self.runs_once_prefix, "kind": "non_idempotent"}
            other = {**first, "metadata": {"name": "once"}}
            other["spec"] = {**first["spec"], **kind}
            configuration["resources"].append(other)
        version = self.decoder.decode(msgspec.json.encode(configuration))
        self.gateway.version = version
        self.gateway.update_admission()

    def _accept(self, end):
        if not self.server_reads:
            end.stop_reading()
        self.server_ends.append(end)

    def add_node(self):
        """Add another node, whose relay listener the test plays."""
        self.loop.listeners[OTHER_RELAY_ADDRESS] = self.relay_ends.append
        record = MemberRecord(
            "n2",
            "a",
            0,
            relay=OTHER_RELAY_ADDRESS,
            pool=POOL,
            server=ServerState.SERVING,
            slots=self.slots,
        )
        self.gateway.balancer.directory.put(record)

    def find_ends(self, name) -> list[PeerEnd]:
        """Return the server's and the other node's ends that carry a request."""
        mark = f"/x/{name} ".encode()
        ends = [*self.server_ends, *self.relay_ends]
        return [end for end in ends if mark in end.received]

    def connect(self) -> PeerEnd:
        """Open a connection as a caller."""
        return PeerEnd(self.loop, self.gateway.create_caller_connection())

    @property
    def callers(self) -> list[CallerConnection]:
        return list(self.gateway.callers)

    def find_server_end(self, name) -> PeerEnd:
        """Return the server's end of the connection that carries a request."""
        mark = f"x-daisylink-request-id: {name}\r\n".encode()
        (end,) = [end for end in self.server_ends if mark in bytes(end.received)]
        return end

    def advance(self, seconds):
        """Move the clock; the node's timers that are due run."""
        self.loop.advance(seconds)

    def close(self):
        self.gateway.close()
        self.loop.settle()
        self.loop.close()


class SimulatedTestCase(unittest.TestCase):
    """Tests on a node of their own."""

    slots = SLOTS

    def setUp(self):
        configure_logging("CRITICAL")
        self.use_node(SimulatedNode(self.slots))

    def use_node(self, node):
        """Run the test on a node; it is closed in the end."""
        self.node = node
        self.addCleanup(node.close)

    def settle(self):
        self.node.advance(SETTLE_SECONDS)


class CallerTestCase(SimulatedTestCase):
    """Tests of what a caller with one connection gets."""

    def use_node(self, node):
        super().use_node(node)
        self.caller = node.connect()

    def send(self, data):
        self.caller.send(data)
        self.settle()

    def answer(self, *names):
        """Answer requests as the backend server, with their names."""
        for name in names:
            self.node.find_server_end(name).send(make_response(name, name.encode()))
        self.settle()


def make_request(name, method="GET", body=b"", chunked=False, extra=""):
    """Return the bytes of a caller's request."""
    head = (
        f"{method} /x/{name} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Daisylink-Request-Id: {name}\r\nX-Daisylink-Deadline-Ms: 5000\r\n{extra}"
    )
    if chunked:
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + body
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"{head}{length}\r\n".encode() + body


def make_response(name, body=b"", chunked=False):
    """Return the bytes of the backend server's response to a request."""
    head = (
        f"HTTP/1.1 200 OK\r\nX-Daisylink-Request-Id: {name}\r\n"
        f"X-Daisylink-Response-Seal: {SEAL}\r\n"
    )
    if chunked:
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + body
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
