"""Gives slots and turns of the local backend server to the requests that wait."""

import asyncio
from collections.abc import Callable

from daisylink.errors import ResultCode
from daisylink.request import Decision, RequestPlan, RequestSender
from daisylink.serving._admission import Admission


class SlotDispatcher:
    """Runs and refuses requests as admission decides, also when a turn is due.

    :param now: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        admission: Admission,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], float],
    ):
        self.admission = admission
        self.loop = loop
        self.now = now
        self.turn_timer: asyncio.TimerHandle | None = None

    def try_admit(
        self, sender: RequestSender, plan: RequestPlan, may_wait: bool
    ) -> Decision:
        """Admit, queue or refuse a request for the local backend server.

        :param may_wait: whether it may wait for a slot.
        """
        decision = self.admission.try_admit(
            sender,
            plan.priority,
            plan.deadline,
            self.now(),
            plan.slo_deadline,
            plan.route,
            may_wait,
            plan.is_call,
            plan.tenant,
        )
        self._schedule_turn()
        return decision

    def free_slot(self, acquired_at: float, kind: str, has_run: bool = True) -> None:
        """Release a slot and run the queued requests that get it.

        :param acquired_at: when it was acquired, in seconds of the monotonic clock.
        :param kind: kind of the request that held it.
        :param has_run: whether the server ran it.
        """
        now = self.now()
        self._run(self.admission.release(now - acquired_at, now, kind, has_run))

    def set_rate(self, rate: float | None) -> None:
        """Limit the requests a second, or end the limit with None."""
        self.admission.pacer.set_rate(rate, self.now())
        self._schedule_turn()

    def close(self) -> None:
        """Give no more turns."""
        if self.turn_timer is not None:
            self.turn_timer.cancel()
            self.turn_timer = None

    def _run(self, admitted: list[RequestSender]) -> None:
        for sender in admitted:
            sender.run_locally()
        for sender in self.admission.pop_expired():
            sender.refuse_attempt(ResultCode.REQUEST_OVERLOADED)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        self.close()
        wake_at = self.admission.wake_at
        if wake_at < float("inf"):
            seconds = max(0.0, wake_at - self.now())
            self.turn_timer = self.loop.call_later(seconds, self._give_turns)

    def _give_turns(self) -> None:
        self.turn_timer = None
        self._run(self.admission.admit_waiting(self.now()))
