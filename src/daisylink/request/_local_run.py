"""Runs a request at the local backend server: slot, quarantine and key claim.

A request runs once it holds a slot, quarantine allows it and, if it has an idempotency
key and its route is not idempotent, a majority of the key's replicas granted its claim.
A request suspected of crashing servers waits while another suspect runs.
"""

import asyncio
from typing import Any

from daisylink.errors import ResultCode
from daisylink.logs import get_logger
from daisylink.request._decision import (
    ClaimGranted,
    ClaimKnown,
    ClaimOutcome,
    ClaimRefused,
    QuarantineStatus,
    RunResult,
)
from daisylink.request._fingerprint import Fingerprint
from daisylink.request._outcome import NOT_RUN_STATUSES, make_refusal
from daisylink.request._quarantine_check import (
    check_quarantine,
    fingerprint_exchange,
    has_strike,
    refuse_quarantined,
)
from daisylink.request._recording import ResponseRecorder, find_key

KEY_RETRY_MS = 500
SUSPECT_RETRY_SECONDS = 0.02

log = get_logger("request")


class LocalRun:
    """One attempt to run a request at this node, which holds a slot.

    :param sender: the :class:`~daisylink.request.RequestSender` that it belongs to.
    :param acquired_at: when the slot was acquired, in seconds of the monotonic clock.
    """

    def __init__(self, sender: Any, acquired_at: float):
        self.sender = sender
        self.exchange = sender.exchange
        self.gateway = sender.gateway
        self.acquired_at = acquired_at
        self.sent_at: float | None = None
        self.awaits_claim = False
        self.awaits_body = False
        self.is_sent = False
        self.suspect: Fingerprint | None = None
        self.retry_timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Send the request, after quarantine and the claim of its key if needed."""
        if not self._check_quarantine():
            return
        exchange = self.exchange
        plan = exchange.plan
        key = None
        if not plan.idempotent and self.gateway.claims_keys:
            key = find_key(exchange.head, plan.pool, plan.tenant)
        if key is None:
            self._send()
            return
        self.awaits_claim = True
        self.gateway.request_claim(exchange, key)

    def handle_body_recognizable(self) -> None:
        """Continue if the run waited for the content of the body."""
        if self.awaits_body:
            self.awaits_body = False
            self.begin()

    def handle_claim_outcome(self, outcome: ClaimOutcome) -> bool:
        """Handle the outcome of the claim.

        :returns: whether the request now runs.
        """
        if not self.awaits_claim:
            return False
        self.awaits_claim = False
        exchange = self.exchange
        match outcome:
            case ClaimGranted():
                exchange.response.recording = ResponseRecorder()
                self._send()
                return True
            case ClaimKnown(_, answer) if answer:
                exchange.replay(answer)
            case ClaimKnown(True, _):
                exchange.send_refusal(make_refusal(ResultCode.REQUEST_KEY_DONE))
            case ClaimKnown():
                exchange.send_refusal(
                    make_refusal(ResultCode.REQUEST_KEY_RUNNING, KEY_RETRY_MS)
                )
            case ClaimRefused(code, retry_ms):
                self.sender.refuse_attempt(code, retry_ms)
        return False

    def record_response(self, failed: bool) -> None:
        """Record that the server has answered, for the rollout of its version."""
        sent_at, self.sent_at = self.sent_at, None
        if sent_at is not None:
            seconds = self.gateway.now() - sent_at
            kind = self.exchange.plan.route
            self.gateway.version_gate.record_response(kind, failed, seconds)

    def record_lost(self) -> None:
        """Record that the server lost the connection of this run."""
        self.sent_at = None
        self.gateway.version_gate.record_lost(self.exchange.plan.route)

    def end(self, result: RunResult) -> None:
        """Release the slot, the claim and the turn in quarantine.

        :param result: how the run ended, for the replicas of the request's key.
        """
        forwarded = self.exchange.response
        recording, forwarded.recording = forwarded.recording, None
        self.awaits_claim = self.awaits_body = False
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        is_answered = result is RunResult.ANSWERED
        has_run = result is not RunResult.NOT_RUN
        if self.sent_at is not None and has_run:
            seconds = self.gateway.now() - self.sent_at
            self.gateway.version_gate.record_given_up(self.exchange.plan.route, seconds)
            self.sent_at = None
        if recording is not None:
            packed = recording.pack() if is_answered else b""
            self.gateway.complete_claim(self.exchange, result, packed)
        self._end_quarantine(is_answered)
        if self.is_sent:
            request_id = self.exchange.head.request_id
            self.gateway.running.end(request_id, is_answered, self.gateway.now())
        kind = self.exchange.plan.route
        self.gateway.slots.free_slot(self.acquired_at, kind, has_run)

    def _begin_trial(self) -> bool:
        """Return whether a quarantined request runs as a trial; refuse it if not."""
        exchange = self.exchange
        fingerprint = fingerprint_exchange(exchange)
        now = self.gateway.now()
        if self.gateway.trials.begin(fingerprint, exchange.plan.pool, now):
            self.suspect = fingerprint
            log.bind(request=exchange.head.request_id.decode("latin-1")).info(
                "a quarantined request is tried again"
            )
            return True
        refuse_quarantined(exchange)
        return False

    def _end_quarantine(self, is_answered: bool) -> None:
        """Pardon a request that the server has run to its end.

        Strikes may have arrived only after the run began.
        """
        has_run = is_answered and self.exchange.response.status not in NOT_RUN_STATUSES
        if self.suspect is not None:
            self.gateway.quarantine.end(self.suspect)
        if has_run and has_strike(self.exchange):
            fingerprint = fingerprint_exchange(self.exchange)
            self.gateway.trials.record_answered(fingerprint)
            self.gateway.on_suspect_answered(fingerprint)
        self.suspect = None

    def _send(self) -> None:
        self.is_sent = True
        exchange = self.exchange
        self.gateway.running.begin(exchange.head.request_id, exchange.plan)
        self.sender.send_to_local_server()

    def _check_quarantine(self) -> bool:
        """Return whether quarantine lets the request run now.

        Otherwise the request is refused, or :meth:`begin` is called again later.
        """
        exchange = self.exchange
        match check_quarantine(exchange):
            case QuarantineStatus.CLEAR:
                return True
            case QuarantineStatus.NEEDS_BODY:
                self.awaits_body = True
                exchange.send_continue()
                return False
            case QuarantineStatus.QUARANTINED:
                return self._begin_trial()
        fingerprint = fingerprint_exchange(exchange)
        if self.gateway.quarantine.begin(fingerprint):
            self.suspect = fingerprint
            return True
        self.retry_timer = self.gateway.loop.call_later(
            SUSPECT_RETRY_SECONDS, self.begin
        )
        return False
