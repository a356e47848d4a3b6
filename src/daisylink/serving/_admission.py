"""Admission control of the local backend server: slots, its rate, a short queue.

It is designed for seconds of overload. A request is queued only if its response is
expected within its objective. A request that would be late waits behind all others in a
short queue of its own. The rest is refused at once. To a server that limits its rate, a
request goes with a free slot and a turn.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from daisylink.errors import ResultCode
from daisylink.request import Admitted, Decision, Queued, Refused
from daisylink.serving._call_reserve import CallReserve
from daisylink.serving._concurrency_limit import ConcurrencyLimit
from daisylink.serving._pacer import Pacer
from daisylink.serving._service_estimates import (
    assume_service_time,
    find_start_margin,
)
from daisylink.serving._slowness import Slowness
from daisylink.serving._waiting_queue import Group, QueuedRequest, WaitingQueue
from daisylink.version import Priority

SERVICE_TIME_WEIGHT = 0.1
# Seconds after which a server that was too slow for a kind of request is tried again.
SERVICE_TIME_LIFETIME = 2.0
MS_PER_SECOND = 1000
MIN_RETRY_MS = 50
# Late requests that may wait for each slot: enough to use idle slots, few enough that
# nearly all are served.
LATE_PER_SLOT = 1
# Share of its remaining time that a late request waits for an idle slot; the rest lets
# its caller retry.
LATE_WAIT_SHARE = 0.5
MAX_KINDS = 1000


class AdmissionLimits(NamedTuple):
    """Limits of the local backend server.

    :param slots: requests that it runs at once.
    :param connections: connections that it accepts.
    :param queue: requests that may wait for a slot.
    """

    slots: int = 1
    connections: int = 1
    queue: int = 0


class Admission:
    """Slots and queues of the local backend server."""

    def __init__(self):
        self.limits = AdmissionLimits()
        self.in_use = 0
        self.queue = WaitingQueue(self.get_service_time)
        self.reserve = CallReserve(self.get_service_time)
        self.late: deque[QueuedRequest] = deque()
        self.expired: list[Any] = []
        self.service_time = 0.0
        self.service_times: dict[str, float] = {}
        self.measured_at: dict[str, float] = {}
        self.closed: ResultCode | None = ResultCode.REQUEST_NO_SERVER
        self.pacer = Pacer()
        # Whether a free slot is kept from all that wait.
        self.is_held_back = False
        self.slowness = Slowness()
        self.concurrency = ConcurrencyLimit()

    @property
    def capacity(self) -> int:
        """Return the number of requests that may run at once."""
        limits = self.limits
        return min(limits.slots, limits.connections, self.concurrency.get(limits.slots))

    @property
    def is_limited(self) -> bool:
        """Return whether fewer may run than the server has slots."""
        return self.capacity < min(self.limits.slots, self.limits.connections)

    @property
    def slots(self) -> int:
        """Return the capacity, at least 1 to divide by."""
        return max(1, self.capacity)

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self.queue) + len(self.late)

    @property
    def is_open(self) -> bool:
        """Return whether new requests are admitted."""
        return self.closed is None

    @property
    def wake_at(self) -> float:
        """Return when :meth:`admit_waiting` is due, in monotonic seconds."""
        if not self.queued or self.in_use >= self.capacity:
            return float("inf")
        if self.is_held_back:
            return float("inf")
        return self.pacer.turn_at

    def open(self, limits: AdmissionLimits) -> None:
        """Admit new requests within the limits."""
        self.limits = limits
        self.closed = None

    def close(self, code: ResultCode) -> list[Any]:
        """Admit no new requests and empty the queues.

        :param code: result code of the requests that arrive from now on.
        :returns: the tickets that were queued.
        """
        self.closed = code
        tickets = self.queue.clear() + [item.ticket for item in self.late]
        self.late.clear()
        return tickets

    def try_admit(
        self,
        ticket: Any,
        priority: Priority,
        deadline: float,
        now: float,
        slo_deadline: float = float("inf"),
        kind: str = "",
        may_wait: bool = True,
        is_call: bool = False,
        tenant: str = "",
    ) -> Decision:
        """Admit, queue or refuse a new request.

        :param ticket: opaque handle of the request, returned by later calls.
        :param deadline: when the request times out, in seconds of the monotonic clock.
        :param now: seconds of the monotonic clock.
        :param slo_deadline: until when a response meets the objective, same clock.
        :param kind: group of requests with about the same service time.
        :param may_wait: whether the request may wait here. If not, it also declines a
            slot of a server that is too slow for its objective.
        :param is_call: whether a request that holds a slot elsewhere waits for it.
        :param tenant: name of the tenant, "" for none.
        :returns: the decision.
        """
        if self.closed is not None:
            return Refused(self.closed)
        is_free = self._can_take_free_slot(kind, is_call, now)
        if not may_wait and not (is_free and self._is_in_time(kind, slo_deadline, now)):
            return Refused(ResultCode.REQUEST_NO_FREE_SLOT)
        seconds = self.get_service_time(kind)
        seconds = seconds or assume_service_time(slo_deadline - now)
        margin = find_start_margin(seconds, slo_deadline - now)
        waiting = QueuedRequest(
            ticket,
            kind,
            priority,
            deadline,
            slo_deadline,
            seconds,
            is_call,
            tenant,
            margin,
        )
        if is_free:
            self._start(waiting, now)
            return Admitted()
        self.is_held_back = self._can_start(now) and not self._has_startable(now)
        return self._queue_or_refuse(waiting, now)

    def release(
        self, seconds: float, now: float, kind: str = "", has_run: bool = True
    ) -> list[Any]:
        """Release a slot.

        :param seconds: how long the request held the slot.
        :param now: seconds of the monotonic clock.
        :param kind: kind of the request that held it.
        :param has_run: whether the server ran it. The short time of a request that it
            rejected would make the server look fast.
        :returns: the tickets that are admitted next.
        """
        if has_run:
            usual_seconds = seconds / self.slowness.average(now - seconds, now)
            self._update_service_times(usual_seconds, kind)
            self.measured_at[kind] = now
        self.in_use -= 1
        self.reserve.end(kind)
        return self.admit_waiting(now)

    def admit_waiting(self, now: float) -> list[Any]:
        """Admit the queued requests that can start now.

        :param now: seconds of the monotonic clock.
        :returns: their tickets.
        """
        admitted = []
        while self._can_start(now):
            waiting = self._pop_next(now)
            if waiting is None:
                break
            self._start(waiting, now)
            admitted.append(waiting.ticket)
        return admitted

    def expect_turn(self, now: float) -> float:
        """Return the seconds that a new request would wait for the server's rate."""
        return self.pacer.expect_wait(now, self.queued)

    def pop_expired(self) -> list[Any]:
        """Return and clear the tickets that were dropped from the queues.

        Their requests would end after the deadline, or were late while the late queue
        was full.
        """
        expired, self.expired = self.expired, []
        return expired

    def withdraw(self, ticket: Any) -> None:
        """Remove a request from its queue."""
        if self.queue.remove(ticket):
            return
        for waiting in self.late:
            if waiting.ticket is ticket:
                self.late.remove(waiting)
                return

    def get_service_time(self, kind: str) -> float:
        """Return the usual service time of a kind in seconds, 0 if none is known.

        It is the time that the server takes while its machine is not slowed.
        """
        return self.service_times.get(kind, 0.0)

    def expect_service(self, kind: str, now: float) -> float:
        """Return the service time of a kind at the present slowness, 0 if unknown."""
        return self.slowness.expect_seconds(self.get_service_time(kind), now)

    def _is_in_time(self, kind: str, slo_deadline: float, now: float) -> bool:
        """Return whether a request that starts now is expected to meet its objective.

        A service time that was measured long ago says little about the server.
        """
        if now - self.measured_at.get(kind, float("-inf")) > SERVICE_TIME_LIFETIME:
            return True
        return now + self.expect_service(kind, now) <= slo_deadline

    def _can_take_free_slot(self, kind: str, is_call: bool, now: float) -> bool:
        """Return whether a new request can start now without going before others."""
        if not self._can_start(now):
            return False
        if not self.reserve.may_start(kind, is_call, self.slots, now):
            return False
        return not self.queued or not self._has_startable(now)

    def _has_startable(self, now: float) -> bool:
        """Return whether a queued request may take a free slot."""
        may_start = self._may_start(now)
        is_late_startable = bool(self.late) and may_start(self.late[0].group)
        return is_late_startable or any(map(may_start, self.queue.groups))

    def _may_start(self, now: float) -> Callable[[Group], bool]:
        """Return a test of whether the requests of a group may take a free slot."""
        slots = self.slots
        return lambda group: self.reserve.may_start(
            group.kind, group.is_call, slots, now
        )

    def _can_start(self, now: float) -> bool:
        return self.in_use < self.capacity and self.pacer.has_turn(now)

    def _start(self, waiting: QueuedRequest, now: float) -> None:
        self.in_use += 1
        self.is_held_back = False
        self.queue.charge(waiting, now)
        self.reserve.begin(waiting.kind, waiting.is_call, waiting.seconds, now)
        self.pacer.take(now)

    def _update_service_times(self, seconds: float, kind: str) -> None:
        self.service_time += SERVICE_TIME_WEIGHT * (seconds - self.service_time)
        previous = self.service_times.get(kind, seconds)
        if len(self.service_times) >= MAX_KINDS:
            self.service_times.clear()
            self.measured_at.clear()
        updated = previous + SERVICE_TIME_WEIGHT * (seconds - previous)
        self.service_times[kind] = updated

    def _pop_next(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request; late ones only if no other is queued."""
        while self.queue:
            waiting = self.queue.pop_first(self.slots, now, self._may_start(now))
            if waiting is None:
                break
            if now + waiting.seconds / 2 >= waiting.deadline:
                self.expired.append(waiting.ticket)
            elif waiting.is_late(now):
                self._move_to_late(waiting)
            else:
                return waiting
        may_start = self._may_start(now)
        while self.late and may_start(self.late[0].group):
            waiting = self.late.popleft()
            if now + waiting.seconds / 2 < waiting.deadline:
                return waiting
            self.expired.append(waiting.ticket)
        self.is_held_back = bool(self.queued)
        return None

    def _queue_or_refuse(self, waiting: QueuedRequest, now: float) -> Decision:
        """Queue a request that cannot start now if it is expected to end in time."""
        seconds = waiting.seconds
        total = self._expected_wait(waiting, now) + seconds
        wait = self.slowness.expect_seconds(total, now) - seconds
        if now + wait + seconds >= waiting.deadline:
            return self._refuse(waiting, wait, now)
        if waiting.is_late(now + wait):
            return self._queue_late(waiting, wait, now)
        displaced = None
        if self.queued >= self.limits.queue:
            displaced = self._displace(waiting)
            if displaced is None:
                return self._refuse(waiting, wait, now)
        self.queue.push(waiting)
        return Queued(displaced, waiting.deadline - seconds)

    def _queue_late(self, waiting: QueuedRequest, wait: float, now: float) -> Decision:
        """Queue a late request behind all others if it is likely to be served there."""
        ahead = sum(item.seconds for item in self.late) / self.slots
        queued = sum(self.queue.seconds.values()) / self.slots
        slot_wait = self._expect_slot(waiting) + queued + ahead
        ends = now + max(slot_wait, self.expect_turn(now)) + waiting.seconds
        if ends >= waiting.deadline or not self._has_room_for_late():
            return self._refuse(waiting, wait, now)
        self.late.append(waiting)
        max_wait = (waiting.deadline - now) * LATE_WAIT_SHARE
        return Queued(None, now + max_wait)

    def _move_to_late(self, waiting: QueuedRequest) -> None:
        """Move a request that has become late to the late queue, or expire it."""
        if self._has_room_for_late():
            self.late.append(waiting)
        else:
            self.expired.append(waiting.ticket)

    def _has_room_for_late(self) -> bool:
        return len(self.late) < self.capacity * LATE_PER_SLOT

    def _displace(self, waiting: QueuedRequest) -> Any:
        """Remove a late request, or the last of the queue if it is less urgent.

        :returns: its ticket, or None.
        """
        if self.late:
            return self.late.pop().ticket
        return self.queue.displace(waiting)

    def _expected_wait(self, waiting: QueuedRequest, now: float) -> float:
        """Return the expected seconds until those ahead have run and it is the turn."""
        seconds, ahead = self.queue.sum_ahead(waiting, self.slots, now)
        slots = self.slots * self.queue.expect_share(waiting, self.slots, now)
        slot_wait = self._expect_slot(waiting) + seconds / slots
        return max(slot_wait, self.pacer.expect_wait(now, ahead))

    def _expect_slot(self, waiting: QueuedRequest) -> float:
        """Return the expected seconds until a slot is free."""
        if self.in_use < self.capacity:
            return 0.0
        return (self.service_time or waiting.seconds) / (self.slots + 1)

    def _refuse(self, waiting: QueuedRequest, wait: float, now: float) -> Refused:
        """Refuse a request and state when a similar one would be in time."""
        room = min(waiting.slo_deadline, waiting.deadline) - now
        retry = max(0.0, wait + waiting.seconds - room)
        retry_ms = max(MIN_RETRY_MS, round(retry * MS_PER_SECOND))
        if self.in_use < self.capacity and self.pacer.is_limited:
            return Refused(ResultCode.REQUEST_RATE_LIMITED, retry_ms)
        return Refused(ResultCode.REQUEST_OVERLOADED, retry_ms)
