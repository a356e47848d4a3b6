"""A page that many ask for is served again after servers that held it have crashed.

The review found that a crash of some servers took such a page away: what others ran to
its end was no evidence for it, and nothing of it was begun any more.
"""

import unittest
from datetime import timedelta

from daisylink.clock import ManualClock
from daisylink.errors import ResultCode
from daisylink.logs import configure_logging
from daisylink.request import (
    Fingerprint,
    HopMetadata,
    LostRequest,
    QuarantineStatus,
    compute_fingerprint,
    encode_hop_metadata,
    parse_head,
)
from daisylink.request._body import RequestBody
from daisylink.request._head import HAS_LOST_ATTEMPT, HOP_HEADER, LOST_HEADER
from daisylink.serving import Quarantine, Strike
from daisylink.sidecar._strikes import (
    SIDECAR_QUARANTINE_SETTINGS,
    StrikeReporter,
    StrikeReporterSettings,
)
from daisylink.version import Priority
from tests.connection_model import make_answer_head, read_messages
from tests.simulated_network import HOST, CallerTestCase, make_request

PAGE = Fingerprint(b"h", b"page")
CRASHES = SIDECAR_QUARANTINE_SETTINGS.crash_limit
# Service of the nodes where the requests enter.
CALLER = "one"


def fingerprint(name):
    """Return the fingerprint of a request without a body."""
    target = f"/x/{name}".encode()
    head = parse_head(b"GET", target, [(b"host", HOST.encode())], False)
    return compute_fingerprint(head, "", RequestBody(False).digest(), CALLER)


class RunningRequestTests(CallerTestCase):
    """Requests that run when the strikes against them arrive."""

    def use_node(self, node):
        super().use_node(node)
        self.pardoned = []
        node.gateway.on_suspect_answered = self.pardoned.append

    def add_strikes(self, name, count=CRASHES):
        strikes = [
            Strike.from_fingerprint(
                fingerprint(name), f"crash {number}", is_repeat=True
            )
            for number in range(count)
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


class SameMomentTests(unittest.TestCase):
    """Crashes that a request may have caused, and crashes that it cannot have."""

    def setUp(self):
        configure_logging("CRITICAL")
        self.clock = ManualClock()
        self.quarantine = Quarantine(SIDECAR_QUARANTINE_SETTINGS)

    def crash(self, *seconds, is_repeat=False):
        """Crash servers at some times; their nodes' records arrive together."""
        for number, second in enumerate(seconds):
            clock = ManualClock()
            clock.wall_time = self.clock.wall_time + timedelta(seconds=second)
            node = f"n{number}-{second}"
            other = Quarantine(SIDECAR_QUARANTINE_SETTINGS)
            reporter = self.make_reporter(node, other, clock)
            reporter.record_crash([LostRequest(PAGE, is_repeat)], second)
            strikes = reporter.list_current(second)
            reader = self.make_reporter("reader", self.quarantine, self.clock)
            reader.handle_record(node, strikes, 0.0, is_starting=False)

    def make_reporter(self, node, quarantine, clock):
        settings = StrikeReporterSettings()
        return StrikeReporter(settings, node, quarantine, clock, list)

    def find_status(self):
        return self.quarantine.find_status(PAGE, 0.0)

    def test_servers_that_crash_at_once_are_one_piece_of_evidence(self):
        """All nodes refused what was in flight at three servers of a rack."""
        self.crash(-1.0, -0.95, -0.9, -0.85)
        self.assertIs(self.find_status(), QuarantineStatus.SUSPECT)
        self.crash(-5.0)
        self.assertIs(self.find_status(), QuarantineStatus.SUSPECT)
        self.crash(-9.0)
        self.assertIs(self.find_status(), QuarantineStatus.QUARANTINED)

    def test_crashes_one_after_another_count_each(self):
        self.crash(-3.0, -2.0, -1.0)
        self.assertIs(self.find_status(), QuarantineStatus.QUARANTINED)

    def test_a_request_that_was_sent_again_at_once_counts_each_time(self):
        """It crashes the next server within some ms of the first."""
        self.crash(-1.0)
        self.crash(-0.95, -0.9, is_repeat=True)
        self.assertIs(self.find_status(), QuarantineStatus.QUARANTINED)

    def test_only_one_moment_is_left_out(self):
        """A request that comes again at once may crash two servers at a time."""
        self.crash(-3.0, -2.95, -2.0, -1.95)
        self.assertIs(self.find_status(), QuarantineStatus.QUARANTINED)


class RepeatedRequestTests(CallerTestCase):
    def test_the_next_node_is_told_that_an_attempt_was_lost(self):
        """It would count a crash together with others of the same moment."""
        self.node.add_node()
        lost_line = LOST_HEADER + b": "
        relayed = 0
        for number in range(8):
            name = f"r{number}."
            self.send(make_request(name))
            (first,) = self.node.find_ends(name)
            self.assertNotIn(lost_line, first.received)
            first.close(ConnectionResetError())
            self.settle()
            (second,) = set(self.node.find_ends(name)) - {first}
            is_relayed = second in self.node.relay_ends
            relayed += is_relayed
            self.assertEqual(lost_line in second.received, is_relayed)
        self.assertGreater(relayed, 0)

    def test_only_nodes_are_believed(self):
        headers = [(b"host", HOST.encode()), (LOST_HEADER, HAS_LOST_ATTEMPT)]
        metadata = HopMetadata("one", 100, True, Priority.NORMAL)
        hop = (HOP_HEADER, encode_hop_metadata(metadata))
        relayed = parse_head(b"GET", b"/", [*headers, hop], True)
        self.assertTrue(relayed.has_lost_attempt)
        self.assertFalse(parse_head(b"GET", b"/", headers, False).has_lost_attempt)
