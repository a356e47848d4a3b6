"""One malformed message or unexpected error takes no process down.

Operators of similar systems have told of that. Each task and each repeated callback of
a sidecar raises once here; the sidecar serves on and what was due is done later.
"""

import asyncio
import unittest
import unittest.mock

import httptools

from daisylink import platform
from daisylink.connection import HopConnection
from daisylink.http_client import HttpClient
from daisylink.http_server import HttpServer, WebResponse
from daisylink.registry import NO_REVISION
from daisylink.sidecar._change_feed import parse_revision
from tests.loopback import LOOPBACK_HOST
from tests.sidecar_case import SidecarTestCase
from tests.test_platform import make_configuration

MEMBER_KEY = "daisylink/members/10.9.9.9:1"


def raise_once(owner, name):
    """Let a method raise an error at its next call; return a list of its calls."""
    original = getattr(owner, name)
    calls = []

    def wrapper(*arguments, **options):
        calls.append(arguments)
        if len(calls) == 1:
            raise RuntimeError("raised by the test")
        return original(*arguments, **options)

    setattr(owner, name, wrapper)
    return calls


class MalformedMessageTests(SidecarTestCase):
    def test_numbers_that_python_cannot_read(self):
        for text in ("²-1", "1-²", "9" * 5000 + "-1", "1-" + "9" * 5000, "-", "x"):
            self.assertEqual(parse_revision(text), NO_REVISION)

    def test_a_peer_that_asks_with_odd_numbers_is_answered(self):
        async def scenario(_store, machine):
            client = HttpClient(str(machine.addresses[4]))
            for value in ("%C2%B2", "9" * 5000):
                for path in ("/v1/changes?after=", "/v1/news?version="):
                    response = await client.call("GET", path + value, 2.0)
                    self.assertEqual(response.status, 200)
            client.close()

        self.run_machines(scenario)

    def test_a_keep_alive_of_thousands_of_digits_loses_no_response(self):
        hop = HopConnection(unittest.mock.Mock(), "10.0.0.1:1")
        parser = httptools.HttpResponseParser(hop)
        hop.parser, hop.sender = parser, unittest.mock.Mock()
        timeout = b"keep-alive: timeout=" + b"9" * 5000
        parser.feed_data(
            b"HTTP/1.1 200 OK\r\n" + timeout + b"\r\ncontent-length: 0\r\n\r\n"
        )
        self.assertTrue(hop.is_ended)

    def test_a_key_that_cannot_be_handled_leaves_the_others_in_force(self):
        async def scenario(store, machine):
            raise_once(machine.sidecar.fleet_state, "_handle_member")
            store.put(MEMBER_KEY, b"anything")
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            fleet_state = machine.sidecar.fleet_state
            await self.wait_for(lambda: fleet_state.version_number == 14, 2)

        self.run_machines(scenario)


class FailingCallbackTests(SidecarTestCase):
    def check(self, find_owner, name, is_mended):
        """Let one call fail and check that what it does is done later.

        :param find_owner: returns the object whose method raises, for a sidecar.
        :param is_mended: returns whether the sidecar has done the work.
        """

        async def scenario(store, machine):
            calls = raise_once(find_owner(machine.sidecar), name)
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            await self.wait_for(lambda: len(calls) > 1 and is_mended(machine.sidecar))
            response = await machine.request("after", deadline=2000)
            self.assertEqual(response.status, 200)

        self.run_machines(scenario)

    def test_a_watch(self):
        self.check(
            lambda sidecar: sidecar.watch_cache,
            "handle_changes",
            lambda sidecar: sidecar.fleet_state.version_number == 14,
        )

    def test_a_renewal_of_the_lease(self):
        self.check(
            lambda sidecar: sidecar.platform_adapter.store,
            "renew_lease",
            lambda sidecar: sidecar.registration.is_written,
        )

    def test_a_step(self):
        self.check(
            lambda sidecar: sidecar.role,
            "choose_prefix",
            lambda sidecar: sidecar.fleet_state.version_number == 14,
        )

    def test_the_time_of_the_next_step(self):
        self.check(
            lambda sidecar: sidecar.watch_cache,
            "overdue_at",
            lambda sidecar: sidecar.fleet_state.version_number == 14,
        )

    def test_the_check_of_idle_connections(self):
        self.check(
            lambda sidecar: sidecar.gateway.hop_pool,
            "close_expired",
            lambda sidecar: True,
        )

    def test_a_request(self):
        async def scenario(_store, machine):
            raise_once(machine.sidecar.gateway, "place")
            # 502 would say that it may have run, but it has reached no server.
            self.assertEqual((await machine.request("fails")).status, 503)
            self.assertEqual(machine.server.runs, [])
            self.assertEqual((await machine.request("served")).status, 200)

        self.run_machines(scenario)


class FailingHandlerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.error = RuntimeError("raised by the test")
        self.server = HttpServer(self.handle)
        await self.server.start(LOOPBACK_HOST, 0)
        self.client = HttpClient(f"{LOOPBACK_HOST}:{self.server.port}")

    async def asyncTearDown(self):
        self.client.close()
        self.server.close()

    def handle(self, request):
        if request.path == "/raises":
            raise self.error
        if request.path == "/fails-later":
            future = asyncio.get_running_loop().create_future()
            future.set_exception(self.error)
            return future
        return WebResponse()

    async def test_an_error_of_a_handler_is_no_error_of_the_caller(self):
        for path in ("/raises", "/fails-later"):
            response = await self.client.call("GET", path, 1.0)
            self.assertEqual(response.status, 500)
        response = await self.client.call("GET", "/fine", 1.0)
        self.assertEqual(response.status, 200)

    async def test_a_head_without_end_is_cut_off(self):
        reader, writer = await asyncio.open_connection(LOOPBACK_HOST, self.server.port)
        writer.write(b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 20_000)
        self.assertIn(b" 431 ", await reader.readline())
        writer.close()
