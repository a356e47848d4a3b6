"""Connections from callers and to the next hop."""

from daisylink.connection._caller import CallerConnection
from daisylink.connection._hop import HopConnection, HopConnectionPool
from daisylink.connection._probe import ProbeResult

__all__ = ["CallerConnection", "HopConnection", "HopConnectionPool", "ProbeResult"]
