"""The program beside a backend server whose fleet is known through a store."""

from daisylink.sidecar._platform_adapter import PlatformAdapter
from daisylink.sidecar._sidecar import Sidecar

__all__ = ["PlatformAdapter", "Sidecar"]
