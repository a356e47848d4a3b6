"""Connections from callers and to the next hop."""

from daisylink.connection._caller import CallerConnection
from daisylink.connection._hop import HopConnection, HopConnectionPool

__all__ = ["CallerConnection", "HopConnection", "HopConnectionPool"]
