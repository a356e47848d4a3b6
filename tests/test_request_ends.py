"""Each request that a caller sends has an end in time, and a true one."""

from unittest.mock import patch

from tests.connection_model import read_messages
from tests.simulated_network import (
    CallerTestCase,
    SimulatedNode,
    make_request,
    make_response,
)

TIMEOUT_SECONDS = 0.8
SLACK_SECONDS = 0.5


class PipelinedUploadTests(CallerTestCase):
    """Uploads that are sent before the request in front of them is answered."""

    def test_a_body_that_comes_in_later_reads_is_passed_on(self):
        """It was kept until its turn came, and ended with 504."""
        upload = make_request("upload", "PUT", b"x" * 50_000)
        self.send(make_request("first") + upload[:-40_000])
        self.send(upload[-40_000:-1])
        self.send(upload[-1:])
        end = self.node.find_server_end("upload")
        self.assertEqual(end.received.count(b"x" * 50_000), 1)

    def test_a_server_that_reads_no_body_slows_its_caller(self):
        """Only the body of the request in front slowed its caller."""
        self.node.server_reads = False
        upload = make_request("upload", "PUT", b"x" * 1_000_000)
        self.send(make_request("first") + upload)
        self.assertLess(self.caller.delivered_bytes, 600_000)


class ManyPipelinedTests(CallerTestCase):
    def test_the_timeout_of_a_request_sent_ahead_begins_when_it_is_sent(self):
        """Those over 8 were read when the ones in front were answered."""
        names = [f"r{number}." for number in range(24)]
        for name in names:
            self.caller.send(make_request(name))
        self.node.advance(TIMEOUT_SECONDS + SLACK_SECONDS)
        self.assertEqual(self.caller.received.count(b"HTTP/1.1 "), len(names))

    def test_a_request_that_waits_for_its_turn_loses_that_time(self):
        """One that may run once starts when the one in front is answered."""
        self.use_node(SimulatedNode(kind="non_idempotent"))
        node = self.node
        self.send(make_request("first") + make_request("second"))
        node.advance(TIMEOUT_SECONDS - 0.2)
        self.answer("first")
        node.find_server_end("second")
        node.advance(0.2 + SLACK_SECONDS)
        self.assertEqual(self.caller.received.count(b"HTTP/1.1 "), 2)
        self.assertIn(b"HTTP/1.1 504", self.caller.received)


class StalledUploadTests(CallerTestCase):
    def test_no_promise_once_a_server_may_have_begun(self):
        """408 says that the request has not run and never will."""
        self.use_node(SimulatedNode(timeout="30s", slo="20s"))
        node = self.node
        data = make_request("upload", "PUT", b"x" * 1000)
        self.send(data.replace(b"5000", b"29000", 1)[:-1])
        node.find_server_end("upload")
        node.advance(13)
        self.assertTrue(self.caller.is_closed)
        self.assertTrue(self.caller.received.startswith(b"HTTP/1.1 502"))


class RequestBehindAFailedOneTests(CallerTestCase):
    def test_requests_behind_one_that_is_ended_for_its_memory_are_answered(self):
        """The connection was closed on them, though they had been passed on."""
        self.send(make_request("first", "PUT", b"x" * 50_000) + make_request("second"))
        self.node.callers[0].end_largest_request()
        self.answer("second")
        first, _, second = bytes(self.caller.received).partition(b"HTTP/1.1 200 ")
        self.assertTrue(first.startswith(b"HTTP/1.1 502"))
        self.assertTrue(second.endswith(b"\r\n\r\nsecond"))
        self.assertFalse(self.caller.is_closed)


class UnexpectedErrorTests(CallerTestCase):
    def test_an_error_in_a_request_ends_none_in_front_of_it(self):
        """Their connection was reset, though servers worked at them."""
        self.send(make_request("first"))
        with patch("daisylink.connection._caller.parse_head", side_effect=KeyError):
            self.send(make_request("second"))
        self.answer("first")
        answers = read_messages(bytes(self.caller.received))
        self.assertEqual([answer.first[1] for answer in answers], ["200", "503"])
        self.assertEqual(answers[0].body, b"first")
        self.assertTrue(self.caller.is_closed)


class LateResponseTests(CallerTestCase):
    """A response that has begun ends soon after the deadline, whole or cut."""

    def begin_response(self, name):
        end = self.node.find_server_end(name)
        end.send(make_response(name, b"5\r\nhello\r\n", chunked=True))
        self.node.advance(0.02)
        return end

    def test_a_response_that_does_not_end(self):
        """It had no deadline once it had begun, and held its slot."""
        self.send(make_request("only"))
        end = self.begin_response("only")
        self.node.advance(TIMEOUT_SECONDS + SLACK_SECONDS)
        self.assertTrue(self.caller.is_closed)
        self.assertTrue(end.is_closed)
        self.assertNotIn(b"0\r\n\r\n", self.caller.received)
        self.assertEqual(self.node.gateway.admission.in_use, 0)

    def test_a_response_that_does_not_end_behind_another(self):
        self.send(make_request("first") + make_request("second"))
        self.begin_response("second")
        self.node.advance(TIMEOUT_SECONDS - 0.1)
        self.answer("first")
        self.node.advance(SLACK_SECONDS)
        self.assertTrue(self.caller.is_closed)

    def test_a_response_that_ends_a_little_late_is_whole(self):
        self.send(make_request("only"))
        end = self.begin_response("only")
        self.node.advance(TIMEOUT_SECONDS)
        end.send(b"0\r\n\r\n")
        self.node.advance(0.02)
        self.assertTrue(self.caller.received.endswith(b"hello\r\n0\r\n\r\n"))
        self.assertFalse(self.caller.is_closed)
