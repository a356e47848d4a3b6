"""What lives as long as one connection: from callers, and to the next hop."""

from daisylink.connection._caller import CallerConnection
from daisylink.connection._hop import HopConnection, HopPool

__all__ = ["CallerConnection", "HopConnection", "HopPool"]
