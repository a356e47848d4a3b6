"""Connections from callers and to the next hop."""

from daisylink.connection._caller import CallerConnection
from daisylink.connection._held_bytes import (
    HeldBytes,
    HeldBytesLimit,
    count_held_bytes,
)
from daisylink.connection._hop import HopConnection
from daisylink.connection._hop_pool import HopConnectionPool
from daisylink.connection._probe import ProbeResult

__all__ = [
    "CallerConnection",
    "HeldBytes",
    "HeldBytesLimit",
    "HopConnection",
    "HopConnectionPool",
    "ProbeResult",
    "count_held_bytes",
]
