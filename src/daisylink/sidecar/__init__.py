"""The process beside a backend server that finds its fleet through a store."""

from daisylink.sidecar._platform_adapter import PlatformAdapter, RolloutFormats
from daisylink.sidecar._sidecar import Sidecar

__all__ = ["PlatformAdapter", "RolloutFormats", "Sidecar"]
