"""A late copy of an answer without a request id is not taken for the next answer.

The review sent such copies of rejections: requests that may run once were sent to a
second server, or answered as not run, while the first server worked at them.
"""

from tests.connection_model import read_messages
from tests.platform_standin import SEAL
from tests.simulated_network import (
    HOST,
    CallerTestCase,
    SimulatedNode,
    make_request,
    make_response,
)

REJECTION = (
    b"HTTP/1.1 503 Busy\r\nX-Daisylink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
MISDIRECTED = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
FAILURE = b"HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno"
ANSWER = (
    f"HTTP/1.1 200 OK\r\nX-Daisylink-Response-Seal: {SEAL}\r\n"
    "Content-Length: 5\r\n\r\nfirst"
).encode()
WITHOUT_IDS = {
    "a rejection": REJECTION,
    "another server's": MISDIRECTED,
    "a failure": FAILURE,
    "a success": ANSWER,
}


def make_once(name):
    """Return a request that may run once."""
    head = (
        f"POST /y/{name} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Daisylink-Request-Id: {name}\r\nX-Daisylink-Deadline-Ms: 5000\r\n"
    )
    return f"{head}Content-Length: 2\r\n\r\nok".encode()


class CutCopyTests(CallerTestCase):
    """A copy that is cut off in its head, with the next answer right behind."""

    def check_cut(self, cut, is_one_segment):
        """Send a request that may run once; its answer follows a cut copy."""
        self.use_node(SimulatedNode(runs_once_prefix="/y/"))
        self.send(make_once("once"))
        end = self.node.find_server_end("once")
        if is_one_segment:
            end.send(cut + make_response("once", b"once"))
        else:
            end.send(cut)
            self.settle()
            end.send(make_response("once", b"once"))
        self.settle()
        (answer,) = read_messages(bytes(self.caller.received))
        self.assertEqual(answer.first[1], "502")
        self.assertTrue(end.is_closed)

    def test_two_heads_are_not_taken_for_one(self):
        """The status of the copy and the id of the answer made a false rejection."""
        for cut in (
            b"HTTP/1.1 503 Bu",
            b"HTTP/1.1 503 Busy\r\nX-Daisylink-Not-Executed: ",
            b"HTTP/1.1 503 Busy\r\nContent-Type: te",
            b"HTTP/1.0 200 ",
        ):
            for is_one_segment in (True, False):
                with self.subTest(cut=cut, is_one_segment=is_one_segment):
                    self.check_cut(cut, is_one_segment)

    def test_other_mentions_of_the_protocol_are_passed_on(self):
        self.send(make_request("only"))
        response = make_response("only", b"only")
        via = response.replace(b"\r\n", b"\r\nVia: HTTP/1.1 proxy, 1.0 other\r\n", 1)
        self.node.find_server_end("only").send(via)
        self.settle()
        (answer,) = read_messages(bytes(self.caller.received))
        self.assertEqual(answer.first[1], "200")


class LateCopyTests(CallerTestCase):
    def start_node(self, knows_ids=True):
        """Use a new node, to whose server one connection is open."""
        self.use_node(SimulatedNode(runs_once_prefix="/y/"))
        if knows_ids:
            self.send(make_request("known"))
            self.answer("known")

    def answer_without_id(self, name, data):
        end = self.node.find_server_end(name)
        end.send(data)
        self.settle()
        return end

    def read_statuses(self):
        messages = read_messages(bytes(self.caller.received))
        return [message.first[1] for message in messages]

    def check_once(self, data, copies=2):
        """Send a request that may run once after an answer without an id."""
        self.send(make_request("first"))
        first = self.answer_without_id("first", data)
        self.send(make_once("second"))
        second = self.node.find_server_end("second")
        if not first.is_closed:
            first.send(data * (copies - 1))
        second.send(make_response("second", b"second"))
        self.settle()
        self.assertIsNot(second, first)
        self.assertEqual(self.read_statuses()[-1], "200")
        self.assertTrue(self.caller.received.endswith(b"\r\n\r\nsecond"))

    def test_a_request_that_may_run_once_gets_another_connection(self):
        """The copy was taken for its own rejection while the server worked at it."""
        for kind, data in WITHOUT_IDS.items():
            with self.subTest(kind):
                self.start_node()
                self.check_once(data)

    def test_the_connection_that_is_not_used_is_closed(self):
        """Servers limit the connections that they accept."""
        self.start_node()
        for number in range(5):
            self.send(make_once(f"r{number}."))
            self.answer_without_id(f"r{number}.", REJECTION)
        ends = [end for end in self.node.server_ends if not end.is_closed]
        self.assertEqual(len(ends), 1)

    def test_rejections_of_servers_that_never_send_ids(self):
        for kind in ("a rejection", "another server's", "a failure"):
            with self.subTest(kind):
                self.start_node(knows_ids=False)
                self.check_once(WITHOUT_IDS[kind])

    def test_servers_that_never_send_ids_keep_their_connections(self):
        self.start_node(knows_ids=False)
        self.send(make_request("first"))
        self.answer_without_id("first", ANSWER)
        self.send(make_once("second"))
        self.assertEqual(len(self.node.server_ends), 1)

    def test_a_success_without_an_id_is_the_last_on_its_connection(self):
        """An idempotent request got a copy of it as its own answer."""
        self.start_node()
        self.send(make_request("first"))
        end = self.answer_without_id("first", ANSWER)
        self.assertTrue(end.is_closed)
        self.assertEqual(self.read_statuses()[-1], "200")

    def test_idempotent_requests_use_the_connection_again(self):
        """A busy server would get a new connection after each rejection."""
        self.start_node()
        self.send(make_request("first"))
        self.answer_without_id("first", REJECTION)
        self.send(make_request("second"))
        self.answer("second")
        self.send(make_once("third"))
        self.assertEqual(len(self.node.server_ends), 1)
