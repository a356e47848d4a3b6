"""Gauges of a sidecar's quotas; none has a tenant's name."""

from typing import Any

from daisylink.serving import Metrics

# Name of each count and what it counts.
COUNTS = {
    "admitted": "Requests of tenants with a limit that had a token.",
    "asked": "Questions to coordinators, repeated ones included.",
    "unanswered": "Requests that no coordinator answered in time.",
    "late": "Answers of coordinators that came too late.",
    "refused_held": "Requests refused because a coordinator's refusal still held.",
    "refused_coordinator": "Requests refused by a coordinator.",
    "refused_own": "Requests refused without a coordinator.",
}


def add_quota_gauges(metrics: Metrics, driver: Any) -> None:
    """Register the gauges.

    :param driver: the :class:`~daisylink.sidecar._quota_driver.QuotaDriver`.
    """
    counts = driver.requests.counts
    for name, description in COUNTS.items():
        metrics.add_gauge(
            f"daisylink.quota.{name}", lambda n=name: counts[n], description
        )
    metrics.add_gauge(
        "daisylink.quota.fleet_size",
        lambda: driver.share_size,
        "Nodes that share each quota, 0 while this node uses no share.",
    )
    metrics.add_gauge(
        "daisylink.quota.lent",
        lambda: sum(bool(loan.coordinator) for loan in driver.loans),
        "Shards whose share is lent to a coordinator.",
    )
    metrics.add_gauge(
        "daisylink.quota.lenders",
        lambda: sum(len(pool.leases) for pool in driver.pools),
        "Shares that other nodes and this one have lent to this node.",
    )
