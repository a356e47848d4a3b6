"""A process holds few bytes for callers and servers, whoever sends without end."""

from daisylink.connection import count_held_bytes
from tests.simulated_network import (
    READ_BYTES,
    SimulatedTestCase,
    make_request,
    make_response,
)

CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
FLOOD_CHUNKS = 1024
# What one connection may make the process hold.
MAX_CONNECTION_BYTES = 1024 * 1024
# A quarter of the memory of a machine with 300 MB.
MAX_PROCESS_BYTES = 75 * 1024 * 1024


def decode_chunks(data):
    """Return a body that came in chunks, and ended."""
    body = b""
    while data != LAST_CHUNK:
        size, _, data = data.partition(b"\r\n")
        end = int(size, 16)
        body += data[:end]
        data = data[end + 2 :]
    return body


class HeldBytesTestCase(SimulatedTestCase):
    @property
    def held_bytes(self):
        return count_held_bytes(self.node.callers).total

    def request_alone(self, caller, name, body):
        """Send a request and its answer; return the server's end of the connection."""
        caller.send(make_request(name))
        self.settle()
        end = self.node.find_server_end(name)
        end.send(make_response(name, body))
        self.settle()
        return end


class EndlessResponseTests(HeldBytesTestCase):
    def send_pair(self, caller, number=""):
        """Send two requests without waiting for the first one's answer."""
        names = f"first{number}", f"second{number}"
        caller.send(b"".join(map(make_request, names)))
        self.settle()
        return [self.node.find_server_end(name) for name in names]

    def flood(self, end, name, chunks=FLOOD_CHUNKS):
        end.send(make_response(name, CHUNK * chunks, chunked=True))
        self.settle()

    def test_a_body_without_end_behind_another_request(self):
        """Guards against review/4: the body was held until its turn came."""
        caller = self.node.connect()
        _, end = self.send_pair(caller)
        self.flood(end, "second")
        self.assertLess(self.held_bytes, MAX_CONNECTION_BYTES)
        self.assertLess(end.delivered_bytes, MAX_CONNECTION_BYTES)

    def test_a_long_body_behind_another_request_arrives_whole(self):
        """Reading from the server goes on when the response's turn has come."""
        caller = self.node.connect()
        first, end = self.send_pair(caller)
        self.flood(end, "second", 64)
        first.send(make_response("first", b"one"))
        self.settle()
        end.send(LAST_CHUNK)
        self.settle()
        answer, _, rest = bytes(caller.received).partition(b"one")
        self.assertIn(b"-request-id: first", answer)
        body = rest.partition(b"\r\n\r\n")[2]
        self.assertEqual(decode_chunks(body), b"x" * 0x4000 * 64)

    def test_a_body_without_end_for_a_caller_that_reads_nothing(self):
        caller = self.node.connect()
        caller.stop_reading()
        caller.send(make_request("only"))
        self.settle()
        end = self.node.find_server_end("only")
        self.flood(end, "only")
        self.assertLess(end.delivered_bytes, MAX_CONNECTION_BYTES)

    def test_a_body_without_end_behind_an_answer_that_nobody_reads(self):
        """The write buffer was full already, so no event said that it became full."""
        caller = self.node.connect()
        caller.stop_reading()
        first, end = self.send_pair(caller)
        first.send(make_response("first", b"x" * 200_000))
        self.settle()
        self.flood(end, "second")
        self.assertLess(end.delivered_bytes, MAX_CONNECTION_BYTES)
        self.assertLess(self.held_bytes, MAX_CONNECTION_BYTES)

    def test_a_caller_that_sends_requests_and_reads_no_answer(self):
        """Each answer was added to the write buffer, and the next request read."""
        caller = self.node.connect()
        caller.stop_reading()
        for number in range(200):
            caller.send(make_request(f"r{number}."))
            self.settle()
            self.answer_all(b"x" * 30_000)
        self.assertLess(self.held_bytes, MAX_CONNECTION_BYTES)

    def answer_all(self, body):
        for end in self.node.server_ends:
            _, mark, rest = bytes(end.received).rpartition(b"-request-id: ")
            if mark:
                end.received.clear()
                end.send(make_response(rest.partition(b"\r\n")[0].decode(), body))
        self.settle()

    def test_a_server_is_read_again_after_its_caller_was_slow(self):
        """The connection went back to the pool with reading paused."""
        caller = self.node.connect()
        caller.stop_reading()
        self.request_alone(caller, "first", b"x" * 100_000)
        end = self.request_alone(caller, "second", b"x" * 60_000)
        other = self.node.connect()
        self.assertIs(self.request_alone(other, "third", b"y"), end)
        self.assertTrue(other.received.endswith(b"\r\n\r\ny"))

    def test_a_trailer_without_end(self):
        """The parser gathers a trailer until it is complete."""
        caller = self.node.connect()
        caller.send(make_request("only"))
        self.settle()
        end = self.node.find_server_end("only")
        end.send(make_response("only", CHUNK + b"0\r\nX-Trouble: ", chunked=True))
        end.send(b"x" * 16 * MAX_CONNECTION_BYTES)
        self.settle()
        self.assertLess(end.delivered_bytes, MAX_CONNECTION_BYTES)
        self.assertTrue(end.is_closed)
        self.assertTrue(caller.is_closed)

    def test_headers_without_end_are_not_collected(self):
        """An object for each of many small headers took forty times their bytes."""
        caller = self.node.connect()
        caller.send(make_request("only"))
        self.settle()
        end = self.node.find_server_end("only")
        end.send(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 10_000)
        self.settle()
        self.assertTrue(end.is_closed)


class ManyConnectionsTests(HeldBytesTestCase):
    """The bound holds for the process, not for one connection only."""

    slots = 2000

    def test_bodies_without_end_behind_requests_on_many_connections(self):
        """Each first request is answered, though the second ones fill the memory."""
        callers = [self.node.connect() for _ in range(600)]
        for number, caller in enumerate(callers):
            caller.send(make_request(f"a{number}.") + make_request(f"b{number}."))
        self.settle()
        ends = self.find_ends()
        for number in range(len(callers)):
            response = make_response(f"b{number}.", CHUNK * 16, chunked=True)
            ends[f"b{number}."].send(response)
        self.settle()
        self.assertLess(self.held_bytes, MAX_PROCESS_BYTES)
        for number in range(len(callers)):
            ends[f"a{number}."].send(make_response(f"a{number}.", b"one"))
        self.settle()
        for number, caller in enumerate(callers):
            self.assertIn(f"-request-id: a{number}.\r\n".encode(), caller.received)
            self.assertIn(b"\r\n\r\none", caller.received)

    def test_callers_that_read_no_answer(self):
        callers = [self.node.connect() for _ in range(600)]
        for number, caller in enumerate(callers):
            caller.stop_reading()
            caller.send(make_request(f"r{number}."))
        self.settle()
        for name, end in self.find_ends().items():
            end.send(make_response(name, b"x" * 260_000))
        self.settle()
        self.assertLess(self.held_bytes, MAX_PROCESS_BYTES)
        neighbour = self.node.connect()
        self.request_alone(neighbour, "neighbour", b"ok")
        self.assertTrue(neighbour.received.endswith(b"ok"))

    def test_uploads_to_servers_that_read_nothing(self):
        self.node.server_reads = False
        callers = [self.node.connect() for _ in range(600)]
        for number, caller in enumerate(callers):
            caller.send(make_request(f"r{number}.", "PUT", b"x" * 500_000))
        self.settle()
        self.assertLess(self.held_bytes, MAX_PROCESS_BYTES)

    def test_large_heads_of_many_requests_in_progress(self):
        """Only the objects of a request counted, not the bytes of its head."""
        extra = f"X-Large: {'x' * 15_000}\r\n"
        for number in range(300):
            names = [f"r{number}-{count}." for count in range(24)]
            requests = [make_request(name, extra=extra) for name in names]
            self.node.connect().send(b"".join(requests))
        open_requests = [r for c in self.node.callers for r in c.open_requests]
        head_bytes = sum(
            len(value) for request in open_requests for _, value in request.head.headers
        )
        self.assertLess(head_bytes, MAX_PROCESS_BYTES)

    def find_ends(self):
        """Return the server's ends of the connections by their request's name."""
        ends = {}
        for end in self.node.server_ends:
            rest = bytes(end.received).partition(b"-request-id: ")[2]
            ends[rest.partition(b"\r\n")[0].decode()] = end
        return ends

    def test_a_whole_answer_that_waits_is_given_up_alone(self):
        """Its connection was closed on the request in front, which a server had."""
        caller = self.node.connect()
        caller.send(make_request("first") + make_request("second"))
        self.settle()
        ends = self.find_ends()
        ends["second"].send(make_response("second", b"x" * 60_000))
        self.settle()
        self.node.callers[0].end_largest_request()
        ends["first"].send(make_response("first", b"one"))
        self.settle()
        self.assertIn(b"\r\n\r\none", caller.received)
        self.assertIn(b"HTTP/1.1 502", caller.received)
        self.assertFalse(caller.is_closed)

    def test_the_connection_that_holds_most_is_ended(self):
        limit = self.node.gateway.held_limit
        limit.set_memory(2)
        neighbour = self.node.connect()
        neighbour.send(make_request("neighbour", "PUT", b"x" * 30_000)[:-1])
        callers = [self.node.connect() for _ in range(8)]
        for number, caller in enumerate(callers):
            body = b"x" * 64_000
            caller.send(make_request(f"r{number}.", "PUT", body)[:-1])
        self.settle()
        self.assertLess(self.held_bytes, limit.max_bytes + READ_BYTES)
        self.assertGreater(limit.ended_requests, 0)
        neighbour.send(b"x")
        self.settle()
        end = self.node.find_server_end("neighbour")
        end.send(make_response("neighbour", b"ok"))
        self.settle()
        self.assertTrue(neighbour.received.endswith(b"ok"))


class StalledCallerTests(HeldBytesTestCase):
    def test_a_caller_that_reads_nothing_for_long_is_ended(self):
        """Its connection was kept for as long as its machine acknowledged probes."""
        caller = self.node.connect()
        caller.stop_reading()
        caller.send(make_request("only"))
        self.settle()
        end = self.node.find_server_end("only")
        end.send(make_response("only", b"x" * 100_000))
        self.node.advance(30)
        self.assertTrue(caller.is_closed)
        self.assertEqual(self.held_bytes, 0)
