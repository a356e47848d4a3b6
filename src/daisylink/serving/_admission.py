"""Admits requests to the own backend server: slots, a short queue and drain.

The load it answers: more work than slots, for seconds, with requests of unequal length
and urgency, some of which are calls of work that already runs. A request is queued only
if it is expected to be answered within its objective; what would be late waits behind
all others, in a short queue of its own; the rest is refused at once.
"""

from collections import deque
from typing import Any, NamedTuple

from daisylink.errors import ResultCode
from daisylink.request import Admitted, Decision, Queued, Refused
from daisylink.version import Priority

PRIORITIES = (Priority.URGENT, Priority.NORMAL, Priority.BULK)
SERVICE_TIME_WEIGHT = 0.1
MS_PER_SECOND = 1000
MIN_RETRY_MS = 50
# Late requests that may wait for each slot: enough to fill a lull, few enough that
# nearly all are served.
LATE_PER_SLOT = 1
# Part of its time that a late request waits for a lull; with the rest its caller can
# still come back.
LATE_PATIENCE_SHARE = 0.5
MAX_KINDS = 1000


class AdmissionLimits(NamedTuple):
    """Limits of the own backend server."""

    slots: int = 1
    connections: int = 1
    queue: int = 0


class Waiting(NamedTuple):
    """A request in the queue.

    :param ticket: what the shell knows the request by.
    :param deadline: when its caller gives up, in seconds of the monotonic clock.
    :param slo_deadline: until when an answer meets its objective.
    :param seconds: expected time in a slot.
    """

    ticket: Any
    priority: Priority
    deadline: float
    slo_deadline: float
    seconds: float

    def is_late(self, now: float) -> bool:
        """Return whether its objective would be missed; nothing urgent counts so."""
        urgent = self.priority is Priority.URGENT
        return not urgent and now + self.seconds > self.slo_deadline


class Admission:
    """Slots and queue of the own backend server."""

    def __init__(self):
        self.limits = AdmissionLimits()
        self.in_use = 0
        self.queues: dict[Priority, deque[Waiting]] = {
            priority: deque() for priority in PRIORITIES
        }
        self.late: deque[Waiting] = deque()
        self.expired: list[Any] = []
        self.service_time = 0.0
        self.service_times: dict[str, float] = {}
        self.closed: ResultCode | None = ResultCode.REQUEST_NO_SERVER

    @property
    def capacity(self) -> int:
        """Return how many requests may run at once."""
        return min(self.limits.slots, self.limits.connections)

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self.queues.values()) + len(self.late)

    @property
    def is_open(self) -> bool:
        """Return whether new work is taken."""
        return self.closed is None

    def open(self, limits: AdmissionLimits) -> None:
        """Take new work within limits."""
        self.limits = limits
        self.closed = None

    def close(self, code: ResultCode) -> list[Any]:
        """Take no new work; return the tickets of those that waited."""
        self.closed = code
        queues = (*self.queues.values(), self.late)
        tickets = [item.ticket for queue in queues for item in queue]
        for queue in queues:
            queue.clear()
        return tickets

    def try_admit(
        self,
        ticket: Any,
        priority: Priority,
        deadline: float,
        now: float,
        slo_deadline: float = float("inf"),
        kind: str = "",
    ) -> Decision:
        """Decide on a new request.

        :param slo_deadline: until when an answer meets the request's objective.
        :param kind: requests of one kind take about the same time in a slot.
        """
        if self.closed is not None:
            return Refused(self.closed)
        if self.in_use < self.capacity:
            self.in_use += 1
            return Admitted()
        seconds = self.service_times.get(kind, self.service_time)
        waiting = Waiting(ticket, priority, deadline, slo_deadline, seconds)
        wait = self._expected_wait(priority)
        if now + wait + seconds >= deadline:
            return self._refuse(waiting, wait, now)
        if waiting.is_late(now + wait):
            return self._queue_late(waiting, wait, now)
        displaced = None
        if self.queued >= self.limits.queue:
            displaced = self._displace(priority)
            if displaced is None:
                return self._refuse(waiting, wait, now)
        self.queues[priority].append(waiting)
        return Queued(displaced, deadline - seconds)

    def release(self, seconds: float, now: float, kind: str = "") -> list[Any]:
        """Free a slot; return the tickets that are admitted in its place.

        :param seconds: how long the request held the slot.
        """
        self._learn(seconds, kind)
        self.in_use -= 1
        admitted = []
        while self.in_use < self.capacity:
            waiting = self._next_waiting(now)
            if waiting is None:
                break
            self.in_use += 1
            admitted.append(waiting.ticket)
        return admitted

    def pop_expired(self) -> list[Any]:
        """Return the tickets that waited and can no longer be answered in time."""
        expired, self.expired = self.expired, []
        return expired

    def withdraw(self, ticket: Any) -> None:
        """Take a request out of the queue: its caller or its time is gone."""
        for queue in (*self.queues.values(), self.late):
            for waiting in queue:
                if waiting.ticket is ticket:
                    queue.remove(waiting)
                    return

    def _learn(self, seconds: float, kind: str) -> None:
        self.service_time += SERVICE_TIME_WEIGHT * (seconds - self.service_time)
        known = self.service_times.get(kind, seconds)
        if len(self.service_times) >= MAX_KINDS:
            self.service_times.clear()
        learnt = known + SERVICE_TIME_WEIGHT * (seconds - known)
        self.service_times[kind] = learnt

    def _next_waiting(self, now: float) -> Waiting | None:
        """Take the next request out of the queues: late ones only when no other is."""
        for priority in PRIORITIES:
            queue = self.queues[priority]
            while queue:
                waiting = queue.popleft()
                if now + waiting.seconds / 2 >= waiting.deadline:
                    self.expired.append(waiting.ticket)
                elif waiting.is_late(now):
                    self._make_late(waiting)
                else:
                    return waiting
        while self.late:
            waiting = self.late.popleft()
            if now + waiting.seconds / 2 < waiting.deadline:
                return waiting
            self.expired.append(waiting.ticket)
        return None

    def _queue_late(self, waiting: Waiting, wait: float, now: float) -> Decision:
        """Queue a request behind all others, if it is likely to be served there."""
        ahead = sum(item.seconds for item in self.late) / max(1, self.capacity)
        ends = now + self._expected_wait(PRIORITIES[-1]) + ahead + waiting.seconds
        if ends >= waiting.deadline or not self._has_room_for_late():
            return self._refuse(waiting, wait, now)
        self.late.append(waiting)
        patience = (waiting.deadline - now) * LATE_PATIENCE_SHARE
        return Queued(None, now + patience)

    def _make_late(self, waiting: Waiting) -> None:
        """Keep a request that waited too long for a lull, or give it up."""
        if self._has_room_for_late():
            self.late.append(waiting)
        else:
            self.expired.append(waiting.ticket)

    def _has_room_for_late(self) -> bool:
        return len(self.late) < self.capacity * LATE_PER_SLOT

    def _displace(self, priority: Priority) -> Any:
        """Take the newest of the least urgent waiting requests out for another one.

        :returns: its ticket, or None if none is less urgent than ``priority``.
        """
        if self.late:
            return self.late.pop().ticket
        for item in reversed(PRIORITIES[PRIORITIES.index(priority) + 1 :]):
            if self.queues[item]:
                return self.queues[item].pop().ticket
        return None

    def _expected_wait(self, priority: Priority) -> float:
        """Return how long a new request waits: for a slot, and for those ahead."""
        capacity = max(1, self.capacity)
        ahead = PRIORITIES[: PRIORITIES.index(priority) + 1]
        seconds = sum(item.seconds for name in ahead for item in self.queues[name])
        return self.service_time / (capacity + 1) + seconds / capacity

    def _refuse(self, waiting: Waiting, wait: float, now: float) -> Refused:
        """Refuse, and say when a request like this one would fit."""
        room = min(waiting.slo_deadline, waiting.deadline) - now
        retry = max(0.0, wait + waiting.seconds - room)
        retry_ms = max(MIN_RETRY_MS, round(retry * MS_PER_SECOND))
        return Refused(ResultCode.REQUEST_OVERLOADED, retry_ms)
