"""The wait of one request for a slot of the local backend server."""

import asyncio
from typing import Any

from daisylink.errors import ResultCode
from daisylink.request._decision import Admitted, Queued, Refused

DISPLACED_RETRY_MS = 200
# Time for a refusal to reach the entry node over a slow or lossy link.
ANSWER_SECONDS = 0.05


class SlotWait:
    """Asks admission for a slot and waits for it no longer than is of use.

    :param sender: the :class:`~daisylink.request.RequestSender` that needs the slot.
    """

    def __init__(self, sender: Any):
        self.sender = sender
        self.is_queued = False
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Run the request if a slot is free; otherwise wait, or refuse the attempt."""
        sender = self.sender
        gateway = sender.gateway
        if not sender.may_wait and not gateway.server_health.may_try(gateway.now()):
            sender.refuse_attempt(ResultCode.REQUEST_NO_FREE_SLOT)
            return
        if not gateway.version_gate.try_admit():
            sender.refuse_attempt(ResultCode.REQUEST_VERSION_HELD)
            return
        match gateway.slots.try_admit(sender, sender.exchange.plan, sender.may_wait):
            case Admitted():
                sender.run_locally()
            case Queued(displaced, expires):
                self.is_queued = True
                self._limit(expires)
                if displaced is not None:
                    displaced.refuse_attempt(
                        ResultCode.REQUEST_OVERLOADED, DISPLACED_RETRY_MS
                    )
            case Refused(code, retry_ms):
                sender.refuse_attempt(code, retry_ms)

    def end(self) -> None:
        """End the wait because a slot was granted."""
        self.is_queued = False

    def cancel(self) -> None:
        """End the wait without a slot."""
        if self.is_queued:
            self.is_queued = False
            self.sender.gateway.admission.withdraw(self.sender)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _limit(self, expires: float) -> None:
        """Refuse the attempt when waiting longer is of no use to its caller."""
        if expires == float("inf"):
            return
        gateway = self.sender.gateway
        now = gateway.now()
        seconds = max(0.0, expires - now)
        if self.sender.is_relay:
            # The entry node must hear that the request was not run before its deadline.
            left = max(0.0, self.sender.exchange.plan.deadline - now)
            seconds = min(seconds, max(left - ANSWER_SECONDS, left / 2))
        self.timer = gateway.loop.call_later(seconds, self._expire)

    def _expire(self) -> None:
        if self.is_queued and not self.sender.exchange.done:
            self.sender.refuse_attempt(ResultCode.REQUEST_DEADLINE_NOT_RUN)
