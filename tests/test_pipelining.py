"""Tests of the order of responses to pipelined requests."""

import unittest
from types import SimpleNamespace
from unittest.mock import Mock

from daisylink.connection._caller import CallerConnection


def make_exchange(pending_output=()):
    return SimpleNamespace(
        pending_output=list(pending_output), done=False, hop=None, start=lambda: None
    )


class BufferedOutputTests(unittest.TestCase):
    """Buffered output of a later response is written before the rest of it.

    Two responses arrived within 4 ms on one connection, and the rest of the second was
    written before the part of it that was buffered while the first was current.
    """

    def setUp(self):
        gateway = SimpleNamespace(now=lambda: 0.0, callers=set(), loop=Mock())
        self.caller = CallerConnection(gateway, is_relay=False)
        self.written = []
        transport = Mock()
        transport.write = self.written.append
        self.caller.connection_made(transport)
        self.first = make_exchange()
        self.second = make_exchange([b"head ", b"half "])
        self.caller.current = self.first
        self.caller.pipelined.append(self.second)

    def test_buffered_output_is_written_before_the_rest(self):
        self.caller.write(self.first, b"first ")
        self.caller.finish(self.first, keep_alive=True)
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
