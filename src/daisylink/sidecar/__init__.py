"""The program beside a backend server whose fleet is known through a store."""

from daisylink.sidecar._deployment import Deployment
from daisylink.sidecar._sidecar import Sidecar

__all__ = ["Deployment", "Sidecar"]
