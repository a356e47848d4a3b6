"""The run of a request at the own backend server: its slot, claim and strikes.

A request runs once it holds a slot, no strike stands against it, and, if it has a key
and is not idempotent, a majority of the key's keepers granted its claim. A request with
one strike waits its turn while another such request runs.
"""

import asyncio
from typing import Any

from daisylink.errors import ResultCode
from daisylink.request._decision import (
    ClaimGranted,
    ClaimKnown,
    ClaimOutcome,
    ClaimRefused,
    QuarantineStatus,
    RunResult,
)
from daisylink.request._fingerprint import Fingerprint, compute_fingerprint, digest_head
from daisylink.request._outcome import make_refusal
from daisylink.request._recording import ResponseRecorder, find_key

KEY_RETRY_MS = 500
SUSPECT_TURN_SECONDS = 0.02


class LocalRun:
    """One attempt to run a request here; a slot is held for it.

    :param exchange: the :class:`~daisylink.request.Exchange` that it belongs to.
    :param since: when the slot was taken, in seconds of the monotonic clock.
    """

    def __init__(self, exchange: Any, since: float):
        self.exchange = exchange
        self.gateway = exchange.gateway
        self.since = since
        self.awaits_claim = False
        self.awaits_body = False
        self.suspect: Fingerprint | None = None
        self.turn: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Send the request, or first wait for what it needs."""
        if not self.gateway.quarantine.is_empty and not self._pass_quarantine():
            return
        exchange = self.exchange
        plan = exchange.plan
        key = None
        if not plan.idempotent and self.gateway.claims_keys:
            key = find_key(exchange.head, plan.pool)
        if key is None:
            exchange.send_to_local_server()
            return
        self.awaits_claim = True
        self.gateway.request_claim(exchange, key)

    def handle_body_complete(self) -> None:
        """Go on, if the whole body was waited for."""
        if self.awaits_body:
            self.awaits_body = False
            self.begin()

    def handle_claim_outcome(self, outcome: ClaimOutcome) -> bool:
        """Take what came of the claim; return whether the request now runs."""
        if not self.awaits_claim:
            return False
        self.awaits_claim = False
        exchange = self.exchange
        match outcome:
            case ClaimGranted():
                exchange.response.recording = ResponseRecorder()
                exchange.send_to_local_server()
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
                exchange.refuse_attempt(code, retry_ms)
        return False

    def compute_fingerprint(self) -> Fingerprint:
        """Return the request's fingerprint, by as much of its body as is kept."""
        exchange = self.exchange
        pieces = exchange.body.pieces
        return compute_fingerprint(exchange.head, exchange.plan.pool, pieces)

    def end(self, fate: RunResult) -> None:
        """Give back what the run held.

        :param fate: what became of the request, for the keepers of its key.
        """
        answer = self.exchange.response
        recording, answer.recording = answer.recording, None
        self.awaits_claim = self.awaits_body = False
        if self.turn is not None:
            self.turn.cancel()
        is_answered = fate is RunResult.ANSWERED
        if recording is not None:
            packed = recording.pack() if is_answered else b""
            self.gateway.complete_claim(self.exchange, fate, packed)
        if self.suspect is not None:
            self.gateway.end_suspect(self.suspect, is_answered)
            self.suspect = None
        self.gateway.free_slot(self.since, self.exchange.plan.route)

    def _pass_quarantine(self) -> bool:
        """Return whether the request may run now, given the strikes against it."""
        exchange = self.exchange
        quarantine = self.gateway.quarantine
        if not quarantine.has_strike_on_head(
            digest_head(exchange.head, exchange.plan.pool)
        ):
            return True
        body = exchange.body
        if not body.done and body.replayable and not body.is_full:
            self.awaits_body = True
            exchange.send_continue()
            return False
        fingerprint = self.compute_fingerprint()
        now = self.gateway.now()
        match quarantine.find_status(fingerprint, now):
            case QuarantineStatus.CLEAR:
                return True
            case QuarantineStatus.QUARANTINED:
                retry_ms = quarantine.retry_ms(fingerprint, now)
                exchange.send_refusal(
                    make_refusal(ResultCode.REQUEST_QUARANTINED, retry_ms)
                )
                return False
            case QuarantineStatus.SUSPECT if quarantine.begin(fingerprint):
                self.suspect = fingerprint
                return True
        self.turn = self.gateway.loop.call_later(SUSPECT_TURN_SECONDS, self.begin)
        return False
