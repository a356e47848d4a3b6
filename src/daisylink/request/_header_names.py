"""Header names that the callers and backend servers of a deployment use.

:data:`DEFAULT_HEADER_NAMES` is the default; an adapter passes other names to the
gateway. Headers between nodes do not depend on it.
"""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names in lower case; an empty name means that the header is not used.

    :param deadline: request header: remaining time in milliseconds.
    :param not_run: response header: the backend server did not run the request.
    :param not_run_value: value that ``not_run`` must have, empty for any.
    :param request_id: request id, which a backend server repeats in its response.
    :param target: request header: the only backend server that may run the request.
    :param origin: request header: service of the node where the request entered.
    :param proof: response header: proves that the backend server itself responded.
    :param callers_read_status_only: whether callers read the status only. 503 then
        guarantees that the request was not run, 504 guarantees nothing, and
        ``Retry-After`` may have a fraction.
    """

    deadline: bytes
    not_run: bytes
    not_run_value: bytes = b""
    request_id: bytes = b""
    target: bytes = b""
    origin: bytes = b""
    proof: bytes = b""
    callers_read_status_only: bool = False

    @property
    def consumed(self) -> frozenset[bytes]:
        """Return the request headers that are not forwarded: each node sets its own."""
        names = (self.deadline, self.target, self.origin)
        return frozenset(name for name in names if name)


DEFAULT_HEADER_NAMES = HeaderNames(
    deadline=b"daisylink-deadline-ms",
    not_run=b"daisylink-shed",
    not_run_value=b"not-run",
)
