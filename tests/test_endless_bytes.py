"""A backend server in trouble sends bytes without end that are no answer."""

from tests.platform_standin import SEAL
from tests.sidecar_case import SidecarTestCase

STATUS_LINE = "HTTP/1.1 200 OK\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
# What a process of a few MB can hold for each of many such servers.
MAX_READ_BYTES = 2 * 1024 * 1024


class EndlessBytesTests(SidecarTestCase):
    def check(self, head, flood, statuses=(502, 503, 504)):
        """Check that the caller is answered and that little is read."""

        async def scenario(_store, machine):
            machine.server.make_raw_response = lambda name: head.replace(
                "NAME", name
            ).encode()
            machine.server.flood = flood
            loop_time = machine.sidecar.loop.time
            started_at = loop_time()
            response = await machine.request("r1", deadline=2000)
            self.assertIn(response.status, statuses)
            self.assertLess(loop_time() - started_at, 1.0)
            self.assertLess(machine.server.flood_bytes, MAX_READ_BYTES)
            await self.wait_for(lambda: not machine.server.writers)
            machine.server.flood = b""
            machine.server.make_raw_response = None
            self.assertEqual((await machine.request("r2")).status, 200)

        self.run_machines(scenario)

    def test_a_header_without_end(self):
        self.check(STATUS_LINE + "X-Trouble: ", b"x" * 0x4000)

    def test_headers_without_end(self):
        self.check(STATUS_LINE, b"X-Trouble: x\r\n" * 0x400)

    def test_interim_responses_without_end(self):
        self.check("", b"HTTP/1.1 102 Processing\r\n\r\n" * 0x200)

    def test_a_stray_response_without_end(self):
        head = STATUS_LINE + "X-Daisylink-Request-Id: another\r\n" + CHUNKED
        self.check(head, CHUNK)

    def test_a_body_without_end_and_without_proof(self):
        head = STATUS_LINE + "X-Daisylink-Request-Id: NAME\r\n" + CHUNKED
        self.check(head, CHUNK)

    def test_a_refusal_without_end(self):
        head = (
            "HTTP/1.1 503 Busy\r\nX-Daisylink-Not-Executed: 1\r\n"
            "X-Daisylink-Request-Id: NAME\r\n" + CHUNKED
        )
        self.check(head, CHUNK, (503,))

    def test_bytes_that_are_no_http(self):
        self.check("", b"\x00\xff" * 0x2000)

    def test_bytes_without_end_after_a_whole_answer(self):
        head = (
            STATUS_LINE + f"X-Daisylink-Request-Id: NAME\r\n"
            f"X-Daisylink-Response-Seal: {SEAL}\r\nContent-Length: 2\r\n\r\nok"
        )
        self.check(head, b"z" * 0x4000, (200,))
