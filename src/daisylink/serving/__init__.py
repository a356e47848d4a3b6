"""Serves requests: load balancing, admission control, quarantine and the gateway."""

from daisylink.serving._gateway import Gateway
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.serving._local_server import (
    MAX_DEPARTURES,
    Announcement,
    AnnouncementResult,
    Departure,
    LocalServer,
    LocalServerSettings,
)
from daisylink.serving._metrics import Metrics
from daisylink.serving._quarantine import (
    Quarantine,
    QuarantineSettings,
    Strike,
    StrikeKey,
)
from daisylink.serving._records import (
    MemberRecord,
    MemberState,
    ServerStart,
    ServerState,
    choose_by_ring,
)
from daisylink.serving._retry_budget import (
    RetryBounds,
    RetryBudgetSettings,
    divide_retry_budget,
)

__all__ = [
    "MAX_DEPARTURES",
    "Announcement",
    "AnnouncementResult",
    "Departure",
    "Gateway",
    "LoadBalancer",
    "LocalServer",
    "LocalServerSettings",
    "MemberRecord",
    "MemberState",
    "Metrics",
    "Quarantine",
    "QuarantineSettings",
    "RetryBounds",
    "RetryBudgetSettings",
    "ServerStart",
    "ServerState",
    "Strike",
    "StrikeKey",
    "choose_by_ring",
    "divide_retry_budget",
]
