"""The order in which requests wait for a slot of the local backend server.

It is designed for overload by requests of unequal duration and urgency, some of which
are calls that a running request waits for. Short kinds of requests go first, weighted
by their priority: a call of 50 ms that waited behind requests of 300 ms would cost its
caller, which holds a slot elsewhere, more than they gain. Requests of a kind are served
in order of arrival.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from daisylink.version import Priority

PRIORITIES = (Priority.URGENT, Priority.NORMAL, Priority.BULK)
# A request waits like an urgent one whose service time is so many times longer.
TIME_FACTORS = {Priority.URGENT: 1.0, Priority.NORMAL: 2.0, Priority.BULK: 4.0}


class QueuedRequest(NamedTuple):
    """A queued request.

    :param ticket: opaque handle of the request.
    :param kind: group of requests with about the same service time.
    :param deadline: when the request times out, in seconds of the monotonic clock.
    :param slo_deadline: until when a response meets the objective, on the same clock.
    :param seconds: expected service time.
    """

    ticket: Any
    kind: str
    priority: Priority
    deadline: float
    slo_deadline: float
    seconds: float

    def is_late(self, now: float) -> bool:
        """Return whether the objective would be missed if it ran now."""
        return now + self.seconds > self.slo_deadline


class _Group(NamedTuple):
    """Requests of one kind and priority that wait in order of arrival."""

    priority: Priority
    kind: str


class WaitingQueue:
    """Queued requests by kind, and which kind goes next.

    :param get_service_time: returns the usual service time of a kind in seconds, 0 if
        unknown; such a kind goes first, so that its time becomes known.
    """

    def __init__(self, get_service_time: Callable[[str], float]):
        self.get_service_time = get_service_time
        self.groups: dict[_Group, deque[QueuedRequest]] = {}

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self.groups.values())

    @property
    def requests(self) -> list[QueuedRequest]:
        """Return the queued requests of all kinds."""
        return [request for waiting in self.groups.values() for request in waiting]

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        group = _Group(request.priority, request.kind)
        self.groups.setdefault(group, deque()).append(request)

    def pop_first(self) -> QueuedRequest:
        """Remove and return the request that goes next."""
        group = min(self.groups, key=self._rank)
        request = self.groups[group].popleft()
        self._drop_if_empty(group)
        return request

    def displace(self, request: QueuedRequest) -> Any:
        """Remove the newest request of the last kind if another one goes before it.

        :returns: its ticket, or None.
        """
        last = max(self.groups, key=self._rank, default=None)
        if last is None:
            return None
        if self._rank(last) <= self._rank(_Group(request.priority, request.kind)):
            return None
        ticket = self.groups[last].pop().ticket
        self._drop_if_empty(last)
        return ticket

    def remove(self, ticket: Any) -> bool:
        """Remove a request; return whether it was queued."""
        for group, waiting in self.groups.items():
            for request in waiting:
                if request.ticket is ticket:
                    waiting.remove(request)
                    self._drop_if_empty(group)
                    return True
        return False

    def clear(self) -> list[Any]:
        """Remove all requests and return their tickets."""
        tickets = [request.ticket for request in self.requests]
        self.groups.clear()
        return tickets

    def list_seconds_ahead(self, request: QueuedRequest) -> list[float]:
        """Return the expected service time of each that goes before a new request."""
        rank = self._rank(_Group(request.priority, request.kind))
        return [
            item.seconds
            for group, waiting in self.groups.items()
            if self._rank(group) <= rank
            for item in waiting
        ]

    def _rank(self, group: _Group) -> tuple[float, int]:
        """Return the position of a kind; lower ranks go first."""
        weighted = self.get_service_time(group.kind) * TIME_FACTORS[group.priority]
        return weighted, PRIORITIES.index(group.priority)

    def _drop_if_empty(self, group: _Group) -> None:
        if not self.groups[group]:
            del self.groups[group]
