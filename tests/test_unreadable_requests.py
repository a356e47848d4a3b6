"""Each request that was read whole is answered, whatever the bytes behind it are."""

import unittest
from types import SimpleNamespace
from unittest.mock import Mock

from daisylink.connection import count_held_bytes
from daisylink.http_server import (
    MAX_BODY_BYTES,
    HttpServer,
    WebResponse,
    _ServerConnection,
)
from daisylink.request import parse_head
from daisylink.request._next_hop_head import make_next_hop_head
from daisylink.request._plan import plan_request
from tests.simulated_network import (
    HOST,
    CallerTestCase,
    PeerEnd,
    SimulatedTestCase,
    make_request,
)

MAX_READ_BYTES = 256 * 1024
BODY = b"x" * 20_000
MALFORMED = (
    b"BAD \x00 REQUEST\r\n\r\n",
    b"GET /x/ HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"GET /x/ HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    b"GET http://a.example/x/ HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /x/ HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000 + b"\r\n\r\n",
    b"GET /x/ HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 200 + b"\r\n",
)  # fmt: skip


class UnreadableRequestTests(CallerTestCase):
    def check_answers(self, *names):
        """Check that the caller got these answers in this order, and no others."""
        statuses, *answers = bytes(self.caller.received).split(b"HTTP/1.1 200 OK\r\n")
        self.assertEqual(statuses, b"")
        self.assertEqual(len(answers), len(names))
        for name, text in zip(names, answers, strict=True):
            self.assertIn(f"-request-id: {name}\r\n".encode(), text)
            self.assertIn(f"\r\n\r\n{name}".encode(), text)

    def test_a_read_that_ends_within_a_pipelined_head(self):
        """Guards against review/1: the body in front counted as bytes of the head."""
        for cut in (1, 60, 100):
            with self.subTest(cut=cut):
                self.caller = self.node.connect()
                names = f"upload{cut}.", f"lookup{cut}."
                lookup = make_request(names[1])
                self.send(make_request(names[0], "PUT", BODY) + lookup[:cut])
                self.send(lookup[cut:])
                self.answer(*names)
                self.check_answers(*names)

    def test_a_request_in_front_of_unreadable_bytes_in_one_read(self):
        """It was never started, had no timer, and its connection stayed open."""
        for number, rest in enumerate(MALFORMED):
            with self.subTest(rest=rest[:60]):
                self.caller = self.node.connect()
                name = f"first{number}."
                self.send(make_request(name) + rest)
                self.answer(name)
                data = bytes(self.caller.received)
                answer, _, refusal = data.partition(f"\r\n\r\n{name}".encode())
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
                self.assertTrue(refusal.startswith(b"HTTP/1.1 4"), refusal)
                self.assertTrue(self.caller.is_closed)

    def test_requests_behind_another_in_front_of_unreadable_bytes(self):
        """They had been passed on; their answers were dropped without a word."""
        for number, rest in enumerate(MALFORMED):
            with self.subTest(rest=rest[:60]):
                self.caller = self.node.connect()
                names = [f"{name}{number}." for name in ("first", "second", "third")]
                self.send(b"".join(map(make_request, names)))
                self.send(rest)
                self.assertFalse(self.caller.is_closed)
                self.answer(*reversed(names))
                data = bytes(self.caller.received)
                places = [data.index(f"\r\n\r\n{n}".encode()) for n in names]
                self.assertEqual(places, sorted(places))
                self.assertIn(b"HTTP/1.1 4", data[places[-1] :])
                self.assertTrue(self.caller.is_closed)

    def test_no_request_behind_unreadable_bytes_is_served(self):
        """Where the next request begins is unknown: what follows may be smuggled."""
        self.send(make_request("first") + MALFORMED[0] + make_request("hidden"))
        self.send(make_request("later"))
        self.answer("first")
        self.node.advance(0.1)
        seen = b"".join(bytes(end.received) for end in self.node.server_ends)
        self.assertNotIn(b"hidden", seen)
        self.assertNotIn(b"later", seen)

    def test_bytes_behind_a_request_that_closes_its_connection(self):
        close = make_request("first", extra="Connection: close\r\n")
        self.send(close + make_request("second"))
        self.answer("first")
        self.check_answers("first")
        self.assertTrue(self.caller.is_closed)

    def test_a_body_that_turns_unreadable_behind_another_request(self):
        body = b"5\r\nhello\r\nzz\r\n"
        self.send(make_request("first"))
        self.send(make_request("second", "PUT", body, chunked=True))
        self.answer("first")
        data = bytes(self.caller.received)
        self.assertIn(b"\r\n\r\nfirstHTTP/1.1 400", data)
        self.assertTrue(self.caller.is_closed)

    def test_all_is_released_when_the_caller_leaves_meanwhile(self):
        """Requests in front of unreadable bytes would hold their slots unseen."""
        self.send(make_request("first") + make_request("second"))
        self.send(MALFORMED[0])
        self.caller.close()
        self.node.advance(0.1)
        self.assertEqual(self.node.gateway.admission.in_use, 0)
        self.assertTrue(all(end.is_closed for end in self.node.server_ends))

    def test_a_head_without_end_is_refused(self):
        for start in (b"", make_request("first", "PUT", BODY)):
            with self.subTest(start=len(start)):
                self.caller = self.node.connect()
                self.send(start + b"GET /x/ HTTP/1.1\r\nX: ")
                for _ in range(200):
                    self.send(b"y" * 16_000)
                held = count_held_bytes(self.node.callers)
                self.assertLess(held.total, MAX_READ_BYTES)
                if start:
                    self.answer("first")
                self.assertIn(b"HTTP/1.1 431", self.caller.received)
                self.assertTrue(self.caller.is_closed)

    def test_a_trailer_without_end_is_refused(self):
        """The parser gathers a trailer until it is complete; 16 MB were read."""
        body = b"1\r\nx\r\n0\r\nX-Trouble: "
        self.send(make_request("only", "PUT", body, chunked=True))
        self.send(b"x" * 16 * 1024 * 1024)
        self.assertLess(self.caller.delivered_bytes, MAX_READ_BYTES)
        self.assertIn(b"HTTP/1.1 4", self.caller.received)
        self.assertTrue(self.caller.is_closed)


class ControlCallTests(unittest.TestCase):
    def test_a_read_that_ends_within_the_head_of_the_next_call(self):
        """The body in front counted as bytes of the head there too."""
        server = HttpServer(lambda request: WebResponse(body=request.path.encode()))
        connection = _ServerConnection(server)
        transport = Mock()
        transport.is_closing.return_value = False
        connection.connection_made(transport)
        body = b"x" * MAX_BODY_BYTES
        head = f"POST /a HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        next_call = b"GET /b HTTP/1.1\r\n\r\n"
        connection.data_received(head + body + next_call[:-1])
        connection.data_received(next_call[-1:])
        written = b"".join(call.args[0] for call in transport.write.call_args_list)
        self.assertEqual(written.count(b"HTTP/1.1 "), 2)
        self.assertEqual(written.count(b"HTTP/1.1 200 OK"), 2)
        transport.close.assert_not_called()
        self.assertTrue(written.endswith(b"/b"))


class RelayedHeadTests(SimulatedTestCase):
    def test_a_head_at_the_limit_passes_between_nodes(self):
        """The headers that nodes add to a head count against the caller's limit."""
        names = self.node.gateway.header_names
        for size in range(16_240, 16_320, 8):
            headers = [(b"host", HOST.encode()), (b"x-large", b"x" * size)]
            lines = b"".join(b"%b: %b\r\n" % header for header in headers)
            caller = self.node.connect()
            caller.send(b"GET /x/1 HTTP/1.1\r\n" + lines + b"\r\n")
            head = parse_head(b"GET", b"/x/1", headers, False, names)
            plan = plan_request(head, self.node.gateway.version, 0.0)
            sender = SimpleNamespace(
                exchange=SimpleNamespace(head=head, plan=plan, has_sent_continue=False),
                gateway=self.node.gateway,
                local_run=None,
                target_record=self.node.gateway.own_record,
                may_wait=True,
                attempts=SimpleNamespace(has_lost_attempt=False),
            )
            relay = PeerEnd(self.node.loop, self.node.gateway.create_relay_connection())
            relay.send(make_next_hop_head(sender))
            self.settle()
            with self.subTest(size=size):
                if b"HTTP/1.1 431" not in caller.received:
                    self.assertNotIn(b"HTTP/1.1 431", relay.received)

    def test_headers_that_nodes_add_do_not_count(self):
        """A request with as many headers as allowed was refused by the next node."""
        extra = "X-Many: 1\r\n" * 97
        caller = self.node.connect()
        caller.send(make_request("r1", extra=extra))
        relay = PeerEnd(self.node.loop, self.node.gateway.create_relay_connection())
        hop = "daisylink-hop: one 800 i urgent - - 0 0 -\r\n"
        load = "daisylink-wait: no\r\n"
        relay.send(make_request("r2", extra=extra + hop + load))
        self.settle()
        self.assertNotIn(b"HTTP/1.1 431", caller.received)
        self.assertNotIn(b"HTTP/1.1 431", relay.received)


class DividedHeadTests(SimulatedTestCase):
    def test_a_head_at_the_limit_may_come_in_two_reads(self):
        """Its separators and line ends counted only if it was divided."""
        lines = [f"x-{number}: {'y' * 160}" for number in range(95)]
        extra = "\r\n".join(lines) + "\r\n"
        names = sum(len(line) - 2 for line in lines)
        extra += f"x-last: {'z' * (16_384 - names - 120)}\r\n"
        data = make_request("r1", extra=extra)
        self.assertGreater(len(data), 16_384)
        for reads in ([data], [data[:-1], data[-1:]]):
            caller = self.node.connect()
            for read in reads:
                caller.send(read)
                self.settle()
            with self.subTest(reads=len(reads)):
                self.assertNotIn(b"HTTP/1.1 431", caller.received)
