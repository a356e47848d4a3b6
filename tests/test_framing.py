"""Tests of hostile, malformed and slow callers on real sockets."""

import asyncio
import unittest.mock

from daisylink.connection import _caller_timeouts
from daisylink.errors import ResultCode
from daisylink.serving._gateway import Gateway
from daisylink.standin import CallerClient, Placement
from daisylink.version import CallerLimits
from tests.loopback import LOOPBACK_HOST
from tests.support import HOST, FleetTestCase, make_content

MALFORMED = int(ResultCode.REQUEST_MALFORMED)
HEAD_TOO_LARGE = int(ResultCode.REQUEST_HEAD_TOO_LARGE)
BODY_TOO_LARGE = int(ResultCode.REQUEST_BODY_TOO_LARGE)


def head(*lines):
    first = ("POST /a/write HTTP/1.1", f"host: {HOST}")
    return "\r\n".join((*first, *lines, "", "")).encode()


AMBIGUOUS = {
    "both lengths": head("content-length: 3", "transfer-encoding: chunked") + b"abc",
    "two lengths": head("content-length: 3", "content-length: 4") + b"abc",
    "signed length": head("content-length: +3") + b"abc",
    "unknown coding": head("transfer-encoding: xchunked") + b"0\r\n\r\n",
    "two codings": head("transfer-encoding: chunked, gzip") + b"0\r\n\r\n",
    "bare line end": b"GET /a/read HTTP/1.1\nhost: a.example\n\n",
    "line end in header": head("x: a\ny: b"),
    "folded header": head("x: a", " b"),
    "space before colon": head("content-length : 0"),
    "two hosts": head("host: b.example", "content-length: 0"),
    "no host": b"GET /a/read HTTP/1.1\r\n\r\n",
    "absolute target": b"GET http://a.example/ HTTP/1.1\r\nhost: a.example\r\n\r\n",
    "upgrade": head("connection: upgrade", "upgrade: x", "content-length: 0"),
    "not http": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    "bad deadline": head("daisylink-deadline-ms: soon", "content-length: 0"),
}
BAD_CHUNKS = {
    "bad chunk size": b"zz\r\nabc\r\n0\r\n\r\n",
    "chunk too long": b"3\r\nabcd\r\n0\r\n\r\n",
    "bare end of chunk": b"3\nabc\n0\n\n",
    "huge chunk size": b"fffffffffffffffff\r\nabc",
}


class FramingTests(FleetTestCase):
    def run_one(self, scenario, **content):
        """Run a scenario against one node with one backend server."""

        async def run(fleet, operations):
            await fleet.start([Placement("z", "a")])
            await operations.accept(make_content("a", **content), "")
            await fleet.wait_for_servers()
            address = str(fleet.nodes[0].callers_address)
            await scenario(fleet, address)

        self.run_fleet(run)

    def test_ambiguous_requests_are_refused_and_reach_no_server(self):
        async def scenario(fleet, address):
            for name, data in AMBIGUOUS.items():
                with self.subTest(name):
                    caller = CallerClient(address)
                    response = await caller.send(data)
                    self.assertEqual((response.status, response.code), (400, MALFORMED))
                    self.assertEqual(response.outcome, "not-run")
                    self.assertEqual(await caller.reader.read(), b"")
            for name, body in BAD_CHUNKS.items():
                with self.subTest(name):
                    caller = CallerClient(address)
                    data = head("transfer-encoding: chunked") + body
                    self.assertEqual((await caller.send(data)).code, MALFORMED)
            self.assertEqual(sum(fleet.backends[0].finished.values()), 0)

        self.run_one(scenario)

    def test_limits_of_head_and_body(self):
        async def scenario(fleet, address):
            cases = [
                (head("x: " + "y" * 20_000), 431, HEAD_TOO_LARGE),
                (head(*(f"x{n}: y" for n in range(150))), 431, HEAD_TOO_LARGE),
                (head("content-length: 5000"), 413, BODY_TOO_LARGE),
                (
                    head("transfer-encoding: chunked") + b"%x\r\n" % 4000 + b"x" * 4000,
                    413,
                    BODY_TOO_LARGE,
                ),
            ]
            for data, status, code in cases:
                response = await CallerClient(address).send(data)
                self.assertEqual((response.status, response.code), (status, code))
            self.assertEqual(sum(fleet.backends[0].finished.values()), 0)

        self.run_one(scenario, body_limit_kb=2)

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario(fleet, address):
            requests = b""
            for number, sleep in enumerate((80, 1, 40, 0)):
                requests += (
                    f"GET /a/read HTTP/1.1\r\nhost: {HOST}\r\n"
                    f"x-request-id: {number}\r\nx-standin-sleep-ms: {sleep}\r\n\r\n"
                ).encode()
            reader, writer = await asyncio.open_connection(*address.split(":"))
            writer.write(requests)
            data = b""
            while data.count(b"HTTP/1.1 200") < 4 or not data.endswith(b"}"):
                data += await reader.read(1000)
            ids = [line[-1:] for line in data.split(b"\r\n") if b"x-request" in line]
            self.assertEqual(ids, [b"0", b"1", b"2", b"3"])
            writer.close()

        self.run_one(scenario)

    def test_expect_continue_and_chunked_upload(self):
        async def scenario(fleet, address):
            reader, writer = await asyncio.open_connection(*address.split(":"))
            writer.write(head("expect: 100-continue", "transfer-encoding: chunked"))
            interim = await reader.readuntil(b"\r\n\r\n")
            self.assertTrue(interim.startswith(b"HTTP/1.1 100 "))
            for _ in range(10):
                writer.write(b"400\r\n" + b"x" * 1024 + b"\r\n")
                await asyncio.sleep(0.001)
            writer.write(b"0\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b'"bytes":10240', await reader.read(1000))
            writer.close()

        self.run_one(scenario)

    def test_a_refused_upload_leaves_the_connection_usable(self):
        async def scenario(fleet, address):
            caller = CallerClient(address)
            response = await caller.call("POST", "/gone", HOST, b"x" * 100_000)
            self.assertEqual(response.status, 404)
            response = await caller.call("GET", "/a/read", HOST)
            self.assertEqual(response.status, 200)

        self.run_one(scenario)

    def test_slow_callers_are_cut(self):
        async def scenario(fleet, address):
            slow_head = CallerClient(address)
            slow_body = CallerClient(address)
            responses = await asyncio.gather(
                slow_head.send(b"GET /a/read HT"),
                slow_body.send(head("content-length: 10") + b"x"),
            )
            # The server has got the second one's head, so 408 would promise too much.
            self.assertEqual([response.status for response in responses], [408, 502])
            outcomes = [response.outcome for response in responses]
            self.assertEqual(outcomes, ["not-run", "unknown"])

        brief = CallerLimits(header_seconds=0.2)
        with (
            unittest.mock.patch.object(Gateway, "caller_limits", brief),
            unittest.mock.patch.object(_caller_timeouts, "BODY_SECONDS", 0.2),
        ):
            self.run_one(scenario)

    def test_hop_by_hop_and_internal_headers_do_not_pass(self):
        seen = []

        async def echo(reader, writer):
            seen.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(
                b"HTTP/1.1 200 OK\r\nconnection: x-mine\r\nx-mine: 1\r\n"
                b"daisylink-code: 5009\r\ndaisylink-outcome: not-run\r\n"
                b"content-length: 2\r\n\r\nok"
            )

        async def scenario(fleet, address):
            server = await asyncio.start_server(echo, LOOPBACK_HOST, 0)
            port = server.sockets[0].getsockname()[1]
            # The local server keeps announcing its own address, so patch the gateway.
            address_patch = unittest.mock.patch.object(
                Gateway, "server_address", f"{LOOPBACK_HOST}:{port}"
            )
            address_patch.start()
            self.addCleanup(address_patch.stop)
            headers = {
                "connection": "x-hop",
                "x-hop": "1",
                "te": "trailers",
                "daisylink-hop": "a 99999 i bulk",
                "x-kept": "1",
            }
            response = await CallerClient(address).call(
                "GET", "/a/read", HOST, b"", headers
            )
            self.assertEqual((response.status, response.body), (200, b"ok"))
            self.assertNotIn("x-mine", response.headers)
            self.assertEqual(response.code, 0)
            request = seen[0].lower()
            for name in (b"x-hop", b"te:", b"daisylink-hop", b"connection"):
                self.assertNotIn(name, request)
            self.assertIn(b"x-kept: 1", request)
            server.close()

        self.run_one(scenario)
