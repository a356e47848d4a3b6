"""Reads what the head of the next hop's response says beside the response itself."""

from http import HTTPStatus
from typing import Any

from daisylink.errors import ResultCode
from daisylink.request._head import Header
from daisylink.request._outcome import Refusal, make_refusal
from daisylink.request._response import (
    ResponseHead,
    find_answer_id,
    has_server_proof,
    is_replay,
    is_shed,
    read_load,
    read_pace,
    read_refusal,
)

# With these a server states that it did not run the request, with or without the
# header that lets it run elsewhere.
REJECTING_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


def owns_response(sender: Any, headers: list[Header]) -> bool:
    """Return whether a response belongs to a request, not to an earlier one.

    One without a request id is accepted.

    :param sender: the :class:`~daisylink.request.RequestSender` that gets the response.
    :param headers: pairs of lower-case name and value.
    """
    if sender.local_run is None:
        return True
    sender.answer_id = find_answer_id(headers, sender.gateway.header_names)
    return sender.answer_id in (None, sender.exchange.head.request_id)


def may_be_repeated(sender: Any, status: int) -> bool:
    """Return whether a late copy of a response could be taken for the next one.

    :param sender: the :class:`~daisylink.request.RequestSender` that gets the response.
    """
    if sender.local_run is None:
        return False
    identity = sender.gateway.answer_identity
    if sender.answer_id is not None:
        identity.record_id(sender.server_record)
        return False
    return identity.may_be_repeated(status, sender.server_record)


def find_refusal(sender: Any, head: ResponseHead) -> Refusal | None:
    """Return the refusal that a response stands for, None to pass it on.

    Also records the load that another node reports, and what the backend server says of
    itself.

    :param sender: the :class:`~daisylink.request.RequestSender` that gets the response.
    """
    if sender.local_run is not None:
        return _find_server_refusal(sender, head)
    return _find_node_refusal(sender, head)


def _find_server_refusal(sender: Any, head: ResponseHead) -> Refusal | None:
    gateway = sender.gateway
    header_names = gateway.header_names
    # A server that was not meant says nothing of the one that was.
    is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
    if not is_misdirected:
        notice = header_names.read_notice(head.headers)
        gateway.notices.record_own(sender.server_record, notice)
        gateway.pace.record_own(header_names.read_server_load(head.headers))
    shed = is_shed(head, header_names)
    failed = shed or head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    is_rejecting = shed or head.status in REJECTING_STATUSES
    gateway.record_server_outcome(failed, is_rejecting and not is_misdirected)
    if not shed and not is_misdirected:
        sender.local_run.record_response(failed)
    elif not shed:
        sender.local_run.sent_at = None
    if shed:
        return make_refusal(ResultCode.REQUEST_SHED_BY_SERVER)
    if not has_server_proof(head, header_names):
        return make_refusal(ResultCode.REQUEST_ANSWER_LOST)
    return None


def _find_node_refusal(sender: Any, head: ResponseHead) -> Refusal | None:
    gateway = sender.gateway
    load = read_load(head)
    if load is not None:
        gateway.pace.record_peer(sender.target, read_pace(head))
        gateway.record_load(sender.target, load, sender.exchange.plan.route)
    sender.exchange.response.replayed = is_replay(head)
    refusal = read_refusal(head)
    if refusal is None:
        notice = gateway.header_names.read_notice(head.headers)
        gateway.notices.record_peer(sender.target_record, notice)
    return refusal
