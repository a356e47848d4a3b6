"""Tests of the order of responses to pipelined requests."""

import unittest
from types import SimpleNamespace
from unittest.mock import Mock

from daisylink.connection._caller import CallerConnection
from daisylink.errors import ResultCode
from daisylink.version import CallerLimits
from tests.simulated_network import CallerTestCase, make_request, make_response


def make_exchange(pending_output=()):
    return SimpleNamespace(
        pending_output=bytearray(b"".join(pending_output)),
        pause_response=lambda: None,
        resume_response=lambda: None,
        body=SimpleNamespace(kept=b""),
        done=False,
        started=False,
        response=SimpleNamespace(started=True, is_handed_on=False),
        sender=SimpleNamespace(hop=None),
        start=lambda: None,
    )


class BufferedOutputTests(unittest.TestCase):
    """Buffered output of a later response is written before the rest of it.

    Two responses arrived within 4 ms on one connection, and the rest of the second was
    written before the part of it that was buffered while the first was current.
    """

    def setUp(self):
        gateway = SimpleNamespace(
            now=lambda: 0.0, callers=set(), loop=Mock(), held_limit=Mock()
        )
        self.caller = CallerConnection(gateway, is_relay=False)
        self.written = []
        transport = Mock()
        transport.write = self.written.append
        transport.get_write_buffer_size.return_value = 0
        self.caller.connection_made(transport)
        self.first = make_exchange()
        self.second = make_exchange([b"head ", b"half "])
        self.caller.current = self.first
        self.caller.pipelined.append(self.second)

    def test_buffered_output_is_written_before_the_rest(self):
        self.caller.write(self.first, b"first ")
        self.caller.finish(self.first, keep_alive=True)
        self.assertEqual(b"".join(self.written), b"first head half ")
        self.caller.write(self.second, b"rest")
        self.assertEqual(b"".join(self.written), b"first head half rest")

    def test_a_response_that_ends_before_the_scheduled_start_is_complete(self):
        third = make_exchange()
        self.caller.pipelined.append(third)
        self.caller.finish(self.first, keep_alive=True)
        self.caller.write(self.second, b"rest")
        self.second.done = True
        self.caller.finish(self.second, keep_alive=True)
        self.assertEqual(b"".join(self.written), b"head half rest")
        self.assertIs(self.caller.current, third)

    def test_requests_in_front_of_an_unreadable_one_are_answered(self):
        """Each of them, in order; then the refusal, and nothing is left behind."""
        self.second.cancel = Mock()
        self.caller.refuse_rest(ResultCode.REQUEST_MALFORMED)
        self.caller.write(self.first, b"first ")
        self.caller.finish(self.first, keep_alive=True)
        self.caller.transport.close.assert_not_called()
        self.second.done = True
        self.caller.finish(self.second, keep_alive=True)
        self.second.cancel.assert_not_called()
        first, refusal = b"".join(self.written).split(b"HTTP/1.1 400")
        self.assertEqual(first, b"first head half ")
        self.assertIn(b"connection: close", refusal)
        self.caller.transport.write_eof.assert_called_once_with()
        self.assertEqual(self.caller.open_requests, [])

    def test_a_head_that_trickles_in_is_cut(self):
        """Each byte restarts the time since the last read, but not that of the head."""
        self.caller.current = None
        self.caller.pipelined.clear()
        self.caller.gateway.caller_limits = CallerLimits(header_seconds=3.0)
        for now in range(5):
            self.caller.gateway.now = lambda now=now: float(now)
            self.caller.data_received(b"GET / HTTP/1.1\r\n"[3 * now : 3 * now + 3])
            self.caller.enforce_timeouts(float(now))
        self.assertIn(b"408", b"".join(self.written)[:20])


class OldCallerTests(CallerTestCase):
    def test_an_answer_without_a_length_loses_no_request_behind_it(self):
        """It ends with the connection, which closed on requests at their servers."""
        names = "first", "second"
        requests = [
            make_request(name, extra="Connection: keep-alive\r\n") for name in names
        ]
        self.send(b"".join(requests).replace(b"HTTP/1.1", b"HTTP/1.0"))
        self.node.find_server_end("first").send(
            make_response("first", b"3\r\none\r\n0\r\n\r\n", chunked=True)
        )
        self.settle()
        self.assertTrue(self.caller.received.endswith(b"\r\n\r\none"))
        self.assertTrue(self.caller.is_closed)
        self.assertEqual(len(self.node.server_ends), 1)
