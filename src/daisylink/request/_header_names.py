"""Header names that the callers and backend servers of a deployment use.

:data:`DEFAULT_HEADER_NAMES` is the default; an adapter passes other names to the
gateway. Headers between nodes do not depend on it.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache
from itertools import product
from typing import NamedTuple


class ServerNotice(NamedTuple):
    """What a backend server says of itself in a response.

    :param limit: requests a second that it takes from all nodes together, None if it
        states none.
    :param is_leaving: whether it is about to end.
    :param is_malformed: whether it states a limit that cannot be believed.
    """

    limit: float | None = None
    is_leaving: bool = False
    is_malformed: bool = False


NO_NOTICE = ServerNotice()


class ServerLoad(NamedTuple):
    """Load of a backend server at the moment of a response, as it states it.

    :param running: requests that it runs.
    :param waiting: requests that wait in the server itself.
    :param slots: requests that it can run at once.
    :param slowness: how long work takes on its machine at this moment, relative to the
        usual time; None if it does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None

    @property
    def is_full(self) -> bool:
        """Return whether the server has no slot left for another request."""
        return self.running + self.waiting >= self.slots


def read_no_notice(_headers: Iterable[tuple[bytes, bytes]]) -> ServerNotice:
    """Return that a response says nothing of its backend server."""
    return NO_NOTICE


def read_no_load(_headers: Iterable[tuple[bytes, bytes]]) -> ServerLoad | None:
    """Return that a response does not state the load of its backend server."""
    return None


class HeaderNames(NamedTuple):
    """Header names in lower case; an empty name means that the header is not used.

    :param deadline: request header: remaining time in milliseconds.
    :param not_run: response header: the backend server did not run the request.
    :param not_run_value: value that ``not_run`` must have, empty for any.
    :param request_id: request id, which a backend server repeats in its response.
    :param target: request header: the only backend server that may run the request.
    :param origin: request header: service of the node where the request entered.
    :param tenant: request header: tenant whose API key the request carries.
    :param proof: response header: proves that the backend server itself responded.
    :param callers_read_status_only: whether callers read the status only. 503 then
        guarantees that the request was not run, 504 guarantees nothing, and
        ``Retry-After`` may have a fraction.
    :param call_separator: stands between the request id of a request and the suffix
        that a backend server adds for a call that it makes meanwhile, empty if ids do
        not tell.
    :param read_notice: reads what a backend server says of itself from the headers of
        its response, pairs of lower-case name and value.
    :param read_server_load: reads the load that a backend server states there, None if
        it states none that is well-formed.
    """

    deadline: bytes
    not_run: bytes
    not_run_value: bytes = b""
    request_id: bytes = b""
    target: bytes = b""
    origin: bytes = b""
    proof: bytes = b""
    callers_read_status_only: bool = False
    call_separator: bytes = b""
    read_notice: Callable[[Iterable[tuple[bytes, bytes]]], ServerNotice] = (
        read_no_notice
    )
    tenant: bytes = b""
    read_server_load: Callable[[Iterable[tuple[bytes, bytes]]], ServerLoad | None] = (
        read_no_load
    )

    @property
    def consumed(self) -> frozenset[bytes]:
        """Return the request headers that are not forwarded: each node sets its own."""
        return _list_consumed(self.deadline, self.target, self.origin, self.tenant)


@lru_cache(maxsize=8)
def _list_consumed(
    deadline: bytes, target: bytes, origin: bytes, tenant: bytes
) -> frozenset[bytes]:
    """Return the names that are in use, the tenant's in each spelling."""
    found = {deadline, target, origin, *_spell_with_underscores(tenant)}
    return frozenset(name for name in found if name)


def _spell_with_underscores(name: bytes) -> Iterable[bytes]:
    """Return a name with each choice of ``-`` and ``_`` between its words.

    Servers that map headers to variables (CGI, WSGI) read all of them as the same.
    """
    first, *words = name.split(b"-")
    for separators in product((b"-", b"_"), repeat=len(words)):
        pairs = zip(separators, words, strict=True)
        yield first + b"".join(separator + word for separator, word in pairs)


DEFAULT_HEADER_NAMES = HeaderNames(
    deadline=b"daisylink-deadline-ms",
    not_run=b"daisylink-shed",
    not_run_value=b"not-run",
)
