"""The backend server in the node's slot, as its announcements tell.

A backend server announces itself, renews, drains and leaves. One that stops renewing,
or refuses connections, is taken out; one that comes and goes is kept out for longer
each time.
"""

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from msgspec.structs import replace

from daisylink.errors import NodeError, ResultCode
from daisylink.serving._records import MemberRecord, ServerState


class LocalServerSettings(NamedTuple):
    """Times of the watch over the own backend server.

    :param lease: how long an announcement lasts without renewal.
    :param flap_window: within this time, returns of the server are counted.
    :param flap_allowance: returns in the window before the server is kept out.
    :param flap_penalty: how long it is kept out; doubles with each further return.
    :param flap_most: longest time it is kept out.
    """

    lease: timedelta = timedelta(seconds=5)
    flap_window: timedelta = timedelta(seconds=60)
    flap_allowance: int = 3
    flap_penalty: timedelta = timedelta(seconds=5)
    flap_most: timedelta = timedelta(seconds=60)


class Announcement(NamedTuple):
    """What a backend server says of itself.

    :param address: ``ip:port`` where it takes requests.
    :param pool: pool that it runs.
    :param slots: requests that it runs at once, 0 for the pool's number.
    :param state: starting, serving or draining.
    :param instance: name of the server's start, "" if it has none; a later start may
        use it again.
    :param born: when the server started, on its own clock; tells its starts apart.
    :param sequence: grows with each announcement since the start.
    :param cold_left: how much longer the server is slow after its start.
    """

    address: str
    pool: str
    slots: int = 0
    state: ServerState = ServerState.SERVING
    instance: str = ""
    born: int = 0
    sequence: int = 0
    cold_left: timedelta = timedelta(0)


class Departure(NamedTuple):
    """A backend server's word that it leaves; it may serve on for some seconds.

    :param born: when the server started, 0 if it does not say.
    """

    instance: str
    born: int = 0


class LocalServer:
    """State of the own backend server."""

    def __init__(self, settings: LocalServerSettings):
        self.settings = settings
        self.announcement: Announcement | None = None
        self.expires = float("inf")
        self.returns: deque[float] = deque()
        self.kept_out_until = float("-inf")
        self.failed = False
        self.newest = (0, 0)
        self.departed: set[tuple[str, int]] = set()

    @property
    def state(self) -> ServerState:
        """Return the state that the announcements give."""
        if self.announcement is None or self.failed:
            return ServerState.ABSENT
        return self.announcement.state

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due."""
        if self.announcement is None:
            return float("inf")
        if self.kept_out_until > float("-inf"):
            return min(self.expires, self.kept_out_until)
        return self.expires

    def handle_announcement(self, announcement: Announcement, now: float) -> None:
        """Take an announcement, which also renews.

        One that is older than another, or comes from a server that has left, is late
        and changes nothing.
        """
        order = (announcement.born, announcement.sequence)
        if order < self.newest or self._has_departed(announcement):
            return
        self.newest = order
        comes_back = self.state is ServerState.ABSENT
        self.announcement = announcement
        self.failed = False
        self.expires = now + self.settings.lease.total_seconds()
        if comes_back and announcement.state is ServerState.SERVING:
            self._count_return(now)

    def renew(self, now: float) -> None:
        """Extend the announcement.

        :raises NodeError: ``ANNOUNCE_INVALID`` if the server is not announced.
        """
        if self.announcement is None:
            raise NodeError("not announced", ResultCode.ANNOUNCE_INVALID)
        self.handle_announcement(self.announcement, now)

    def drain(self) -> None:
        """Take no new work; what runs goes on.

        :raises NodeError: ``ANNOUNCE_INVALID`` if the server is not announced.
        """
        if self.announcement is None:
            raise NodeError("not announced", ResultCode.ANNOUNCE_INVALID)
        self.announcement = self.announcement._replace(state=ServerState.DRAINING)

    def remove(self) -> None:
        """Forget the server."""
        self.announcement = None

    def handle_departure(self, departure: Departure) -> None:
        """Take no new work for a server that leaves; what runs goes on."""
        if departure.born and departure.born < self.newest[0]:
            return
        self.departed.add((departure.instance, departure.born or self.newest[0]))
        if self.announcement is not None:
            self.drain()

    def record_unreachable(self) -> None:
        """Take the server out until it renews: it refused a connection."""
        self.failed = True

    def tick(self, now: float) -> None:
        """End an announcement that was not renewed."""
        if self.announcement is not None and now >= self.expires:
            self.announcement = None
        if now >= self.kept_out_until:
            self.kept_out_until = float("-inf")

    def update_record(self, own_record: MemberRecord, now: float) -> MemberRecord:
        """Return the own record as the slot's state wants it."""
        state = self.state
        if state is ServerState.SERVING and now < self.kept_out_until:
            state = ServerState.STARTING
        announcement = self.announcement
        if announcement is None:
            return replace(own_record, pool="", server=state, slots=0, instance="")
        return replace(
            own_record,
            pool=announcement.pool,
            server=state,
            slots=announcement.slots,
            instance=announcement.instance,
        )

    def _has_departed(self, announcement: Announcement) -> bool:
        if not announcement.instance:
            return False
        return (announcement.instance, announcement.born) in self.departed

    def _count_return(self, now: float) -> None:
        window = self.settings.flap_window.total_seconds()
        while self.returns and now - self.returns[0] > window:
            self.returns.popleft()
        self.returns.append(now)
        excess = len(self.returns) - self.settings.flap_allowance
        if excess > 0:
            penalty = self.settings.flap_penalty.total_seconds() * 2 ** (excess - 1)
            most = self.settings.flap_most.total_seconds()
            self.kept_out_until = now + min(most, penalty)
