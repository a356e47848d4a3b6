"""Quotas of tenants over all nodes together.

The classes are decision objects, which do no I/O: :class:`NodeQuota` admits, refuses or
asks; :class:`Loan` lends this node's share of a shard to a coordinator;
:class:`Pool` is the coordinator's side; :class:`FleetSize` tells what a share is. They
are designed for a tenant that sends 8 times its usual rate at every node, and for nodes
and zones that disappear at any moment: the tokens of all nodes together never exceed a
tenant's depth.
"""

from daisylink.quota._bucket import Bucket, Portion, ShareHistory
from daisylink.quota._directory import CoordinatorDirectory
from daisylink.quota._fleet_size import FLEET_SIZE_KEY, FleetSize, WriteFleetSize
from daisylink.quota._limit import Limit, LimitTable, QuotaBounds
from daisylink.quota._loan import Loan
from daisylink.quota._messages import QuotaAnswer, QuotaAsk, QuotaLend, QuotaLent
from daisylink.quota._node_quota import (
    Admitted,
    Decision,
    MustAsk,
    NodeQuota,
    Refused,
)
from daisylink.quota._pool import Pool
from daisylink.quota._ranking import SHARDS, find_shard, rank_coordinators
from daisylink.quota._unlimited import UnlimitedQuota

__all__ = [
    "FLEET_SIZE_KEY",
    "SHARDS",
    "Admitted",
    "Bucket",
    "CoordinatorDirectory",
    "Decision",
    "FleetSize",
    "Limit",
    "LimitTable",
    "Loan",
    "MustAsk",
    "NodeQuota",
    "Pool",
    "Portion",
    "QuotaAnswer",
    "QuotaAsk",
    "QuotaBounds",
    "QuotaLend",
    "QuotaLent",
    "Refused",
    "ShareHistory",
    "UnlimitedQuota",
    "WriteFleetSize",
    "find_shard",
    "rank_coordinators",
]
