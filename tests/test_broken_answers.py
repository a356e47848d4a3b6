"""An answer that breaks off costs its own request only, however it breaks.

The review found that a spoiled answer closed the caller's connection while sound
servers worked at requests in front of it.
"""

from tests.connection_model import make_answer_head, read_messages
from tests.simulated_network import (
    CallerTestCase,
    SimulatedNode,
    make_request,
    make_response,
)

CHUNKED = "Transfer-Encoding: chunked"
MANY_HEADERS = "\r\n".join(f"X-{number}: y" for number in range(300))
TIMEOUT_SECONDS = 0.8
SLACK_SECONDS = 0.5
GARBAGE = b"\x00\x9fno answer\xff\xfe" * 8


def spoil(name):
    return make_answer_head(name, CHUNKED), GARBAGE


def spoil_later_chunk(name):
    return make_answer_head(name, CHUNKED), b"3\r\nabc\r\n" + GARBAGE


def exceed_headers(name):
    lines = f"{MANY_HEADERS}\r\n{CHUNKED}"
    return make_answer_head(name, lines), b""


def flood_trailer(name):
    return make_answer_head(name, CHUNKED), b"0\r\nX: " + b"t" * 300_000


def truncate(name):
    return make_answer_head(name, "Content-Length: 900"), b"abc"


# How an answer breaks: a function of the request's name that returns a head and what
# follows it, and whether the server then closes or resets the connection.
WAYS = {
    "bytes that are no chunk": (spoil, None),
    "a chunk, then bytes that are none": (spoil_later_chunk, None),
    "more header fields than allowed": (exceed_headers, None),
    "a trailer without end": (flood_trailer, None),
    "truncated, closed": (truncate, "close"),
    "truncated, reset": (truncate, "reset"),
}
NO_END = "no end"


class BrokenAnswerCase(CallerTestCase):
    """A caller that sends requests ahead, and a server that breaks an answer off."""

    def send_requests(self, *names):
        self.send(b"".join(make_request(name) for name in names))

    def break_answer(self, name, way, is_one_segment):
        """Answer a request as a server in trouble, up to the end of its time."""
        make_parts, ending = WAYS.get(way, (truncate, None))
        head, rest = make_parts(name)
        end = self.node.find_server_end(name)
        if is_one_segment:
            end.send(head + rest)
        else:
            end.send(head)
            self.settle()
            end.send(rest)
        if ending is not None:
            end.close(ConnectionResetError() if ending == "reset" else None)
        self.settle()

    def read_statuses(self):
        messages = read_messages(bytes(self.caller.received))
        self.assertTrue(all(message.is_whole for message in messages))
        return [message.first[1] for message in messages]


class RequestsInFrontTests(BrokenAnswerCase):
    """Requests in front of an answer that breaks off get their own answers."""

    def check(self, way, is_one_segment):
        self.use_node(SimulatedNode())
        self.send_requests("first", "second", "third")
        self.break_answer("second", way, is_one_segment)
        self.assertFalse(self.caller.is_closed)
        self.answer("first", "third")
        self.assertEqual(self.read_statuses(), ["200", "502", "200"])
        self.assertFalse(self.caller.is_closed)

    def test_in_the_segment_of_the_head(self):
        """The head was not handed on yet, so the connection was reset at once."""
        for way in WAYS:
            with self.subTest(way):
                self.check(way, is_one_segment=True)

    def test_in_a_later_segment(self):
        for way in WAYS:
            with self.subTest(way):
                self.check(way, is_one_segment=False)


class RequestsBehindTests(BrokenAnswerCase):
    """Requests that servers work at behind an answer that breaks off."""

    def test_they_are_answered(self):
        """The connection was closed on them when a part of the answer was out."""
        for way in WAYS:
            with self.subTest(way):
                self.use_node(SimulatedNode())
                self.send_requests("first", "second")
                self.break_answer("first", way, is_one_segment=False)
                self.answer("second")
                self.assertEqual(self.read_statuses(), ["502", "200"])
                self.assertFalse(self.caller.is_closed)

    def test_an_answer_that_never_ends(self):
        self.send_requests("first", "second", "third")
        self.break_answer("second", NO_END, is_one_segment=False)
        self.node.advance(TIMEOUT_SECONDS - 0.1)
        self.answer("first", "third")
        self.node.advance(SLACK_SECONDS)
        self.assertEqual(self.read_statuses(), ["200", "502", "200"])
        self.assertFalse(self.caller.is_closed)

    def test_none_is_begun_while_an_answer_is_partly_out(self):
        """It would be lost with the rest of that answer."""
        self.send_requests("first")
        self.break_answer("first", NO_END, is_one_segment=False)
        self.send_requests("second")
        self.assertEqual(len(self.node.server_ends), 1)
        self.node.find_server_end("first").send(b"y" * 897)
        self.settle()
        self.answer("second")
        self.assertEqual(self.read_statuses(), ["200", "200"])

    def test_a_long_answer_is_not_held_whole(self):
        self.send_requests("first", "second")
        end = self.node.find_server_end("first")
        end.send(make_answer_head("first", "Content-Length: 200000"))
        end.send(b"x" * 100_000)
        self.settle()
        self.assertGreater(len(self.caller.received), 90_000)
        end.send(b"x" * 100_000)
        self.answer("second")
        self.assertEqual(self.read_statuses(), ["200", "200"])


class UndeliveredAnswerTests(BrokenAnswerCase):
    """A broken answer of which the caller has got nothing is replaced."""

    def test_the_only_request_is_answered(self):
        """Its connection was reset though nothing had been written to it."""
        self.send_requests("only")
        self.break_answer("only", "bytes that are no chunk", is_one_segment=True)
        self.assertEqual(self.read_statuses(), ["502"])
        self.assertFalse(self.caller.is_closed)

    def check_retried(self, is_one_segment):
        """Break the first answer off, and give a whole one elsewhere."""
        self.send_requests("first", "second")
        (broken,) = self.node.find_ends("second")
        head, rest = spoil("second")
        if is_one_segment:
            broken.send(head + rest)
        else:
            broken.send(head)
            self.settle()
            broken.send(rest)
        self.settle()
        (retried,) = set(self.node.find_ends("second")) - {broken}
        retried.send(make_response("second", b"second"))
        (first,) = self.node.find_ends("first")
        first.send(make_response("first", b"first"))
        self.settle()
        self.assertEqual(self.read_statuses(), ["200", "200"])
        self.assertTrue(self.caller.received.endswith(b"\r\n\r\nsecond"))
        self.assertEqual(self.caller.received.count(b"no answer"), 0)

    def test_an_idempotent_request_is_sent_to_another_server(self):
        """It was answered with 502 while it waited for its turn, or reset."""
        for is_one_segment in (True, False):
            with self.subTest(is_one_segment=is_one_segment):
                self.use_node(SimulatedNode())
                self.node.add_node()
                self.check_retried(is_one_segment)

    def test_a_request_that_runs_once_is_not_repeated(self):
        self.use_node(SimulatedNode(kind="non_idempotent"))
        self.node.add_node()
        self.send_requests("only")
        (end,) = self.node.find_ends("only")
        end.send(b"".join(spoil("only")))
        self.settle()
        self.assertEqual(self.read_statuses(), ["502"])
        self.assertEqual(self.node.find_ends("only"), [end])
