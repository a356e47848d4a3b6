"""Whether a node has caught up with its peers and the platform."""

from datetime import timedelta
from typing import NamedTuple

REQUIRED_PEERS = 2


class ReadinessSettings(NamedTuple):
    """How long a fresh node waits for more witnesses.

    :param timeout: after this time one answer, of a peer or the platform, is enough.
    """

    timeout: timedelta = timedelta(seconds=3)


class Readiness:
    """Collects what peers and the platform hold.

    A fresh node is ready when its version is at least as new as every version heard
    of, and it has heard of the platform's and of two peers' versions, or has waited
    for them in vain.
    """

    def __init__(self, settings: ReadinessSettings):
        self.patience = settings.timeout.total_seconds()
        self.started_at = 0.0
        self.peer_versions: dict[str, int] = {}
        self.platform_number: int | None = None
        self.was_ready = False

    def start(self, now: float) -> None:
        """Begin to wait."""
        self.started_at = now

    def record_peer_version(self, node: str, number: int) -> None:
        """Note the version that a peer holds."""
        if not self.was_ready:
            self.peer_versions[node] = max(number, self.peer_versions.get(node, 0))

    def record_platform_version(self, number: int) -> None:
        """Note the version that the platform holds, 0 for none."""
        self.platform_number = max(number, self.platform_number or 0)

    def check(self, number: int, now: float) -> bool:
        """Return whether the node may take calls; once ready it stays so.

        :param number: number of the version in force.
        """
        if not self.was_ready:
            self.was_ready = self._is_ready(number, now)
            if self.was_ready:
                self.peer_versions.clear()
        return self.was_ready

    def _is_ready(self, number: int, now: float) -> bool:
        if not number or number < max(self.peer_versions.values(), default=0):
            return False
        if number < (self.platform_number or 0):
            return False
        timed_out = now - self.started_at >= self.patience
        has_platform = self.platform_number is not None
        has_peers = len(self.peer_versions) >= REQUIRED_PEERS
        if timed_out:
            return has_platform or bool(self.peer_versions)
        return has_platform and has_peers
