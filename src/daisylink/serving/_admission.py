"""Admits requests to the own backend server: slots, a short queue and drain."""

from collections import deque
from typing import Any, NamedTuple

from daisylink.errors import ResultCode
from daisylink.request import Admitted, Decision, Queued, Refused
from daisylink.version import Priority

PRIORITIES = (Priority.URGENT, Priority.NORMAL, Priority.BULK)
SERVICE_TIME_WEIGHT = 0.1
MILLISECONDS = 1000
MIN_RETRY_MS = 50
LOAD_PARTS = 3


class Limits(NamedTuple):
    """Limits of the own backend server."""

    slots: int = 1
    connections: int = 1
    queue: int = 0


class Waiting(NamedTuple):
    """A request in the queue.

    :param ticket: what the shell knows the request by.
    """

    ticket: Any
    deadline: float


class Admission:
    """Slots and queue of the own backend server."""

    def __init__(self):
        self.limits = Limits()
        self.in_use = 0
        self.queues: dict[Priority, deque[Waiting]] = {
            priority: deque() for priority in PRIORITIES
        }
        self.service_time = 0.0
        self.server_waiting = 0
        self.closed: ResultCode | None = ResultCode.REQUEST_NO_SERVER

    @property
    def capacity(self) -> int:
        """Return how many requests may run at once."""
        return min(self.limits.slots, self.limits.connections)

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self.queues.values())

    @property
    def is_open(self) -> bool:
        """Return whether new work is taken."""
        return self.closed is None

    def open(self, limits: Limits) -> None:
        """Take new work within limits."""
        self.limits = limits
        self.closed = None

    def close(self, code: ResultCode) -> list[Any]:
        """Take no new work; return the tickets of those that waited."""
        self.closed = code
        tickets = [item.ticket for queue in self.queues.values() for item in queue]
        for queue in self.queues.values():
            queue.clear()
        return tickets

    def arrive(
        self, ticket: Any, priority: Priority, deadline: float, now: float
    ) -> Decision:
        """Decide on a new request."""
        if self.closed is not None:
            return Refused(self.closed)
        if self.in_use < self.capacity:
            self.in_use += 1
            return Admitted()
        wait = self._expected_wait(self._count_ahead(priority) + 1)
        if now + wait >= deadline:
            return Refused(ResultCode.REQUEST_OVERLOADED, self._retry_ms(wait))
        displaced = None
        if self.queued >= self.limits.queue:
            displaced = self._displace(priority)
            if displaced is None:
                return Refused(ResultCode.REQUEST_OVERLOADED, self._retry_ms(wait))
        self.queues[priority].append(Waiting(ticket, deadline))
        return Queued(displaced)

    def finish(self, seconds: float, now: float) -> list[Any]:
        """Free a slot; return the tickets that are admitted in its place.

        :param seconds: how long the request held the slot.
        """
        self.service_time += SERVICE_TIME_WEIGHT * (seconds - self.service_time)
        self.in_use -= 1
        admitted = []
        while self.in_use < self.capacity:
            waiting = self._next_waiting(now)
            if waiting is None:
                break
            self.in_use += 1
            admitted.append(waiting.ticket)
        return admitted

    def note_server_load(self, text: bytes) -> None:
        """Note the load that the server states: running, waiting and slots."""
        parts = text.split(b",")
        if len(parts) == LOAD_PARTS and all(part.strip().isdigit() for part in parts):
            self.server_waiting = int(parts[1])

    def withdraw(self, ticket: Any) -> None:
        """Take a request out of the queue: its caller or its time is gone."""
        for queue in self.queues.values():
            for waiting in queue:
                if waiting.ticket is ticket:
                    queue.remove(waiting)
                    return

    def _next_waiting(self, now: float) -> Waiting | None:
        for priority in PRIORITIES:
            queue = self.queues[priority]
            while queue:
                waiting = queue.popleft()
                if waiting.deadline > now:
                    return waiting
        return None

    def _count_ahead(self, priority: Priority) -> int:
        """Return how many waiting requests go before a new one."""
        ahead = PRIORITIES[: PRIORITIES.index(priority) + 1]
        return sum(len(self.queues[item]) for item in ahead)

    def _displace(self, priority: Priority) -> Any:
        """Take the newest of the least urgent waiting requests out for another one.

        :returns: its ticket, or None if none is less urgent than ``priority``.
        """
        for item in reversed(PRIORITIES[PRIORITIES.index(priority) + 1 :]):
            if self.queues[item]:
                return self.queues[item].pop().ticket
        return None

    def _expected_wait(self, place: int) -> float:
        return place * self.service_time / max(1, self.capacity)

    def _retry_ms(self, wait: float) -> int:
        return max(MIN_RETRY_MS, round(wait * MILLISECONDS))
