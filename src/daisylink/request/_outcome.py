"""Refusals: the answers that daisylink itself gives instead of a backend server's."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from daisylink.errors import CODE_TABLE, ResultCode

CODE_HEADER = b"daisylink-code"
OUTCOME_HEADER = b"daisylink-outcome"
RETRY_HEADER = b"daisylink-retry-after-ms"
MS_PER_SECOND = 1000


class Outcome(StrEnum):
    """Whether a refused request, or an earlier one with its key, was run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


STATUS_BY_CODE: dict[ResultCode, HTTPStatus] = {
    ResultCode.REQUEST_MALFORMED: HTTPStatus.BAD_REQUEST,
    ResultCode.REQUEST_HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    ResultCode.REQUEST_BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ResultCode.REQUEST_CALLER_TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    ResultCode.REQUEST_NO_ROUTE: HTTPStatus.NOT_FOUND,
    ResultCode.REQUEST_METHOD: HTTPStatus.METHOD_NOT_ALLOWED,
    ResultCode.REQUEST_DEADLINE_NOT_RUN: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.REQUEST_DEADLINE_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.REQUEST_ANSWER_LOST: HTTPStatus.BAD_GATEWAY,
    ResultCode.REQUEST_TOO_DEEP: HTTPStatus.LOOP_DETECTED,
    ResultCode.REQUEST_KEY_RUNNING: HTTPStatus.CONFLICT,
    ResultCode.REQUEST_KEY_DONE: HTTPStatus.CONFLICT,
}
OUTCOME_BY_CODE = {
    ResultCode.REQUEST_DEADLINE_UNKNOWN: Outcome.UNKNOWN,
    ResultCode.REQUEST_ANSWER_LOST: Outcome.UNKNOWN,
    ResultCode.REQUEST_KEY_RUNNING: Outcome.UNKNOWN,
    ResultCode.REQUEST_KEY_DONE: Outcome.RAN,
}


class Refusal(NamedTuple):
    """A final answer that no backend server gave.

    :param retry_ms: when the caller may come back, 0 if it need not.
    """

    code: ResultCode
    outcome: Outcome
    retry_ms: int = 0

    @property
    def status(self) -> HTTPStatus:
        """Return the HTTP status that goes with the code."""
        return STATUS_BY_CODE.get(self.code, HTTPStatus.SERVICE_UNAVAILABLE)


def make_refusal(code: ResultCode, retry_ms: int = 0) -> Refusal:
    """Return the refusal of a code, with the outcome that the code stands for."""
    return Refusal(code, OUTCOME_BY_CODE.get(code, Outcome.NOT_RUN), retry_ms)


def encode_refusal(
    refusal: Refusal,
    close: bool,
    callers_read_status_only: bool = False,
    extra: tuple[bytes, ...] = (),
) -> bytes:
    """Return the HTTP/1.1 answer of a refusal.

    :param close: whether the connection closes after it.
    :param callers_read_status_only: whether callers go by the status alone, so that one
        which promises nothing must not stand for a request that was not run.
    :param extra: more header lines.
    """
    body = msgspec.json.encode(
        {
            "code": int(refusal.code),
            "outcome": refusal.outcome.value,
            "message": CODE_TABLE[refusal.code].meaning,
            "retry_after_ms": refusal.retry_ms,
        }
    )
    status = refusal.status
    is_certain = refusal.outcome is Outcome.NOT_RUN
    if callers_read_status_only and is_certain and status is HTTPStatus.GATEWAY_TIMEOUT:
        status = HTTPStatus.SERVICE_UNAVAILABLE
    lines = [
        b"HTTP/1.1 %d %s" % (status, status.phrase.encode()),
        b"content-type: application/json",
        b"content-length: %d" % len(body),
        b"%s: %d" % (CODE_HEADER, refusal.code),
        b"%s: %s" % (OUTCOME_HEADER, refusal.outcome.value.encode()),
    ]
    if refusal.retry_ms:
        lines.append(_format_retry(refusal.retry_ms, callers_read_status_only))
        lines.append(b"%s: %d" % (RETRY_HEADER, refusal.retry_ms))
    lines += extra
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _format_retry(retry_ms: int, fractional: bool) -> bytes:
    """Return the ``Retry-After`` line, in whole seconds unless fractions are taken."""
    if fractional:
        return b"retry-after: %.3f" % (retry_ms / MS_PER_SECOND)
    return b"retry-after: %d" % -(-retry_ms // MS_PER_SECOND)
