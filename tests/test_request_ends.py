"""Each request that a caller sends has an end in time, and a true one."""

import unittest

from daisylink.logs import configure_logging
from tests.simulated_network import SimulatedNode, make_request, make_response


class RequestEndTestCase(unittest.TestCase):
    def setUp(self):
        configure_logging("CRITICAL")
        self.node = SimulatedNode()
        self.addCleanup(self.node.close)
        self.caller = self.node.connect()

    def send(self, data):
        self.caller.send(data)
        self.node.advance(0.02)

    def answer(self, name):
        self.node.find_server_end(name).send(make_response(name, name.encode()))
        self.node.advance(0.02)


class PipelinedUploadTests(RequestEndTestCase):
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
