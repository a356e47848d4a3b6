"""Refusals: responses that daisylink itself generates."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from daisylink.errors import CODE_TABLE, ResultCode

CODE_HEADER = b"daisylink-code"
OUTCOME_HEADER = b"daisylink-outcome"
RETRY_HEADER = b"daisylink-retry-after-ms"
# RFC 9110 requires a challenge in each response with status 401.
CHALLENGE_LINE = b"www-authenticate: Bearer"
MS_PER_SECOND = 1000
# With these a caller is promised that the request was not run and never will be.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
# Refusals of a node that does not serve the pool, whatever its record says.
NOT_SERVING_CODES = frozenset(
    {
        ResultCode.REQUEST_WRONG_NODE,
        ResultCode.REQUEST_DRAINING,
        ResultCode.REQUEST_NO_SERVER,
    }
)
# Refusals that are passed on to the caller without another attempt.
FINAL_CODES = frozenset(
    {
        ResultCode.REQUEST_KEY_RUNNING,
        ResultCode.REQUEST_KEY_DONE,
        ResultCode.REQUEST_QUARANTINED,
    }
)


class Outcome(StrEnum):
    """Whether a refused request, or an earlier one with the same key, was run."""

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
    ResultCode.REQUEST_OVER_QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.REQUEST_KEY_RUNNING: HTTPStatus.CONFLICT,
    ResultCode.REQUEST_API_KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    ResultCode.REQUEST_API_KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    ResultCode.REQUEST_KEY_DONE: HTTPStatus.CONFLICT,
}
OUTCOME_BY_CODE = {
    ResultCode.REQUEST_DEADLINE_UNKNOWN: Outcome.UNKNOWN,
    ResultCode.REQUEST_ANSWER_LOST: Outcome.UNKNOWN,
    ResultCode.REQUEST_KEY_RUNNING: Outcome.UNKNOWN,
    ResultCode.REQUEST_KEY_DONE: Outcome.RAN,
}


class Refusal(NamedTuple):
    """A final response that does not come from a backend server.

    :param code: why the request was refused.
    :param outcome: whether the request was run.
    :param retry_ms: milliseconds after which the caller may retry, 0 if not stated.
    """

    code: ResultCode
    outcome: Outcome
    retry_ms: int = 0

    @property
    def status(self) -> HTTPStatus:
        """Return the HTTP status of the result code."""
        return STATUS_BY_CODE.get(self.code, HTTPStatus.SERVICE_UNAVAILABLE)


def make_refusal(code: ResultCode, retry_ms: int = 0) -> Refusal:
    """Return the refusal for a result code, with the outcome that the code implies.

    :param retry_ms: milliseconds after which the caller may retry, 0 if not stated.
    """
    return Refusal(code, OUTCOME_BY_CODE.get(code, Outcome.NOT_RUN), retry_ms)


def encode_refusal(
    refusal: Refusal,
    close: bool,
    callers_read_status_only: bool = False,
    extra: tuple[bytes, ...] = (),
) -> bytes:
    """Return the HTTP/1.1 response for a refusal.

    :param close: whether the connection closes after it.
    :param callers_read_status_only: whether callers read the status only. A request
        that was not run is then refused with 503, because 504 does not say so.
    :param extra: additional header lines.
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
    not_run = refusal.outcome is Outcome.NOT_RUN
    if callers_read_status_only and not_run and status is HTTPStatus.GATEWAY_TIMEOUT:
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
    if status is HTTPStatus.UNAUTHORIZED:
        lines.append(CHALLENGE_LINE)
    lines += extra
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _format_retry(retry_ms: int, fractional: bool) -> bytes:
    """Return the ``Retry-After`` line, rounded up to whole seconds.

    :param fractional: whether to send milliseconds as a fraction instead.
    """
    if fractional:
        return b"retry-after: %.3f" % (retry_ms / MS_PER_SECOND)
    return b"retry-after: %d" % -(-retry_ms // MS_PER_SECOND)
