"""Passes on what backend servers state of their momentary load.

The node beside a server keeps the server's figures and the limit on its concurrency. It
states them to other nodes with its responses, in a header that earlier releases ignore.
"""

import math
import re
from collections.abc import Callable
from typing import NamedTuple

from daisylink.logs import get_logger
from daisylink.request import ServerLoad
from daisylink.serving._admission import Admission
from daisylink.serving._concurrency_limit import ServerOutcome
from daisylink.serving._local_server import LocalServer
from daisylink.serving._own_server_notice import NO_START
from daisylink.serving._records import ServerStart
from daisylink.serving._response_times import ResponseTimes
from daisylink.serving._slowness import SLOWNESS_LIFETIME_SECONDS

PERCENT = 100
MS_PER_SECOND = 1000
UNKNOWN = b"-"
PACE_PATTERN = re.compile(rb"([0-9]{1,5}|-) ([0-9]{1,4}) ([01]) ([0-9]{1,6})")
MIN_PERCENT = 10
MAX_PERCENT = 10_000

log = get_logger("server")


class PaceReport(NamedTuple):
    """What a node states of its backend server beside the load.

    :param slowness: of the server's machine relative to its usual time, None if it is
        unknown.
    :param age_seconds: age of that figure.
    :param is_cold: whether the server says that it is still slow after its start.
    :param limit: requests that it is given at once.
    """

    slowness: float | None
    age_seconds: float
    is_cold: bool
    limit: int


def encode_pace(report: PaceReport) -> bytes:
    """Return the value of the pace header."""
    percent = UNKNOWN
    if report.slowness is not None:
        percent = b"%d" % round(report.slowness * PERCENT)
    age_ms = math.ceil(report.age_seconds * MS_PER_SECOND)
    return b"%b %d %d %d" % (percent, age_ms, report.is_cold, report.limit)


def decode_pace(value: bytes) -> PaceReport | None:
    """Decode the value of the pace header, None if it is malformed."""
    match = PACE_PATTERN.fullmatch(value)
    if match is None:
        return None
    percent, age_ms, is_cold, limit = match.groups()
    slowness = None
    if percent != UNKNOWN:
        if not MIN_PERCENT <= int(percent) <= MAX_PERCENT:
            return None
        slowness = int(percent) / PERCENT
    return PaceReport(
        slowness, int(age_ms) / MS_PER_SECOND, is_cold == b"1", int(limit)
    )


class ServerPace:
    """Figures of the local backend server and of those beside other nodes.

    :param now: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        admission: Admission,
        response_times: ResponseTimes,
        local_server: LocalServer,
        now: Callable[[], float],
    ):
        self.admission = admission
        self.response_times = response_times
        self.local_server = local_server
        self.now = now
        self.start = NO_START
        # What the server stated with its last response.
        self.load: ServerLoad | None = None

    def record_start(self, start: ServerStart) -> None:
        """Record which start of the local server runs; a new start has no limit yet."""
        if start not in (self.start, NO_START):
            self.start = start
            self.admission.concurrency.reset(self.now())

    def record_own(self, load: ServerLoad | None) -> None:
        """Record what the local backend server states in a response."""
        self.load = load
        if load is not None and load.slowness is not None:
            self.admission.slowness.record(load.slowness, self.now())

    def record_outcome(self, failed: bool, rejected: bool, many_fail: bool) -> None:
        """Record how the local backend server answered a request.

        :param failed: whether it rejected the request, failed or did not answer.
        :param rejected: whether it did not run it.
        :param many_fail: whether a large share of the recent requests failed.
        """
        if rejected and self.load is not None and not self.load.is_full:
            # Fewer requests at once would not help: it rejects with slots to spare.
            return
        outcome = ServerOutcome.FAILED if failed else ServerOutcome.ANSWERED
        if rejected:
            outcome = ServerOutcome.REJECTED
        admission = self.admission
        before = admission.capacity
        admission.concurrency.record(outcome, admission.in_use, self.now(), many_fail)
        if admission.capacity < before:
            log.bind(
                instance=self.start.instance,
                limit=admission.capacity,
                previous=before,
                reason=outcome.value,
            ).info("server is given fewer requests")
        elif before < admission.capacity and not admission.is_limited:
            log.bind(instance=self.start.instance, limit=admission.capacity).info(
                "server is given as many requests as it has slots"
            )

    def find_report(self) -> PaceReport | None:
        """Return what to state to other nodes, None if there is nothing to say."""
        admission = self.admission
        slowness = admission.slowness
        now = self.now()
        is_cold = self.local_server.cold_until > now
        is_known = slowness.is_known(now)
        if not (is_known or is_cold or admission.is_limited):
            return None
        return PaceReport(
            slowness.last if is_known else None,
            now - slowness.at if is_known else 0.0,
            is_cold,
            admission.capacity,
        )

    def format_header(self) -> bytes | None:
        """Return the value of the pace header for a response, None without one."""
        report = self.find_report()
        return None if report is None else encode_pace(report)

    def record_peer(self, node: str, value: bytes | None) -> None:
        """Record the pace header of another node's response.

        A node that sends none, or a malformed one, has nothing to say.
        """
        self._record(node, None if value is None else decode_pace(value))

    def share_own(self, node: str) -> None:
        """Use the local backend server's figures to place this node's requests."""
        self._record(node, self.find_report())

    def _record(self, node: str, report: PaceReport | None) -> None:
        times = self.response_times
        if report is None:
            if node in times.reports:
                times.record_pace(node)
            return
        times.record_pace(node, report.is_cold, report.limit)
        if report.slowness is None or report.age_seconds > SLOWNESS_LIFETIME_SECONDS:
            return
        at = self.now() - report.age_seconds
        times.record_slowness(node, report.slowness, at)
