"""A page that many ask for is served again after servers that held it have crashed.

The review found that a crash of some servers took such a page away: what others ran to
its end was no evidence for it, and nothing of it was begun any more.
"""

from daisylink.errors import ResultCode
from daisylink.request import compute_fingerprint, parse_head
from daisylink.request._body import RequestBody
from daisylink.serving import Strike
from daisylink.sidecar._strikes import SIDECAR_QUARANTINE_SETTINGS
from tests.connection_model import make_answer_head, read_messages
from tests.simulated_network import HOST, CallerTestCase, make_request

CRASHES = SIDECAR_QUARANTINE_SETTINGS.crash_limit


def fingerprint(name):
    """Return the fingerprint of a request without a body."""
    target = f"/x/{name}".encode()
    head = parse_head(b"GET", target, [(b"host", HOST.encode())], False)
    return compute_fingerprint(head, "", RequestBody(False).digest())


class RunningRequestTests(CallerTestCase):
    """Requests that run when the strikes against them arrive."""

    def use_node(self, node):
        super().use_node(node)
        self.pardoned = []
        node.gateway.on_suspect_answered = self.pardoned.append

    def add_strikes(self, name, count=CRASHES):
        strikes = [
            Strike(*fingerprint(name), f"crash {number}") for number in range(count)
        ]
        now = self.node.loop.time()
        self.node.gateway.quarantine.merge_strikes(tuple(strikes), now)

    def answer_status(self, name, status):
        head = make_answer_head(name, "Content-Length: 0", status)
        self.node.find_server_end(name).send(head)
        self.settle()

    def test_one_that_ends_well_withdraws_the_strikes(self):
        """Only requests that were begun as suspects did."""
        self.send(make_request("page"))
        self.add_strikes("page")
        self.answer("page")
        self.assertEqual(self.pardoned, [fingerprint("page")])

    def test_a_rejection_withdraws_none(self):
        """The server has not run it, so it may crash the next one."""
        for status in ("503 Busy", "429 Busy"):
            name = status[:3]
            self.add_strikes(name, 1)
            self.send(make_request(name))
            self.answer_status(name, status)
        self.assertEqual(self.pardoned, [])

    def test_requests_without_strikes_cost_no_record(self):
        self.add_strikes("page")
        self.send(make_request("other"))
        self.answer("other")
        self.assertEqual(self.pardoned, [])
        self.send(make_request("page"))
        refused = read_messages(bytes(self.caller.received))[-1]
        code = int(refused.headers["daisylink-code"])
        self.assertEqual(code, ResultCode.REQUEST_QUARANTINED)
