"""The order in which requests wait for a slot of the local backend server.

It is designed for overload by requests of unequal duration and urgency, some of which
are calls that a running request waits for. Such calls go first: their parents hold a
slot elsewhere. After them go short kinds of requests, weighted by their priority, which
is the order of what a request earns for a second of a slot. Requests of a kind are
served in the order in which their objectives end, which is that of their first
attempts: one that returns goes before newer ones. A group that has had hardly any slots
of late goes before all others.
"""

from bisect import bisect_right, insort
from collections.abc import Callable
from typing import Any, NamedTuple

from daisylink.serving._slot_shares import SlotShares
from daisylink.version import Priority

PRIORITIES = (Priority.URGENT, Priority.NORMAL, Priority.BULK)
# A request waits like an urgent one whose service time is so many times longer.
TIME_FACTORS = {Priority.URGENT: 1.0, Priority.NORMAL: 2.0, Priority.BULK: 4.0}
# Share of the slots that a group is expected to get at least, however many others go
# before it.
MIN_EXPECTED_SHARE = 0.05


class QueuedRequest(NamedTuple):
    """A queued request.

    :param ticket: opaque handle of the request.
    :param kind: group of requests with about the same service time.
    :param deadline: when the request times out, in seconds of the monotonic clock.
    :param slo_deadline: until when a response meets the objective, on the same clock.
    :param seconds: expected service time.
    :param is_call: whether a request that holds a slot elsewhere waits for this one.
    :param tenant: name of the tenant, "" for none.
    :param margin: seconds by which it should start early, as it may take longer.
    """

    ticket: Any
    kind: str
    priority: Priority
    deadline: float
    slo_deadline: float
    seconds: float
    is_call: bool = False
    tenant: str = ""
    margin: float = 0.0

    def is_late(self, now: float) -> bool:
        """Return whether the objective would be missed if it ran now."""
        return now + self.seconds + self.margin > self.slo_deadline

    @property
    def group(self) -> "Group":
        """Return the group in which it waits."""
        return Group(self.is_call, self.priority, self.kind, self.tenant)


class Group(NamedTuple):
    """Requests that wait in the order in which their objectives end."""

    is_call: bool
    priority: Priority
    kind: str
    tenant: str


def _get_slo_deadline(request: QueuedRequest) -> float:
    return request.slo_deadline


class WaitingQueue:
    """Queued requests by group, and which group goes next.

    :param get_service_time: returns the usual service time of a kind in seconds, 0 if
        unknown; such a kind goes first, so that its time becomes known.
    """

    def __init__(self, get_service_time: Callable[[str], float]):
        self.get_service_time = get_service_time
        self.groups: dict[Group, list[QueuedRequest]] = {}
        # Expected service time of each group's requests together.
        self.seconds: dict[Group, float] = {}
        self.shares = SlotShares()
        # Of all tenants together, so that a decision does not grow with their number.
        self.kind_shares = SlotShares()

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self.groups.values())

    @property
    def requests(self) -> list[QueuedRequest]:
        """Return the queued requests of all groups."""
        return [request for waiting in self.groups.values() for request in waiting]

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        group = request.group
        insort(self.groups.setdefault(group, []), request, key=_get_slo_deadline)
        self.seconds[group] = self.seconds.get(group, 0.0) + request.seconds

    def pop_first(
        self,
        slots: int,
        now: float,
        may_start: Callable[[Group], bool] = lambda _: True,
    ) -> QueuedRequest | None:
        """Remove and return the request that goes next, None if none may start.

        :param slots: slots of the server.
        :param now: seconds of the monotonic clock.
        :param may_start: whether requests of a group may start.
        """
        count = len(self.groups)
        groups = [item for item in self.groups if may_start(item)]
        if not groups:
            return None
        group = groups[0]
        if len(groups) > 1:
            group = min(
                groups,
                key=lambda item: (
                    not self.shares.is_due(item, slots, count, now),
                    self._rank(item),
                    self.shares.count_slots(item, now),
                ),
            )
        return self._take(group, 0)

    def charge(self, request: QueuedRequest, now: float) -> None:
        """Count the slot that a request takes.

        :param now: seconds of the monotonic clock.
        """
        group = request.group
        self.shares.charge(group, request.seconds, now)
        self.kind_shares.charge(group._replace(tenant=""), request.seconds, now)

    def displace(self, request: QueuedRequest) -> Any:
        """Remove the newest request of the last group if another one goes before it.

        :returns: its ticket, or None.
        """
        last = max(self.groups, key=self._rank, default=None)
        if last is None:
            return None
        newest = self.groups[last][-1]
        rank, new_rank = self._rank(last), self._rank(request.group)
        is_older = last == request.group and request.slo_deadline < newest.slo_deadline
        if rank <= new_rank and not is_older:
            return None
        return self._take(last, -1).ticket

    def remove(self, ticket: Any) -> bool:
        """Remove a request; return whether it was queued."""
        for group, waiting in self.groups.items():
            for index, request in enumerate(waiting):
                if request.ticket is ticket:
                    self._take(group, index)
                    return True
        return False

    def clear(self) -> list[Any]:
        """Remove all requests and return their tickets."""
        tickets = [request.ticket for request in self.requests]
        self.groups.clear()
        self.seconds.clear()
        return tickets

    def sum_ahead(
        self, request: QueuedRequest, slots: int, now: float
    ) -> tuple[float, int]:
        """Return the expected service time and number of those before a new request.

        :param slots: slots of the server.
        :param now: seconds of the monotonic clock.
        """
        own = request.group
        rank = self._rank(own)
        is_due = self.shares.is_due(own, slots, len(self.groups) + 1, now)
        seconds, count = 0.0, 0
        for group, waiting in self.groups.items():
            if group == own:
                # Groups are kept in order, so that a refusal need not look at each.
                found = bisect_right(
                    waiting, request.slo_deadline, key=_get_slo_deadline
                )
            elif not is_due and self._rank(group) <= rank:
                found = len(waiting)
            else:
                continue
            seconds += self.seconds[group] * found / len(waiting)
            count += found
        return seconds, count

    def expect_share(self, request: QueuedRequest, slots: int, now: float) -> float:
        """Return the share of the slots that is left by those that go before.

        :param slots: slots of the server.
        :param now: seconds of the monotonic clock.
        """
        rank = self._rank(request.group)
        taken = sum(
            self.kind_shares.count_slots(group, now)
            for group in self.kind_shares.used
            if self._rank(group) < rank
        )
        return max(MIN_EXPECTED_SHARE, 1 - taken / slots)

    def _rank(self, group: Group) -> tuple[bool, float, int]:
        """Return the position of a group; lower ranks go first."""
        weighted = self.get_service_time(group.kind) * TIME_FACTORS[group.priority]
        return not group.is_call, weighted, PRIORITIES.index(group.priority)

    def _take(self, group: Group, index: int) -> QueuedRequest:
        """Remove and return a request of a group."""
        request = self.groups[group].pop(index)
        if self.groups[group]:
            self.seconds[group] -= request.seconds
        else:
            del self.groups[group]
            del self.seconds[group]
        return request
