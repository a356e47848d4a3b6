"""State of the local backend server, from its announcements.

A backend server announces itself, renews its announcement, drains and leaves. It is
taken out of service if it stops renewing or refuses connections. A server that flaps is
kept out of service for longer each time. A start of a server that has said it drains or
leaves gets no new requests again, whatever arrives late.
"""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from msgspec.structs import replace

from daisylink.errors import NodeError, ResultCode
from daisylink.serving._records import MemberRecord, ServerStart, ServerState

# Servers at one address follow each other seconds apart, so that announcements of older
# ones are no longer under way.
MAX_DEPARTURES = 16


class LocalServerSettings(NamedTuple):
    """Lease and flap damping of the local backend server.

    :param lease: how long an announcement lasts without renewal.
    :param flap_window: time window in which returns to service are counted.
    :param flap_allowance: returns in the window that have no penalty.
    :param flap_penalty: first time out of service; doubles with each further return.
    :param max_flap_penalty: maximum time out of service.
    """

    lease: timedelta = timedelta(seconds=5)
    flap_window: timedelta = timedelta(seconds=60)
    flap_allowance: int = 3
    flap_penalty: timedelta = timedelta(seconds=5)
    max_flap_penalty: timedelta = timedelta(seconds=60)


class Announcement(NamedTuple):
    """Announcement of a backend server.

    :param address: ``ip:port`` on which it accepts requests.
    :param pool: pool that it belongs to.
    :param slots: requests that it runs at once, 0 for the pool's number.
    :param state: starting, serving or draining.
    :param instance: name of this start of the server, "" if it has none; a later start
        may reuse it.
    :param born: start time on the server's own clock; distinguishes its starts.
    :param sequence: increases with each announcement since the start.
    :param cold_left: remaining time in which the server is slow after its start.
    :param software_version: version of the server's software, "" if not stated.
    """

    address: str
    pool: str
    slots: int = 0
    state: ServerState = ServerState.SERVING
    instance: str = ""
    born: int = 0
    sequence: int = 0
    cold_left: timedelta = timedelta(0)
    software_version: str = ""


class Departure(NamedTuple):
    """Message of a backend server that leaves; it may serve for some seconds more.

    :param instance: name of the server's start, as in its announcement.
    :param born: start time of the server, 0 if not stated.
    """

    instance: str
    born: int = 0


class AnnouncementResult(Enum):
    """What became of an announcement."""

    APPLIED = "applied"
    OLDER = "older"
    DEPARTED = "departed"


class LocalServer:
    """State of the local backend server.

    :param awaits_departures: whether the server is not taken into service before
        :meth:`end_restore`, because a former process may have acknowledged a departure.
    """

    def __init__(self, settings: LocalServerSettings, awaits_departures: bool = False):
        self.settings = settings
        self.awaits_departures = awaits_departures
        self.announcement: Announcement | None = None
        self.expires = float("inf")
        self.cold_until = float("-inf")
        self.returns: deque[float] = deque()
        self.kept_out_until = float("-inf")
        self.failed = False
        self.newest = (0, 0)
        # Whether it has yet to be shown that the server has not left, and whether
        # another node that knows it may still tell.
        self.needs_proof = False
        self.awaits_witness = False
        # The first announcement heard of the present start, and whether another one
        # came after it.
        self.first_heard: Announcement | None = None
        self.is_renewed = False
        # Birth of the last start that drains or left, by instance, the latest last.
        self.departed: dict[str, int] = {}

    @property
    def state(self) -> ServerState:
        """Return the server's state according to its announcements."""
        if self.announcement is None or self.failed:
            return ServerState.ABSENT
        return self.announcement.state

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in seconds of the monotonic clock."""
        if self.announcement is None:
            return float("inf")
        if self.kept_out_until > float("-inf"):
            return min(self.expires, self.kept_out_until)
        return self.expires

    @property
    def departures(self) -> tuple[ServerStart, ...]:
        """Return the starts that must not get new requests again, nor earlier ones."""
        return tuple(ServerStart(*item) for item in self.departed.items())

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> AnnouncementResult:
        """Handle an announcement, which also renews the lease.

        Late announcements are ignored: those older than another one and those of a
        server that has left.

        :returns: whether it was applied, or why it was ignored.
        """
        is_draining = announcement.state is ServerState.DRAINING
        if is_draining and announcement.instance:
            self._record_departed(ServerStart(announcement.instance, announcement.born))
        order = (announcement.born, announcement.sequence)
        if order < self.newest:
            return AnnouncementResult.OLDER
        if not is_draining and self._has_departed(announcement):
            return AnnouncementResult.DEPARTED
        self.newest = order
        self._note_heard(announcement)
        is_return = self.state is ServerState.ABSENT
        self.announcement = announcement
        self.failed = False
        self.expires = now + self.settings.lease.total_seconds()
        self.cold_until = now + announcement.cold_left.total_seconds()
        if is_return and announcement.state is ServerState.SERVING:
            self._count_return(now)
        return AnnouncementResult.APPLIED

    def renew(self, now: float) -> None:
        """Renew the lease of the announcement.

        :raises NodeError: ``ANNOUNCE_INVALID`` if the server is not announced.
        """
        if self.announcement is None:
            raise NodeError(
                "no backend server is announced", ResultCode.ANNOUNCE_INVALID
            )
        self.handle_announcement(self.announcement, now)

    def drain(self) -> None:
        """Accept no new requests; running ones finish.

        :raises NodeError: ``ANNOUNCE_INVALID`` if the server is not announced.
        """
        if self.announcement is None:
            raise NodeError(
                "no backend server is announced", ResultCode.ANNOUNCE_INVALID
            )
        self.announcement = self.announcement._replace(state=ServerState.DRAINING)

    def remove(self) -> None:
        """Forget the server."""
        self.announcement = None

    def handle_departure(self, departure: Departure, left_ms: int) -> ServerStart:
        """Handle a departure: accept no new requests; running ones finish.

        The server may be one that this process never saw, because the process started
        after the server's last announcement, or one that another server has replaced.

        :param left_ms: wall-clock time of the departure in milliseconds, before which
            a server of unknown birth was born.
        :returns: the start that leaves.
        """
        announcement = self.announcement
        is_announced = (
            announcement is not None and announcement.instance == departure.instance
        )
        born = departure.born or (announcement.born if is_announced else 0)
        if born and announcement is not None and born >= announcement.born:
            self.drain()
        return self._record_departed(ServerStart(departure.instance, born or left_ms))

    def handle_leaving_response(self, start: ServerStart) -> bool:
        """Handle a response in which a start of the server says that it leaves.

        :returns: whether that was not known before.
        """
        if start.born <= self.departed.get(start.instance, -1):
            return False
        self._record_departed(start)
        announcement = self.announcement
        if announcement is not None and self._has_departed(announcement):
            self.drain()
        return True

    def restore_departures(self, starts: Iterable[ServerStart]) -> None:
        """Add the departures that a former process has acknowledged."""
        for start in starts:
            self._record_departed(start)
        announcement = self.announcement
        if announcement is not None and self._has_departed(announcement):
            self.drain()

    def end_restore(self, is_complete: bool = True) -> None:
        """Take the server into service if it is announced and has not left.

        :param is_complete: whether all departures are known; otherwise other nodes are
            asked, and the server has to be announced twice, as a late announcement may
            be its last one.
        """
        self.awaits_departures = False
        self.needs_proof = self.awaits_witness = not is_complete

    def end_witness_wait(self) -> None:
        """Handle that another node has told what it knows, or that none does."""
        self.awaits_witness = False
        self._check_proof()

    def record_unreachable(self) -> None:
        """Take a server that refused a connection out of service until it renews."""
        self.failed = True

    def tick(self, now: float) -> None:
        """End an announcement or a flap penalty that has expired."""
        if self.announcement is not None and now >= self.expires:
            self.announcement = None
        if now >= self.kept_out_until:
            self.kept_out_until = float("-inf")

    def update_record(self, own_record: MemberRecord, now: float) -> MemberRecord:
        """Return the node's record, updated with the server's state."""
        state = self.state
        is_doubted = self.awaits_departures or self.needs_proof
        if state is ServerState.SERVING and (is_doubted or now < self.kept_out_until):
            state = ServerState.STARTING
        announcement = self.announcement
        if announcement is None:
            return replace(
                own_record,
                pool="",
                server=state,
                slots=0,
                instance="",
                born=0,
                software_version="",
            )
        return replace(
            own_record,
            pool=announcement.pool,
            server=state,
            slots=announcement.slots,
            instance=announcement.instance,
            born=announcement.born,
            software_version=announcement.software_version,
        )

    def _note_heard(self, announcement: Announcement) -> None:
        first = self.first_heard
        if first is None or first.born != announcement.born:
            self.first_heard = announcement
            self.is_renewed = False
        elif announcement.sequence > first.sequence:
            self.is_renewed = True
        self._check_proof()

    def _check_proof(self) -> None:
        """Accept a second announcement once no node is left to ask."""
        if self.is_renewed and not self.awaits_witness:
            self.needs_proof = False

    def _has_departed(self, announcement: Announcement) -> bool:
        """Return whether an announcement comes from a server that drains or left."""
        last_born = self.departed.get(announcement.instance)
        return last_born is not None and announcement.born <= last_born

    def _record_departed(self, start: ServerStart) -> ServerStart:
        """Note that a start and those before it have left; return the latest one."""
        last_born = self.departed.pop(start.instance, 0)
        self.departed[start.instance] = max(start.born, last_born)
        while len(self.departed) > MAX_DEPARTURES:
            del self.departed[next(iter(self.departed))]
        return ServerStart(start.instance, self.departed[start.instance])

    def _count_return(self, now: float) -> None:
        window = self.settings.flap_window.total_seconds()
        while self.returns and now - self.returns[0] > window:
            self.returns.popleft()
        self.returns.append(now)
        excess = len(self.returns) - self.settings.flap_allowance
        if excess > 0:
            penalty = self.settings.flap_penalty.total_seconds() * 2 ** (excess - 1)
            max_penalty = self.settings.max_flap_penalty.total_seconds()
            self.kept_out_until = now + min(max_penalty, penalty)
