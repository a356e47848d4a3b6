"""Stand-ins for external systems: the platform, backend servers and callers."""

from daisylink.standin._backend import BackendServer, BackendSettings
from daisylink.standin._caller import CallerClient, Response
from daisylink.standin._fleet import LocalFleet, Placement
from daisylink.standin._platform import PlatformServer, PlatformSettings
from daisylink.standin._store import MemoryStore, StoreFaults

__all__ = [
    "BackendServer",
    "BackendSettings",
    "CallerClient",
    "LocalFleet",
    "MemoryStore",
    "Placement",
    "PlatformServer",
    "PlatformSettings",
    "Response",
    "StoreFaults",
]
