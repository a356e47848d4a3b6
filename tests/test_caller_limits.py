"""What the limits on callers allow is served, to the last byte."""

from daisylink import platform
from tests.simulated_network import CallerTestCase, make_request
from tests.test_platform import make_configuration

MAX_BODY_BYTES = 100_000


class BodyLimitTests(CallerTestCase):
    def setUp(self):
        super().setUp()
        configuration = make_configuration().replace(b"1048576", b"100000")
        decoder = platform.ConfigurationDecoder()
        self.node.gateway.version = decoder.decode(configuration)

    def is_refused(self, data):
        caller = self.node.connect()
        caller.send(data)
        self.settle()
        return caller.received.startswith(b"HTTP/1.1 413")

    def test_a_body_at_the_limit_is_taken(self):
        """DENIED: the limit was rounded down to whole KiB, 413 for proper bodies."""
        for size in (99_328, 99_329, MAX_BODY_BYTES):
            body = b"x" * size
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
            with self.subTest(size=size):
                self.assertFalse(self.is_refused(make_request("a", "PUT", body)))
                chunked = make_request("b", "PUT", chunk, chunked=True)
                self.assertFalse(self.is_refused(chunked))

    def test_a_longer_body_is_refused(self):
        body = b"x" * (MAX_BODY_BYTES + 1)
        self.assertTrue(self.is_refused(make_request("a", "PUT", body)))
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        self.assertTrue(self.is_refused(make_request("b", "PUT", chunk, chunked=True)))
