"""What a tenant's quota allows, and how the tolerance of its bound is divided."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

# Part of the tolerance that all buckets may hold on top of the burst.
DEPTH_PART = 0.5
# Part that pays for buckets whose share is below one request; the rest covers nodes
# that see fleets of different sizes.
MIN_DEPTH_PART = 0.25
# A bucket of depth 1 loses a quarter of its tokens, as none is added while it is full.
MIN_KEPT_DEPTH = 2.0


class QuotaBounds(NamedTuple):
    """Bound on a tenant's requests in any window, over all nodes.

    :param window: period over which requests are counted.
    :param over: share by which the quota may be exceeded.
    :param slack: requests by which it may be exceeded on top.
    """

    window: timedelta = timedelta(seconds=5)
    over: float = 0.1
    slack: float = 20.0


class Limit(NamedTuple):
    """A tenant's quota as a token bucket that all nodes share.

    :param rate: tokens a second.
    :param depth: tokens that all buckets hold at most, except for minimum depths.
    :param min_fraction: a bucket that holds at least this fraction of the quota has a
        depth of 1 or more. At most ``1 / min_fraction`` buckets can hold it, so that
        the depths of all exceed ``depth`` by no more than a quarter of the tolerance.
    """

    rate: float
    depth: float
    min_fraction: float

    @classmethod
    def from_quota(cls, rate: float, burst: float, bounds: QuotaBounds) -> "Limit":
        """Return the limit for a tenant's rate and burst."""
        allowed = rate * bounds.window.total_seconds() + burst
        tolerance = allowed * bounds.over + bounds.slack
        depth = burst + tolerance * DEPTH_PART
        return cls(rate, depth, 1 / max(1.0, depth + tolerance * MIN_DEPTH_PART))

    def find_depth(self, fraction: float) -> float:
        """Return the depth of a bucket that holds a fraction of the quota."""
        depth = self.depth * fraction
        if depth < 1 and fraction >= self.min_fraction:
            return 1.0
        return depth

    def keeps_half(self, size: int) -> bool:
        """Return whether a node keeps half of its share when it lends.

        :param size: number of nodes that share the quota.
        """
        return self.depth >= 2 * MIN_KEPT_DEPTH * size


class LimitTable:
    """The limits of a version's tenants, computed when first needed.

    :ivar find_quota: returns a tenant's rate and burst, None if it is not known.
    """

    def __init__(self, bounds: QuotaBounds):
        self.bounds = bounds
        self.find_quota: Callable[[str], tuple[float, float] | None] = lambda _: None
        self.limits: dict[str, Limit] = {}

    def set_tenants(
        self, find_quota: Callable[[str], tuple[float, float] | None]
    ) -> None:
        """Use other tenants from now on."""
        self.find_quota = find_quota
        self.limits = {}

    def find(self, tenant: str) -> Limit | None:
        """Return a tenant's limit, None if it has none or is not known."""
        limit = self.limits.get(tenant)
        if limit is None:
            quota = self.find_quota(tenant)
            if quota is None or quota[0] <= 0:
                return None
            limit = self.limits[tenant] = Limit.from_quota(*quota, self.bounds)
        return limit
