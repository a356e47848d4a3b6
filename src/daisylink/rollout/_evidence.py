"""Counts how a backend server answers, at the node beside it.

Counts are totals since the order, so that a lost report costs nothing and a controller
that takes over has them all.
"""

import math
from collections.abc import Mapping

import msgspec

# Run times are counted in buckets, each a quarter longer than the one before it.
BUCKET_RATIO = 1.25
FIRST_BUCKET_SECONDS = 0.001
MAX_BUCKET = 55
# Bounds the datagrams of a report; further kinds are counted together.
MAX_KINDS = 10
OTHER_KINDS = "*"
# A run that its caller gave up would have taken longer than the time that it had, so
# that this multiple of that time is counted.
GIVEN_UP_FACTOR = 2.0
# Connections that break together are one crash, not so many bad requests.
MAX_LOST_AT_ONCE = 2
LOSS_WINDOW_SECONDS = 0.3


class KindCounts(msgspec.Struct, array_like=True):
    """Totals of one kind of request.

    :param responses: responses and lost connections.
    :param failures: those that failed.
    :param times: number of timed responses, by bucket of their run times.
    """

    responses: int = 0
    failures: int = 0
    times: dict[int, int] = {}


Counts = Mapping[str, KindCounts]


def find_bucket(seconds: float) -> int:
    """Return the bucket of a run time."""
    if seconds <= FIRST_BUCKET_SECONDS:
        return 0
    steps = math.log(seconds / FIRST_BUCKET_SECONDS) / math.log(BUCKET_RATIO)
    return min(MAX_BUCKET, round(steps))


def bucket_seconds(bucket: int) -> float:
    """Return the run time that a bucket stands for."""
    return FIRST_BUCKET_SECONDS * BUCKET_RATIO**bucket


def subtract(newer: KindCounts, older: KindCounts | None) -> KindCounts:
    """Return what was counted between two totals."""
    if older is None:
        return newer
    times = {
        bucket: count - older.times.get(bucket, 0)
        for bucket, count in newer.times.items()
        if count > older.times.get(bucket, 0)
    }
    return KindCounts(
        newer.responses - older.responses, newer.failures - older.failures, times
    )


class EvidenceCounter:
    """Totals of one server since an order."""

    def __init__(self):
        self.kinds: dict[str, KindCounts] = {}
        self.lost_since = float("-inf")
        self.lost = 0

    def record_response(
        self, kind: str, failed: bool, seconds: float, is_cold: bool
    ) -> None:
        """Count a response of the server.

        :param seconds: from the head that was sent to the response.
        :param is_cold: whether the server is slow because it has just started.
        """
        counts = self._find(kind)
        counts.responses += 1
        if failed:
            counts.failures += 1
        elif not is_cold:
            self._add_time(counts, seconds)

    def record_lost(self, kind: str, now: float) -> None:
        """Count a connection that the server lost while it ran a request."""
        if now - self.lost_since > LOSS_WINDOW_SECONDS:
            self.lost_since, self.lost = now, 0
        self.lost += 1
        if self.lost <= MAX_LOST_AT_ONCE:
            counts = self._find(kind)
            counts.responses += 1
            counts.failures += 1

    def record_given_up(self, kind: str, seconds: float, is_cold: bool) -> None:
        """Count a run that ended without a response, as its caller gave up."""
        if not is_cold:
            self._add_time(self._find(kind), seconds * GIVEN_UP_FACTOR)

    def _find(self, kind: str) -> KindCounts:
        if kind not in self.kinds and len(self.kinds) >= MAX_KINDS:
            kind = OTHER_KINDS
        counts = self.kinds.get(kind)
        if counts is None:
            counts = self.kinds[kind] = KindCounts(times={})
        return counts

    def _add_time(self, counts: KindCounts, seconds: float) -> None:
        bucket = find_bucket(seconds)
        counts.times[bucket] = counts.times.get(bucket, 0) + 1
