"""What the node beside a server admits for it during a rollout, and counts of it.

A server of a version that is not judged yet runs requests only within the allowance of
the controller's last reply, and none once that reply is too old. So exposure ends by
itself when the controller is lost or this node is cut off.
"""

from collections.abc import Callable

from msgspec.structs import replace

from daisylink.rollout._evidence import EvidenceCounter
from daisylink.rollout._messages import EvidenceReply, EvidenceReport
from daisylink.rollout._order import RolloutState, Step
from daisylink.rollout._table import RolloutTable

# How long an allowance lasts without a new reply. Reports are sent every 0.3 s, so that
# four in a row may be lost.
ALLOWANCE_SECONDS = 1.5
# An order, of which this node has not heard yet, may name the version of a server that
# has just started. Readers hear of it within 0.3 s, the others about a second later.
HOLD_SECONDS = 2.0
# A node whose view of the store is older than this may have missed an order.
MAX_VIEW_AGE_SECONDS = 3.0
UNLIMITED = -1
# Kinds whose counts fit one datagram: 28 bytes and 5 for each of 30 buckets.
KINDS_PER_REPORT = 5


class VersionGate:
    """Admission by version for the server beside this node.

    :param node: name of this node.
    :param table: the rollouts that this node knows.
    :param now: returns seconds of a clock that also counts while the machine is
        suspended.
    """

    def __init__(self, node: str, table: RolloutTable, now: Callable[[], float]):
        self.node = node
        self.table = table
        self.now = now
        self.service = ""
        self.version = ""
        self.start: tuple[str, int] = ("", 0)
        self.started_at = float("-inf")
        self.cold_until = float("-inf")
        self.order: int | None = None
        self.counter = EvidenceCounter()
        self.admitted = 0
        self.highest_limit = 0
        self.limit = 0
        self.replied_at = float("-inf")
        self.refused = 0

    @property
    def state(self) -> RolloutState | None:
        """Return the state of the rollout of the server's service."""
        return self.table.get(self.service)

    @property
    def is_running(self) -> bool:
        """Return whether a rollout of the server's service is under way."""
        state = self.state
        return state is not None and not state.is_ended

    @property
    def is_cold(self) -> bool:
        """Return whether the server is slow because it has just started."""
        return self.now() < self.cold_until

    def set_server(self, service: str, version: str, start: tuple[str, int]) -> None:
        """Set the server beside this node.

        :param start: its instance and birth, which distinguish its starts.
        """
        if start != self.start:
            self.started_at = self.now()
            self._reset()
        self.service, self.version, self.start = service, version, start
        self.refresh()

    def set_cold(self, seconds_left: float) -> None:
        """Set for how much longer the server says to be slow."""
        self.cold_until = self.now() + seconds_left

    def refresh(self) -> None:
        """Begin counting anew if another order has come."""
        state = self.state
        order = state.order if state is not None else None
        if order != self.order:
            self.order = order
            self._reset()

    def holds_back(self, other_versions: set[str], view_age: float) -> bool:
        """Return whether the server is kept out of service for now.

        Its version may have been ordered without this node knowing.

        :param other_versions: versions of the service's other servers.
        :param view_age: seconds since the store last confirmed this node's view.
        """
        if not self.version or self.is_running:
            return False
        if not other_versions or self.version in other_versions:
            return False
        is_fresh = self.now() - self.started_at < HOLD_SECONDS
        return is_fresh or view_age > MAX_VIEW_AGE_SECONDS

    def is_closed(self) -> bool:
        """Return whether the server gets no requests at this step, nor waiting ones."""
        state = self.state
        return state is not None and not state.may_serve(self.version)

    def try_admit(self) -> bool:
        """Count a new request for the server; return whether it may run there."""
        state = self.state
        if state is None or not state.is_target(self.version) or state.is_ended:
            return not self.is_closed()
        if state.step is not Step.FINISH and not self._has_allowance():
            self.refused += 1
            return False
        self.admitted += 1
        return True

    def handle_reply(self, reply: EvidenceReply) -> None:
        """Handle the controller's reply; one to an earlier report changes nothing."""
        if reply.order != self.order or reply.start != self.start:
            return
        if reply.sent_at <= max(self.replied_at, self.started_at):
            return
        self.replied_at = reply.sent_at
        self.limit = reply.limit
        self.highest_limit = max(self.highest_limit, reply.limit)

    def make_reports(self, running: int) -> list[EvidenceReport]:
        """Return the report that is due while a rollout runs, in parts.

        :param running: requests that hold a slot of the server or wait for one.
        """
        state = self.state
        if state is None or state.is_ended or not self.start[0]:
            return []
        report = EvidenceReport(
            self.service,
            state.order,
            self.node,
            self.start,
            self.version,
            self.started_at,
            state.step.value,
            self.now(),
            running,
            self.admitted,
            self.highest_limit,
            self.is_cold,
        )
        kinds = list(self.counter.kinds.items())
        parts = range(0, max(1, len(kinds)), KINDS_PER_REPORT)
        return [
            replace(report, kinds=dict(kinds[start : start + KINDS_PER_REPORT]))
            for start in parts
        ]

    # Evidence

    def record_response(self, kind: str, failed: bool, seconds: float) -> None:
        """Count a response of the server.

        :param seconds: from the head that was sent to the response.
        """
        if self.is_running:
            self.counter.record_response(kind, failed, seconds, self.is_cold)

    def record_lost(self, kind: str) -> None:
        """Count a connection that the server lost while it ran a request."""
        if self.is_running:
            self.counter.record_lost(kind, self.now())

    def record_given_up(self, kind: str, seconds: float) -> None:
        """Count a run without a response, whose caller gave up."""
        if self.is_running:
            self.counter.record_given_up(kind, seconds, self.is_cold)

    def _has_allowance(self) -> bool:
        if self.now() - self.replied_at > ALLOWANCE_SECONDS:
            return False
        return self.limit == UNLIMITED or self.admitted < self.limit

    def _reset(self) -> None:
        self.counter = EvidenceCounter()
        self.admitted = self.highest_limit = self.limit = 0
        self.replied_at = float("-inf")
