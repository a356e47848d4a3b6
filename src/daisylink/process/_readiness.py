"""Whether a node has caught up with its peers and the platform."""

from datetime import timedelta
from typing import NamedTuple

REQUIRED_PEERS = 2


class ReadinessSettings(NamedTuple):
    """How long a new node waits for its peers and the platform.

    :param timeout: time after which one report, of a peer or the platform, is enough.
    """

    timeout: timedelta = timedelta(seconds=3)


class Readiness:
    """Compares the node's version with those of its peers and the platform.

    A new node is ready when its version is at least as new as every version reported to
    it, and the platform and two peers have reported theirs. After a timeout, a report
    of one of them is enough.
    """

    def __init__(self, settings: ReadinessSettings):
        self.timeout = settings.timeout.total_seconds()
        self.started_at = 0.0
        self.peer_versions: dict[str, int] = {}
        self.platform_number: int | None = None
        self.was_ready = False

    def start(self, now: float) -> None:
        """Start the timeout."""
        self.started_at = now

    def record_peer_version(self, node: str, number: int) -> None:
        """Record the version of a peer."""
        if not self.was_ready:
            self.peer_versions[node] = max(number, self.peer_versions.get(node, 0))

    def record_platform_version(self, number: int) -> None:
        """Record the version on the platform, 0 for none."""
        self.platform_number = max(number, self.platform_number or 0)

    def check(self, number: int, now: float) -> bool:
        """Return whether the node may accept requests; once ready, it stays ready.

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
        timed_out = now - self.started_at >= self.timeout
        has_platform = self.platform_number is not None
        has_peers = len(self.peer_versions) >= REQUIRED_PEERS
        if timed_out:
            return has_platform or bool(self.peer_versions)
        return has_platform and has_peers
