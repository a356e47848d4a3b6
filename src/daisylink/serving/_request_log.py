"""Writes the log line of a finished request."""

from typing import Any

from daisylink.logs import get_logger, line_gate

MS_PER_SECOND = 1000

log = get_logger("request")


def log_request_end(exchange: Any, code: str, now: float) -> None:
    """Log how a request ended and the attempts that led there.

    :param exchange: the :class:`~daisylink.request.Exchange`.
    :param code: ``ok``, ``error`` for a server's own 5xx response, ``cancelled``,
        ``cut`` or a result code.
    :param now: seconds of the monotonic clock.
    """
    level = "DEBUG" if code == "ok" else "INFO"
    if not line_gate.may_log(level):
        return
    plan, sender = exchange.plan, exchange.sender
    fields = {
        "request": exchange.head.request_id.decode("latin-1"),
        "outcome": code,
        "ms": round((now - exchange.started_at) * MS_PER_SECOND, 1),
        "at_slot": exchange.is_relay,
        "trail": sender.trail,
        "last": sender.choice,
    }
    if plan is not None:
        fields["pool"] = plan.pool
        fields["route"] = plan.route
        fields["version"] = plan.version
        fields["left_ms"] = round((plan.deadline - now) * MS_PER_SECOND)
        if plan.tenant:
            fields["tenant"] = plan.tenant
    else:
        # Which keys were known decides about a request that was refused with 401.
        fields["version"] = exchange.gateway.version_number
    if sender.server_instance:
        fields["instance"] = sender.server_instance
    refusal = exchange.refusal
    if refusal is not None:
        fields["refused"] = refusal.code.name
        fields["ran"] = refusal.outcome.value
        fields["retry_ms"] = refusal.retry_ms
    elif exchange.response.started:
        fields["status"] = exchange.response.status
    log.bind(**fields).log(level, "request ended")
