"""Forwards the response of the next hop to the caller."""

from http import HTTPStatus
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.request._body import LAST_CHUNK, frame_chunk
from daisylink.request._head import (
    LOAD_HEADER,
    OWN_PREFIX,
    PACE_HEADER,
    Header,
    find_connection_headers,
)
from daisylink.request._header_names import HeaderNames
from daisylink.request._outcome import (
    CODE_HEADER,
    OUTCOME_HEADER,
    RETRY_HEADER,
    Outcome,
    Refusal,
    make_refusal,
)
from daisylink.request._recording import REPLAY_HEADER, ResponseRecorder

PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class ResponseHead(NamedTuple):
    """The head of a response as the next hop sent it.

    :param status: HTTP status code.
    :param headers: pairs of lower-case name and value.
    :param length: length of the body in bytes, None without ``Content-Length``.
    :param bodiless: whether the response has no body.
    """

    status: int
    headers: list[Header]
    length: int | None
    bodiless: bool


class ForwardedResponse:
    """A response in transit, with its body reframed for the caller.

    :ivar started: whether its head has arrived.
    :ivar is_handed_on: whether a part of it was written to the caller.
    """

    def __init__(self):
        self.started = False
        self.is_handed_on = False
        self.status = 0
        self.replayed = False
        self.chunked = False
        self.recording: ResponseRecorder | None = None
        self.pending: list[bytes] = []

    def handle_head(
        self, head: ResponseHead, is_http_1_0: bool, extra: list[bytes]
    ) -> None:
        """Queue the response head for the caller.

        Drops hop-by-hop headers and the headers that only daisylink may set.

        :param is_http_1_0: whether the caller speaks HTTP/1.0, which lacks the chunked
            transfer coding.
        :param extra: header lines that this node adds.
        """
        self.started = True
        self.status = head.status
        lines = [b"HTTP/1.1 %d %b" % (head.status, PHRASES.get(head.status, b""))]
        dropped = find_connection_headers(head.headers)
        for name, value in head.headers:
            if name not in dropped and not name.startswith(OWN_PREFIX):
                lines.append(name + b": " + value)
        if self.recording is not None:
            self.recording.handle_head(lines)
        if head.length is not None:
            lines.append(b"content-length: %d" % head.length)
        elif not head.bodiless and not is_http_1_0:
            self.chunked = True
            lines.append(b"transfer-encoding: chunked")
        lines += extra
        self.pending.append(b"\r\n".join(lines) + b"\r\n\r\n")

    def handle_body(self, data: bytes) -> None:
        """Queue a piece of the body for the caller."""
        if self.recording is not None:
            self.recording.handle_body(data)
        self.pending.append(frame_chunk(data) if self.chunked else data)

    def end(self) -> None:
        """Queue the last chunk if the body is chunked."""
        if self.chunked:
            self.pending.append(LAST_CHUNK)

    def drain(self) -> bytes:
        """Return the queued bytes and clear the queue."""
        data = b"".join(self.pending)
        self.pending.clear()
        return data


def is_shed(head: ResponseHead, header_names: HeaderNames) -> bool:
    """Return whether a backend server states that it did not run the request."""
    if head.status < HTTPStatus.BAD_REQUEST:
        return False
    for name, value in head.headers:
        if name == header_names.not_run:
            return not header_names.not_run_value or value == header_names.not_run_value
    misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
    return bool(header_names.target) and misdirected


def find_answer_id(headers: list[Header], header_names: HeaderNames) -> bytes | None:
    """Return the id of the request that a response names, None if it names none."""
    for name, value in headers:
        if name == header_names.request_id:
            return value
    return None


def has_server_proof(head: ResponseHead, header_names: HeaderNames) -> bool:
    """Return whether a successful response is proved to come from the backend server.

    Only 2xx responses need a proof. One with a ``Content-Encoding`` is rejected.
    """
    if not header_names.proof or head.status >= HTTPStatus.MULTIPLE_CHOICES:
        return True
    names = {name for name, _ in head.headers}
    return header_names.proof in names and b"content-encoding" not in names


def read_refusal(head: ResponseHead) -> Refusal | None:
    """Return the refusal encoded in another node's response.

    :returns: the refusal, or None if the response came from a backend server. A refusal
        that cannot be parsed counts as ``REQUEST_ANSWER_LOST``.
    """
    values = dict(item for item in head.headers if item[0].startswith(OWN_PREFIX))
    if CODE_HEADER not in values:
        return None
    try:
        return Refusal(
            ResultCode(int(values[CODE_HEADER])),
            Outcome(values[OUTCOME_HEADER].decode()),
            int(values.get(RETRY_HEADER, b"0")),
        )
    except (KeyError, ValueError):
        return make_refusal(ResultCode.REQUEST_ANSWER_LOST)


def read_load(head: ResponseHead) -> bytes | None:
    """Return the value of the load header, or None without one."""
    return _find_value(head, LOAD_HEADER)


def read_pace(head: ResponseHead) -> bytes | None:
    """Return the value of the pace header, or None without one."""
    return _find_value(head, PACE_HEADER)


def _find_value(head: ResponseHead, wanted: bytes) -> bytes | None:
    for name, value in head.headers:
        if name == wanted:
            return value
    return None


def is_replay(head: ResponseHead) -> bool:
    """Return whether a response was replayed from a record of an earlier run."""
    return (REPLAY_HEADER, b"1") in head.headers
