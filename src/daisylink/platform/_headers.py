"""Header names of the platform's callers and backend servers."""

from daisylink.request import HeaderNames

HEADER_NAMES = HeaderNames(
    deadline=b"x-daisylink-deadline-ms",
    not_run=b"x-daisylink-not-executed",
    request_id=b"x-daisylink-request-id",
    target=b"x-daisylink-target-instance",
    origin=b"x-daisylink-caller-service",
    proof=b"x-daisylink-response-seal",
    callers_read_status_only=True,
)
