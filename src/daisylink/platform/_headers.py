"""Header names of the platform's callers and backend servers."""

import math
import re
from collections.abc import Iterable

from daisylink.request import NO_NOTICE, HeaderNames, ServerLoad, ServerNotice

LIMIT_HEADER = b"server-limit"
LEAVING_HEADER = b"server-leaving"
IS_LEAVING = b"1"
NUMBER_PATTERN = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?")
# Longer ones are no rates that a server can mean.
MAX_NUMBER_BYTES = 32

SERVER_LOAD_HEADER = b"x-daisylink-server-load"
# Three counts of at most six digits and the slowness in percent.
SERVER_LOAD_PATTERN = re.compile(
    rb"([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,6})(?:,([0-9]{1,6}(?:\.[0-9]{1,6})?))?"
)
USUAL_SLOWNESS_PERCENT = 100.0
# Relative to the usual time of work; a figure outside these bounds is malformed.
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 100.0


def read_notice(headers: Iterable[tuple[bytes, bytes]]) -> ServerNotice:
    """Return what a backend server says of itself in a response.

    Of several limits the lowest counts; one that is no number counts for none.

    :param headers: pairs of lower-case name and value.
    """
    limits: list[float | None] = []
    is_leaving = False
    for name, value in headers:
        if name == LIMIT_HEADER:
            limits.append(_parse_limit(value))
        elif name == LEAVING_HEADER:
            is_leaving = is_leaving or value.strip() == IS_LEAVING
    if not limits and not is_leaving:
        return NO_NOTICE
    known = [limit for limit in limits if limit is not None]
    is_malformed = len(known) < len(limits)
    return ServerNotice(min(known, default=None), is_leaving, is_malformed)


def read_server_load(headers: Iterable[tuple[bytes, bytes]]) -> ServerLoad | None:
    """Return the load that a backend server states in a response.

    :param headers: pairs of lower-case name and value.
    :returns: the load; None if it is not stated, stated twice or malformed.
    """
    values = [value for name, value in headers if name == SERVER_LOAD_HEADER]
    if len(values) != 1:
        return None
    match = SERVER_LOAD_PATTERN.fullmatch(values[0].strip())
    if match is None:
        return None
    running, waiting, slots, percent = match.groups()
    slowness = None
    if percent is not None:
        slowness = float(percent) / USUAL_SLOWNESS_PERCENT
        if not MIN_SLOWNESS <= slowness <= MAX_SLOWNESS:
            return None
    return ServerLoad(int(running), int(waiting), int(slots), slowness)


def _parse_limit(value: bytes) -> float | None:
    """Return a rate in requests a second, None if the value is none."""
    text = value.strip()
    if len(text) > MAX_NUMBER_BYTES or not NUMBER_PATTERN.fullmatch(text):
        return None
    limit = float(text)
    return limit if math.isfinite(limit) else None


HEADER_NAMES = HeaderNames(
    deadline=b"x-daisylink-deadline-ms",
    not_run=b"x-daisylink-not-executed",
    request_id=b"x-daisylink-request-id",
    target=b"x-daisylink-target-instance",
    origin=b"x-daisylink-caller-service",
    proof=b"x-daisylink-response-seal",
    tenant=b"x-daisylink-tenant",
    callers_read_status_only=True,
    call_separator=b".",
    read_notice=read_notice,
    read_server_load=read_server_load,
)
