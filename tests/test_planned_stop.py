"""A planned stop ends only after callers have got what they are owed."""

import asyncio
import socket

from tests.sidecar_case import SidecarTestCase
from tests.simulated_network import CallerTestCase, make_request, make_response

# Small buffers, so that a part of a response stays in the process.
SOCKET_BYTES = 4096
BODY = b"r" * 120_000
# After this time of a stop, requests in flight were all that it waited for.
LISTEN_SECONDS = 2.8
GRACE_SECONDS = 6.0
LINGER_SECONDS = 2.0
SWEEP_SECONDS = 1.0


class UnreadResponseTests(CallerTestCase):
    """A response that its server has sent whole and its caller has not read."""

    def setUp(self):
        super().setUp()
        self.caller.stop_reading()
        self.send(make_request("r1"))
        server = self.node.find_server_end("r1")
        server.send(make_response("r1", BODY))
        self.settle()
        self.assertEqual(self.node.gateway.open_requests, 0)

    def wait_until_drained(self, seconds):
        gateway = self.node.gateway
        end = gateway.now() + seconds
        return self.node.loop.create_task(gateway.wait_until_drained(end))

    def test_a_stop_waits_until_the_caller_reads_on(self):
        wait = self.wait_until_drained(GRACE_SECONDS)
        self.node.advance(GRACE_SECONDS / 2)
        self.assertFalse(wait.done())
        self.caller.resume_reading()
        self.node.advance(0.1)
        self.assertTrue(wait.done())
        self.assertTrue(self.caller.received.endswith(BODY))

    def test_a_stop_does_not_wait_for_a_caller_that_has_left(self):
        wait = self.wait_until_drained(GRACE_SECONDS)
        self.caller.close()
        self.node.advance(0.1)
        self.assertTrue(wait.done())

    def test_a_caller_that_does_not_close_is_closed(self):
        self.caller.resume_reading()
        self.caller.closes_at_end = False
        self.node.gateway.close_idle()
        self.node.advance(0.5)
        self.assertFalse(self.caller.is_closed)
        self.node.advance(LINGER_SECONDS + SWEEP_SECONDS)
        self.assertTrue(self.caller.is_closed)

    def test_a_stop_ends_at_its_last_moment(self):
        wait = self.wait_until_drained(GRACE_SECONDS)
        self.node.advance(GRACE_SECONDS + 0.1)
        self.assertTrue(wait.done())


async def connect_slow_reader(machine):
    """Return a socket of a caller whose kernel receives little at a time."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, tuple(machine.addresses[0]))
    return caller


async def read_to_end(caller):
    """Return what a caller receives until its connection ends."""
    loop = asyncio.get_running_loop()
    response = b""
    while piece := await loop.sock_recv(caller, SOCKET_BYTES):
        response += piece
    return response


class StoppingSidecarTests(SidecarTestCase):
    def test_a_planned_stop_does_not_cut_responses_of_slow_readers(self):
        """review/2: the process ended while its write buffers held responses."""

        async def scenario(_store, machine):
            machine.server.make_raw_response = lambda name: make_response(name, BODY)
            loop = asyncio.get_running_loop()
            caller = await connect_slow_reader(machine)
            gateway = machine.sidecar.gateway
            await self.wait_for(lambda: gateway.callers)
            (connection,) = gateway.callers
            accepted = connection.transport.get_extra_info("socket")
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
            await loop.sock_sendall(caller, make_request("r1"))
            await self.wait_for(lambda: machine.server.runs)
            await self.wait_for(lambda: not gateway.open_requests)
            stop = asyncio.ensure_future(machine.sidecar.stop())
            await asyncio.sleep(LISTEN_SECONDS)
            self.assertFalse(stop.done())
            response = await read_to_end(caller)
            self.assertTrue(response.endswith(BODY))
            await stop
            caller.close()

        self.run_machines(scenario)


class CrossingRequestTests(SidecarTestCase):
    def test_a_request_that_crosses_the_close_cuts_no_response(self):
        """The kernel resets a connection that is closed with unread bytes."""

        async def scenario(_store, machine):
            machine.server.service_seconds = 0.3
            machine.server.make_raw_response = lambda name: make_response(name, BODY)
            loop = asyncio.get_running_loop()
            caller = await connect_slow_reader(machine)
            await loop.sock_sendall(caller, make_request("r1"))
            await self.wait_for(lambda: machine.server.runs)
            stop = asyncio.ensure_future(machine.sidecar.stop())
            callers = machine.sidecar.gateway.callers
            await self.wait_for(lambda: all(c.is_closing for c in callers))
            await loop.sock_sendall(caller, make_request("r2"))
            response = await read_to_end(caller)
            caller.close()
            await stop
            self.assertTrue(response.endswith(BODY))

        self.run_machines(scenario)
