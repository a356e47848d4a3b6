"""The load that a node reports of its backend server, and its form in the load header.

Servers of different nodes are compared by it, so it is relative to their capacity and
includes all that delays a new request: the queue, the server's rate and its failures.
"""

import math
from typing import NamedTuple

from daisylink.serving._admission import Admission
from daisylink.serving._response_times import DEFAULT_SERVICE_SECONDS

MS_PER_SECOND = 1000
# Load that a server reports on top of its own while it fails many requests: free slots
# must not attract what would be rejected there.
UNWELL_LOAD = 2.0


class LoadReport(NamedTuple):
    """What a node reports with a response.

    :param load: running and queued requests per slot.
    :param service_seconds: usual service time of the request's kind, 0 if unknown.
    """

    load: float
    service_seconds: float


def compute_load(admission: Admission, is_unwell: bool, now: float) -> float:
    """Return the running and queued requests per slot, 1 while admission is closed.

    :param is_unwell: whether the server fails many requests.
    :param now: seconds of the monotonic clock.
    """
    if not admission.is_open:
        return 1.0
    load = (admission.in_use + admission.queued) / max(1, admission.capacity)
    if is_unwell:
        load += UNWELL_LOAD
    turn_wait = admission.expect_turn(now)
    if not turn_wait:
        return load
    # The load at which a request would wait as long for a slot.
    seconds = admission.service_time or DEFAULT_SERVICE_SECONDS
    return max(load, 1 + turn_wait / seconds)


def encode_load(report: LoadReport) -> bytes:
    """Return the value of the load header."""
    return b"%.3f %.1f" % (report.load, report.service_seconds * MS_PER_SECOND)


def decode_load(value: bytes) -> LoadReport | None:
    """Decode the value of the load header, None if it is malformed.

    The service time may be missing.
    """
    load, _, service_ms = value.partition(b" ")
    try:
        report = LoadReport(float(load), float(service_ms or 0) / MS_PER_SECOND)
    except ValueError:
        return None
    if not all(math.isfinite(figure) and figure >= 0 for figure in report):
        return None
    return report
