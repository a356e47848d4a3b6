"""An invalid status code never reaches a caller.

A backend server in trouble sent a sound head with status 000. Its caller got the bytes
of the body with no head before them, or waited until its timeout.
"""

from tests.connection_model import make_answer_head, read_messages
from tests.simulated_network import (
    CallerTestCase,
    SimulatedNode,
    make_request,
    make_response,
)

INVALID_STATUSES = ("000", "001", "099", "101", "150", "199", "600", "999")
INTERIM_STATUSES = ("100", "102", "103")
FRAMINGS = {
    "a length": ("Content-Length: 7", b"spoiled"),
    "chunks": ("Transfer-Encoding: chunked", b"7\r\nspoiled\r\n0\r\n\r\n"),
    "no body": ("Content-Length: 0", b""),
    "the end of the connection": ("X: y", b"spoiled"),
}


class ResponseStatusTests(CallerTestCase):
    def request(self, *names, method="GET"):
        """Send requests to a node of their own; return their names."""
        self.use_node(SimulatedNode())
        self.send(b"".join(make_request(name, method) for name in names))
        return names

    def answer_status(self, name, status, framing):
        """Answer as the server; return its end of the connection."""
        line, body = FRAMINGS[framing]
        end = self.node.find_server_end(name)
        end.send(make_answer_head(name, line, f"{status} Spoiled") + body)
        self.settle()
        return end

    def read_statuses(self):
        messages = read_messages(bytes(self.caller.received))
        return [message.first[1] for message in messages]

    def check_replaced(self, status, framing):
        (name,) = self.request("only")
        end = self.answer_status(name, status, framing)
        self.assertEqual(self.read_statuses(), ["502"])
        self.assertNotIn(b"spoiled", self.caller.received)
        self.assertTrue(end.is_closed)
        self.assertFalse(self.caller.is_closed)

    def test_an_invalid_status_is_replaced_at_once(self):
        for status in INVALID_STATUSES:
            for framing in FRAMINGS:
                with self.subTest(status=status, framing=framing):
                    self.check_replaced(status, framing)

    def test_an_interim_response_that_states_a_body_is_replaced_at_once(self):
        """It was waited for until the timeout if the body did not come."""
        for status in INTERIM_STATUSES:
            for framing in ("a length", "chunks", "no body"):
                with self.subTest(status=status, framing=framing):
                    (name,) = self.request("only")
                    line, _ = FRAMINGS[framing]
                    head = make_answer_head(name, line, f"{status} Spoiled")
                    self.node.find_server_end(name).send(head)
                    self.settle()
                    self.assertEqual(self.read_statuses(), ["502"])

    def test_requests_in_front_and_behind_are_answered(self):
        for status in INVALID_STATUSES:
            with self.subTest(status):
                first, second, third = self.request("first", "second", "third")
                self.answer_status(second, status, "a length")
                self.answer(first, third)
                self.assertEqual(self.read_statuses(), ["200", "502", "200"])
                self.assertFalse(self.caller.is_closed)

    def test_interim_responses_are_followed_by_the_final_one(self):
        for status in INTERIM_STATUSES:
            with self.subTest(status):
                (name,) = self.request("only")
                self.node.find_server_end(name).send(
                    f"HTTP/1.1 {status} Interim\r\nX: y\r\n\r\n".encode()
                )
                self.settle()
                self.answer(name)
                self.assertEqual(self.read_statuses(), ["200"])

    def test_final_statuses_are_passed_on(self):
        for status in ("200", "299", "404", "418", "599"):
            with self.subTest(status):
                (name,) = self.request("only")
                self.answer_status(name, status, "a length")
                self.assertEqual(self.read_statuses(), [status])

    def test_a_stray_one_costs_no_answer_and_its_connection_is_not_used_again(self):
        """What belongs to another request may not end this one."""
        (name,) = self.request("only")
        end = self.node.find_server_end(name)
        end.send(make_answer_head("another", "Content-Length: 2", "000 No") + b"no")
        end.send(make_response(name, b"own"))
        self.settle()
        self.assertEqual(self.read_statuses(), ["200"])
        self.assertTrue(self.caller.received.endswith(b"\r\n\r\nown"))
        self.assertTrue(end.is_closed)

    def test_a_response_to_head_has_no_body(self):
        """Bytes in the segment of its head were passed on as a body."""
        (name,) = self.request("only", method="HEAD")
        self.answer_status(name, "200", "a length")
        self.assertTrue(self.caller.received.endswith(b"\r\n\r\n"))
        self.assertNotIn(b"spoiled", self.caller.received)
