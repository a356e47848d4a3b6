"""Judges a version by its servers' responses beside those of the old ones.

For each kind of request there are two cumulative sums of log likelihood ratios: of
failed responses and of slow ones. A sum never falls below zero, so that a version that
becomes bad some seconds after its start is found as fast as one that always was. A
response is slow if it takes longer than ``SLOW_FACTOR`` times the old servers' median
of its kind, which a minority of slow old servers does not move.

It is designed for about 35 requests a second to the target version, and finds a version
of which half of the requests of one kind are bad after about 20 requests of that kind.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from daisylink.rollout._evidence import Counts, KindCounts, bucket_seconds

# Good servers differ in speed by up to 3 times; bad versions are 8 times as slow.
SLOW_FACTOR = 4.5
# The sum that is a verdict of bad. A good version reaches it in about one of exp(9.2)
# = 10,000 requests of a kind at most.
BAD_SUM = 9.2
# The sum above which nothing is judged good.
DOUBT_SUM = 2.0
# Margin over the rate of the old servers, and the least rate, that a good version may
# have; a bad one has at least so much more.
FAILURE_MARGIN = 0.04
MIN_FAILURE_RATE = 0.05
SLOW_MARGIN = 0.06
MIN_SLOW_RATE = 0.08
BAD_EXCESS = 0.25
# Excess of the rate over all responses at which a kind is not judged good.
DOUBT_EXCESS = 0.1
MAX_GOOD_RATE = 0.65
# Old responses without which a kind has no usual time.
MIN_OLD_TIMES = 10
# Old responses of the last seconds count too: a dependency that fails now is no fault
# of the new version.
RECENT_SECONDS = 2.0
MIN_RECENT = 20.0
# How often the recent responses lose weight and the usual times are computed again.
AGE_SECONDS = 0.25
# Responses that a good verdict needs of a kind, of a rare one, and of a rare one when
# little time is left.
ENOUGH_RESPONSES = 14
ENOUGH_RARE_RESPONSES = 10
ENOUGH_LATE_RESPONSES = 4
# Slow responses come later than usual ones, so that after the last response that was
# needed they are waited for: as long as a bad version takes for them, but no longer
# than callers wait, and until the next report.
BAD_FACTOR = 8.0
MAX_PENDING_SECONDS = 2.0
REPORT_SECONDS = 0.3
# Share of the old servers' responses from which a kind is common, and below which a
# good verdict needs no response of it.
COMMON_SHARE = 0.06
RARE_SHARE = 0.01
# Share of all requests that kinds sent to the canaries more often may have together.
MAX_BOOSTED_SHARE = 0.1


class Suspicion(NamedTuple):
    """The strongest sign against a version.

    :param sign: ``failures`` or ``slow``.
    """

    total: float = 0.0
    kind: str = ""
    sign: str = ""

    def describe(self) -> str:
        """Return the sign as text."""
        return f"{self.sign} of kind {self.kind!r}, sum {self.total:.1f}"


def _count_slow(times: Mapping[int, float], median: float) -> float:
    """Return how many responses are slow.

    :param times: number of responses by bucket of their run times.
    :param median: the old servers' usual run time, in seconds.
    """
    limit = median * SLOW_FACTOR
    return sum(
        count for bucket, count in times.items() if bucket_seconds(bucket) > limit
    )


def _count_enough(share: float, is_late: bool) -> int:
    """Return how many responses a good verdict needs of a kind.

    :param share: share of the kind in the old servers' responses.
    :param is_late: whether little time is left.
    """
    if share >= COMMON_SHARE:
        return ENOUGH_RESPONSES
    return ENOUGH_LATE_RESPONSES if is_late else ENOUGH_RARE_RESPONSES


class _OldKind:
    """Responses of the old servers to one kind of request.

    Counts are weights, as :meth:`age` makes earlier responses count less.
    """

    def __init__(self):
        self.responses = 0.0
        self.failures = 0.0
        self.times: dict[int, float] = {}

    def add(self, counts: KindCounts) -> None:
        self.responses += counts.responses
        self.failures += counts.failures
        for bucket, count in counts.times.items():
            self.times[bucket] = self.times.get(bucket, 0.0) + count

    def age(self, kept: float) -> None:
        self.responses *= kept
        self.failures *= kept
        self.times = {bucket: n * kept for bucket, n in self.times.items() if n > 0.01}

    @property
    def timed(self) -> float:
        return sum(self.times.values())

    def median(self) -> float:
        """Return the usual run time in seconds, 0 if too few are known."""
        half = self.timed / 2
        if half * 2 < MIN_OLD_TIMES:
            return 0.0
        for bucket in sorted(self.times):
            half -= self.times[bucket]
            if half <= 0:
                return bucket_seconds(bucket)
        return 0.0


class Judge:
    """Evidence of one rollout."""

    def __init__(self):
        # Old servers' responses by kind, all and those of the last seconds.
        self.old: dict[str, _OldKind] = {}
        self.recent: dict[str, _OldKind] = {}
        self.aged_at = float("-inf")
        self.usual: dict[str, float] = {}
        # Sums by kind and sign, ``failures`` or ``slow``.
        self.sums: dict[tuple[str, str], float] = {}
        # Bad responses and all responses that the sums count.
        self.bad: dict[tuple[str, str], int] = {}
        self.judged: dict[tuple[str, str], int] = {}
        self.responses: dict[str, int] = {}
        self.timed: dict[str, int] = {}
        # When enough responses of a kind were known.
        self.enough_at: dict[str, float] = {}

    def add_old(self, counts: Counts, now: float) -> None:
        """Add responses of an old server."""
        self._age(now)
        for kind, found in counts.items():
            self.old.setdefault(kind, _OldKind()).add(found)
            self.recent.setdefault(kind, _OldKind()).add(found)

    def add_new(self, counts: Counts) -> None:
        """Add responses of a server of the target version."""
        for kind, found in counts.items():
            self.responses[kind] = self.responses.get(kind, 0) + found.responses
            good_rate = self._failure_rate(kind)
            self._add(kind, "failures", good_rate, found.failures, found.responses)
            median = self.find_usual(kind)
            if not median:
                continue
            timed = sum(found.times.values())
            self.timed[kind] = self.timed.get(kind, 0) + timed
            slow = _count_slow(found.times, median)
            self._add(kind, "slow", self._slow_rate(kind, median), slow, timed)

    @property
    def suspicion(self) -> Suspicion:
        """Return the strongest sign against the version."""
        if not self.sums:
            return Suspicion()
        (kind, sign), total = max(self.sums.items(), key=lambda item: item[1])
        return Suspicion(total, kind, sign)

    @property
    def is_bad(self) -> bool:
        """Return whether the version is certainly bad."""
        return self.suspicion.total >= BAD_SUM

    @property
    def is_doubtful(self) -> bool:
        """Return whether anything speaks against the version."""
        return self.suspicion.total > DOUBT_SUM

    def list_missing(self, is_late: bool = False) -> list[str]:
        """Return the kinds of which a good verdict needs more responses.

        :param is_late: whether little time is left, so that fewer responses of a rare
            kind are enough.
        """
        total = sum(kind.responses for kind in self.old.values())
        missing = []
        for kind, old in self.old.items():
            share = old.responses / max(1.0, total)
            if share < RARE_SHARE:
                continue
            enough = _count_enough(share, is_late)
            has_times = self.timed.get(kind, 0) >= enough or not self.find_usual(kind)
            is_seen = self.responses.get(kind, 0) >= enough and has_times
            if not is_seen or self._has_high_rate(kind):
                missing.append(kind)
        return missing

    def _has_high_rate(self, kind: str) -> bool:
        """Return whether more responses are needed, as many of the first were bad."""
        rates = {"failures": self._failure_rate(kind)}
        median = self.find_usual(kind)
        if median:
            rates["slow"] = self._slow_rate(kind, median)
        return any(
            self.bad.get((kind, sign), 0)
            > self.judged.get((kind, sign), 0) * (rate + DOUBT_EXCESS)
            for sign, rate in rates.items()
        )

    def has_waited_for_slow(self, now: float) -> bool:
        """Return whether slow responses to the requests needed had time to arrive."""
        return all(
            now - since >= self._find_pending_seconds(kind)
            for kind, since in self.enough_at.items()
        )

    def _find_pending_seconds(self, kind: str) -> float:
        slow = BAD_FACTOR * self.find_usual(kind)
        return min(MAX_PENDING_SECONDS, slow) + REPORT_SECONDS

    def note_enough(self, now: float, is_late: bool) -> None:
        """Note since when enough responses are known of each kind."""
        missing = self.list_missing(is_late)
        for kind in self.old:
            if kind in missing:
                self.enough_at.pop(kind, None)
            else:
                self.enough_at.setdefault(kind, now)

    def list_boosted(self) -> list[str]:
        """Return the kinds that the canaries should get more often: rare ones."""
        left = sum(kind.responses for kind in self.old.values()) * MAX_BOOSTED_SHARE
        boosted = []
        for kind in sorted(
            self.list_missing(), key=lambda name: self.old[name].responses
        ):
            left -= self.old[kind].responses
            if left < 0:
                break
            boosted.append(kind)
        return sorted(boosted)

    def compute_mean_seconds(self) -> float:
        """Return the mean run time of the old servers' requests, 0 if unknown."""
        timed = sum(kind.timed for kind in self.old.values())
        total = sum(
            bucket_seconds(bucket) * count
            for kind in self.old.values()
            for bucket, count in kind.times.items()
        )
        return total / timed if timed else 0.0

    def find_usual(self, kind: str) -> float:
        """Return the old servers' usual time for a kind in seconds, 0 if unknown."""
        usual = self.usual.get(kind)
        if usual is None:
            usual = max(
                (
                    group[kind].median()
                    for group in (self.old, self.recent)
                    if kind in group
                ),
                default=0.0,
            )
            if usual:
                self.usual[kind] = usual
        return usual

    def _failure_rate(self, kind: str) -> float:
        rates = [
            group[kind].failures / max(MIN_RECENT, group[kind].responses)
            for group in (self.old, self.recent)
            if kind in group
        ]
        rate = max(rates, default=0.0) + FAILURE_MARGIN
        return min(MAX_GOOD_RATE, max(MIN_FAILURE_RATE, rate))

    def _slow_rate(self, kind: str, median: float) -> float:
        rates = [
            _count_slow(group[kind].times, median) / max(MIN_RECENT, group[kind].timed)
            for group in (self.old, self.recent)
            if kind in group
        ]
        rate = max(rates, default=0.0) + SLOW_MARGIN
        return min(MAX_GOOD_RATE, max(MIN_SLOW_RATE, rate))

    def _add(
        self, kind: str, sign: str, good_rate: float, bad: int, responses: int
    ) -> None:
        bad_rate = good_rate + BAD_EXCESS
        ratio = bad * math.log(bad_rate / good_rate)
        ratio += (responses - bad) * math.log((1 - bad_rate) / (1 - good_rate))
        self.bad[kind, sign] = self.bad.get((kind, sign), 0) + bad
        self.judged[kind, sign] = self.judged.get((kind, sign), 0) + responses
        total = self.sums.get((kind, sign), 0.0) + ratio
        self.sums[kind, sign] = max(0.0, total)

    def _age(self, now: float) -> None:
        if now >= self.aged_at + AGE_SECONDS:
            self.usual.clear()
            kept = math.exp((self.aged_at - now) / RECENT_SECONDS)
            for kind in self.recent.values():
                kind.age(kept)
            self.aged_at = now
