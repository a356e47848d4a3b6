"""Checks whether a request is known to crash backend servers.

Both the node where a request enters and the node beside the server check it: either may
know of crashes that the other one, which may have just started, does not.
"""

from typing import Any

from daisylink.errors import ResultCode
from daisylink.request._decision import QuarantineStatus
from daisylink.request._fingerprint import (
    Fingerprint,
    LostRequest,
    compute_fingerprint,
    digest_head,
)
from daisylink.request._outcome import make_refusal


def fingerprint_exchange(exchange: Any) -> Fingerprint:
    """Return the fingerprint of a request, as far as its body was received.

    :param exchange: the :class:`~daisylink.request.Exchange` of the request.
    """
    caller = exchange.origin if exchange.gateway.header_names.origin else ""
    return compute_fingerprint(
        exchange.head, exchange.plan.tenant, exchange.body.digest(), caller
    )


def describe_lost(exchange: Any) -> LostRequest:
    """Return what is known of a request whose connection its server has dropped.

    :param exchange: the :class:`~daisylink.request.Exchange` of the request.
    """
    has_lost_attempt = exchange.sender.attempts.has_lost_attempt
    is_repeat = has_lost_attempt or exchange.head.has_lost_attempt
    return LostRequest(fingerprint_exchange(exchange), is_repeat)


def check_quarantine(exchange: Any) -> QuarantineStatus:
    """Return whether a request is known to crash servers.

    :param exchange: the :class:`~daisylink.request.Exchange` of the request.
    """
    if not _may_have_strike(exchange):
        return QuarantineStatus.CLEAR
    if not exchange.body.is_recognizable:
        return QuarantineStatus.NEEDS_BODY
    gateway = exchange.gateway
    return gateway.quarantine.find_status(fingerprint_exchange(exchange), gateway.now())


def has_strike(exchange: Any) -> bool:
    """Return whether a request counts as one that may crash servers.

    :param exchange: the :class:`~daisylink.request.Exchange` of the request.
    """
    status = check_quarantine(exchange)
    return status in (QuarantineStatus.SUSPECT, QuarantineStatus.QUARANTINED)


def _may_have_strike(exchange: Any) -> bool:
    """Return whether a request with the same head has a strike."""
    quarantine = exchange.gateway.quarantine
    if quarantine.is_empty:
        return False
    head = digest_head(exchange.head, exchange.plan.tenant)
    return quarantine.has_strike_on_head(head)


def refuse_quarantined(exchange: Any, may_have_run: bool = False) -> None:
    """Refuse a request that is quarantined.

    :param exchange: the :class:`~daisylink.request.Exchange` of the request.
    :param may_have_run: whether an earlier attempt may have run the request.
    """
    code = ResultCode.REQUEST_QUARANTINED
    if may_have_run:
        exchange.fail(code)
        return
    gateway = exchange.gateway
    fingerprint = fingerprint_exchange(exchange)
    retry_ms = gateway.quarantine.retry_ms(fingerprint, gateway.now())
    exchange.send_refusal(make_refusal(code, retry_ms))


class EntryCheck:
    """The check of a request at the node where it enters, before each attempt.

    :param sender: the :class:`~daisylink.request.RequestSender` of the request.
    """

    def __init__(self, sender: Any):
        self.sender = sender
        self.awaits_body = False
        # Record of the only node that the request may be sent to, None for any.
        self.trial_node: Any = None

    def passes(self) -> bool:
        """Return whether an attempt may be made now.

        Otherwise the request is refused, or waits for its body.
        """
        exchange = self.sender.exchange
        self.trial_node = None
        match check_quarantine(exchange):
            case QuarantineStatus.QUARANTINED:
                self.trial_node = self._find_trial_node()
                if self.trial_node is not None:
                    return True
                refuse_quarantined(exchange, may_have_run=self.sender.head_sent)
                return False
            case QuarantineStatus.NEEDS_BODY:
                self.awaits_body = True
                exchange.send_continue()
                return False
        return True

    def _find_trial_node(self) -> Any:
        """Return the record of the node that may try the request, None without one.

        Only the first attempt of a request may be a trial.
        """
        if self.sender.attempt > 1:
            return None
        exchange = self.sender.exchange
        trials, now = exchange.gateway.trials, exchange.gateway.now()
        return trials.find_node(fingerprint_exchange(exchange), exchange.plan.pool, now)

    def end_wait(self) -> bool:
        """End the wait for the body; return whether the request waited for it."""
        awaited, self.awaits_body = self.awaits_body, False
        return awaited
