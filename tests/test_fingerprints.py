"""A request that crashes servers is known by its content, however it is framed."""

from daisylink.request import Fingerprint
from daisylink.serving import Strike
from tests.simulated_network import SERVER_ADDRESS, CallerTestCase, make_request

SMALL_BODY = b"report with a picture " * 24
LARGE_BODY = bytes(range(250)) * 400
CRASH_SECONDS = 0.2


def make_chunked(name, body, size):
    """Return an upload whose body comes in chunks of one size."""
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return make_request(name, "PUT", framed + b"0\r\n\r\n", chunked=True)


def make_upload(name, body):
    return make_request(name, "PUT", body)


class FramingTests(CallerTestCase):
    """The path has the request's name; so each upload here has one name."""

    def setUp(self):
        super().setUp()
        self.lost = []
        self.node.gateway.on_server_crashed = self.lost.append

    def crash_server(self, data, read_bytes=None) -> Fingerprint:
        """Send an upload, crash the server with it, return the fingerprint reported."""
        node = self.node
        caller = node.connect()
        step = read_bytes or len(data)
        for start in range(0, len(data), step):
            caller.send(data[start : start + step])
            self.settle()
        (end,) = [end for end in node.server_ends if not end.is_closed]
        accept = node.loop.listeners.pop(SERVER_ADDRESS)
        end.close(ConnectionResetError())
        node.advance(CRASH_SECONDS)
        node.loop.listeners[SERVER_ADDRESS] = accept
        ((lost,),) = self.lost
        self.lost.clear()
        return lost.fingerprint

    def check_one_fingerprint(self, body):
        found = {
            self.crash_server(make_upload("r1", body)),
            self.crash_server(make_upload("r1", body), read_bytes=7000),
            self.crash_server(make_chunked("r1", body, 40)),
            self.crash_server(make_chunked("r1", body, 48)),
            self.crash_server(make_chunked("r1", body, 20_000), read_bytes=9000),
        }
        self.assertEqual(len(found), 1)
        other_body = b"!" + body[1:]
        self.assertNotIn(self.crash_server(make_upload("r1", other_body)), found)

    def test_no_framing_hides_a_request_that_crashes_servers(self):
        """review/3: chunks of another size made it another request."""
        self.check_one_fingerprint(SMALL_BODY)

    def test_a_body_too_long_to_be_sent_again_is_known(self):
        """Its strike had the digest of no body, as the buffer had been dropped."""
        self.check_one_fingerprint(LARGE_BODY)


class SuspectUploadTests(CallerTestCase):
    def test_an_upload_beside_a_suspect_of_its_path_is_passed_on(self):
        """It waited for its whole body, of which only 64 KiB were read: 504."""
        quarantine = self.node.gateway.quarantine
        quarantine.has_strike_on_head = lambda _head: True
        quarantine.merge_strikes((Strike(b"h", b"another", "crash"),), 0.0)
        self.send(make_upload("r1", LARGE_BODY)[:50_000])
        self.assertEqual(self.node.server_ends, [])
        self.send(make_upload("r1", LARGE_BODY)[50_000:70_000])
        self.send(make_upload("r1", LARGE_BODY)[70_000:])
        end = self.node.find_server_end("r1")
        self.assertTrue(end.received.endswith(LARGE_BODY))
