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
from daisylink.process._records import MemberRecord, ServerState


class SlotSettings(NamedTuple):
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
    """

    address: str
    pool: str
    slots: int = 0
    state: ServerState = ServerState.SERVING


class Slot:
    """State of the own backend server."""

    def __init__(self, settings: SlotSettings):
        self.settings = settings
        self.announcement: Announcement | None = None
        self.expires = float("inf")
        self.returns: deque[float] = deque()
        self.kept_out_until = float("-inf")
        self.failed = False

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

    def announce(self, announcement: Announcement, now: float) -> None:
        """Take an announcement, which also renews."""
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
        self.announce(self.announcement, now)

    def drain(self) -> None:
        """Take no new work; what runs goes on.

        :raises NodeError: ``ANNOUNCE_INVALID`` if the server is not announced.
        """
        if self.announcement is None:
            raise NodeError("not announced", ResultCode.ANNOUNCE_INVALID)
        self.announcement = self.announcement._replace(state=ServerState.DRAINING)

    def leave(self) -> None:
        """Forget the server."""
        self.announcement = None

    def note_unreachable(self) -> None:
        """Take the server out until it renews: it refused a connection."""
        self.failed = True

    def tick(self, now: float) -> None:
        """End an announcement that was not renewed."""
        if self.announcement is not None and now >= self.expires:
            self.announcement = None
        if now >= self.kept_out_until:
            self.kept_out_until = float("-inf")

    def describe(self, own: MemberRecord, now: float) -> MemberRecord:
        """Return the own record as the slot's state wants it."""
        state = self.state
        if state is ServerState.SERVING and now < self.kept_out_until:
            state = ServerState.STARTING
        pool, slots = "", 0
        if self.announcement is not None:
            pool, slots = self.announcement.pool, self.announcement.slots
        return replace(own, pool=pool, server=state, slots=slots)

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
