"""The answer of the next hop on its way to the caller."""

from http import HTTPStatus
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.request._body import LAST_CHUNK, frame_chunk
from daisylink.request._head import (
    LOAD_HEADER,
    OWN_PREFIX,
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
    """The head of an answer as the next hop sent it.

    :param headers: names in lower case.
    :param length: length of the body in bytes, None if not stated.
    :param bodiless: whether the answer has no body.
    """

    status: int
    headers: list[Header]
    length: int | None
    bodiless: bool


class ForwardedResponse:
    """An answer that passes through, reframed for the caller."""

    def __init__(self):
        self.started = False
        self.status = 0
        self.replayed = False
        self.chunked = False
        self.recording: ResponseRecorder | None = None
        self.out: list[bytes] = []

    def handle_head(
        self, head: ResponseHead, is_http_1_0: bool, extra: list[bytes]
    ) -> None:
        """Take the head.

        :param is_http_1_0: whether the caller speaks HTTP/1.0, which has no chunks.
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
        self.out.append(b"\r\n".join(lines) + b"\r\n\r\n")

    def handle_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self.recording is not None:
            self.recording.handle_body(data)
        self.out.append(frame_chunk(data) if self.chunked else data)

    def end(self) -> None:
        """Note the end of the body."""
        if self.chunked:
            self.out.append(LAST_CHUNK)

    def drain(self) -> bytes:
        """Return what is to be written to the caller now."""
        data = b"".join(self.out)
        self.out.clear()
        return data


def is_shed(head: ResponseHead, header_names: HeaderNames) -> bool:
    """Return whether a backend server says that it did not run the request."""
    if head.status < HTTPStatus.BAD_REQUEST:
        return False
    for name, value in head.headers:
        if name == header_names.not_run:
            return not header_names.not_run_value or value == header_names.not_run_value
    misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
    return bool(header_names.target) and misdirected


def is_own_response(
    headers: list[Header], request_id: bytes, header_names: HeaderNames
) -> bool:
    """Return whether an answer belongs to a request; one without an id may."""
    if not header_names.request_id:
        return True
    for name, value in headers:
        if name == header_names.request_id:
            return value == request_id
    return True


def has_server_proof(head: ResponseHead, header_names: HeaderNames) -> bool:
    """Return whether a success bears the backend server's proof, in its own coding."""
    if not header_names.proof or head.status >= HTTPStatus.MULTIPLE_CHOICES:
        return True
    names = {name for name, _ in head.headers}
    return header_names.proof in names and b"content-encoding" not in names


def read_refusal(head: ResponseHead) -> Refusal | None:
    """Return the refusal that a node's answer stands for, if it is one."""
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
    """Return the load that a node stated with its answer, if it did."""
    for name, value in head.headers:
        if name == LOAD_HEADER:
            return value
    return None


def is_replay(head: ResponseHead) -> bool:
    """Return whether a node gave an answer from its record."""
    return (REPLAY_HEADER, b"1") in head.headers
