"""What became of the requests that this node sent to a pool in the last second.

It is designed for a pool that is full or whose servers reject most requests. Asking
several of its nodes in turn then costs each of them processor time and the caller the
time that it has left, and a second attempt takes a slot's turn from a first one.
"""

from collections import deque
from enum import Enum

from daisylink.errors import ResultCode

WINDOW_SECONDS = 1.0
# Fewer answers in the window give no share.
MIN_ANSWERS = 10
# Share of refusals of nodes' queues from which only one node is asked, and from which
# most new requests are refused at once.
FULL_SHARE = 0.7
EXHAUSTED_SHARE = 0.95
# Share of the new requests that are sent to a full pool, to notice that it has room.
PROBE_SHARE = 0.1
# Share of rejections by servers from which a second attempt is unlikely to help.
REJECTING_SHARE = 0.5
MAX_ANSWERS = 1000
MAX_POOLS = 1000

QUEUE_REFUSALS = frozenset(
    {ResultCode.REQUEST_OVERLOADED, ResultCode.REQUEST_RATE_LIMITED}
)


class Answer(Enum):
    """What became of an attempt."""

    SERVED = "served"
    REFUSED = "refused"
    REJECTED = "rejected"


class _Window:
    """Answers of one pool, the oldest first."""

    __slots__ = ("answers", "counts")

    def __init__(self):
        self.answers: deque[tuple[float, Answer]] = deque()
        self.counts = dict.fromkeys(Answer, 0)

    def add(self, answer: Answer, now: float) -> None:
        self.answers.append((now, answer))
        self.counts[answer] += 1
        self.trim(now)

    def trim(self, now: float) -> None:
        answers = self.answers
        while answers and (
            now - answers[0][0] > WINDOW_SECONDS or len(answers) > MAX_ANSWERS
        ):
            self.counts[answers.popleft()[1]] -= 1

    def get_share(self, answer: Answer, now: float) -> float:
        """Return the share of an answer, 0 if too few are known."""
        self.trim(now)
        total = len(self.answers)
        return self.counts[answer] / total if total >= MIN_ANSWERS else 0.0


class PoolAnswers:
    """Answers of the last second by pool and kind of request."""

    def __init__(self):
        self.windows: dict[tuple[str, str], _Window] = {}

    def record_served(self, pool: str, kind: str, now: float) -> None:
        """Record a response of a backend server.

        :param now: seconds of the monotonic clock.
        """
        self._add(pool, kind, Answer.SERVED, now)

    def record_refused(
        self, pool: str, kind: str, code: ResultCode, now: float
    ) -> None:
        """Record an attempt that was not run, if the code tells of overload."""
        if code in QUEUE_REFUSALS:
            self._add(pool, kind, Answer.REFUSED, now)
        elif code is ResultCode.REQUEST_SHED_BY_SERVER:
            self._add(pool, kind, Answer.REJECTED, now)

    def is_full(self, pool: str, kind: str, now: float) -> bool:
        """Return whether most nodes have no room, so that one is asked at most."""
        return self._get_share(pool, kind, Answer.REFUSED, now) >= FULL_SHARE

    def is_exhausted(self, pool: str, kind: str, now: float) -> bool:
        """Return whether hardly any node has room."""
        return self._get_share(pool, kind, Answer.REFUSED, now) >= EXHAUSTED_SHARE

    def is_rejecting(self, pool: str, kind: str, now: float) -> bool:
        """Return whether most servers reject, so that no second one is tried."""
        return self._get_share(pool, kind, Answer.REJECTED, now) >= REJECTING_SHARE

    def _add(self, pool: str, kind: str, answer: Answer, now: float) -> None:
        window = self.windows.get((pool, kind))
        if window is None:
            if len(self.windows) >= MAX_POOLS:
                self.windows.clear()
            window = self.windows[pool, kind] = _Window()
        window.add(answer, now)

    def _get_share(self, pool: str, kind: str, answer: Answer, now: float) -> float:
        window = self.windows.get((pool, kind))
        return window.get_share(answer, now) if window is not None else 0.0
