"""The process beside a backend server that finds its fleet through a store."""

from daisylink.sidecar._platform_adapter import PlatformAdapter
from daisylink.sidecar._sidecar import Sidecar

__all__ = ["PlatformAdapter", "Sidecar"]
