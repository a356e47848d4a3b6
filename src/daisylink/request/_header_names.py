"""Header names that callers and backend servers of one deployment speak.

The product speaks :data:`DEFAULT_HEADER_NAMES`; an adapter passes another one to the
gateway. Headers between nodes do not depend on it.
"""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Names of headers, in lower case; an empty name is not used.

    :param deadline: milliseconds that the caller, or the backend server, has left.
    :param not_run: on an answer: the backend server did not run the request.
    :param not_run_value: value that the header must have, empty for any.
    :param request_id: names the request; a backend server repeats it.
    :param target: backend server that alone may run the request.
    :param origin: service beside the node at which the request began.
    :param proof: on an answer: shows that the backend server itself made it.
    :param callers_read_status_only: whether callers go by the status alone: 503
        promises that a request was not run, 504 nothing; and ``Retry-After`` may have a
        fraction.
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
        """Return the request headers that end at a node, which sets its own."""
        names = (self.deadline, self.target, self.origin)
        return frozenset(name for name in names if name)


DEFAULT_HEADER_NAMES = HeaderNames(
    deadline=b"daisylink-deadline-ms",
    not_run=b"daisylink-shed",
    not_run_value=b"not-run",
)
