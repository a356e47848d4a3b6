"""Decides which nodes fell silent, from their answers and from probes.

The load it answers: a zone or a node is cut off without a reset, so that every request
sent there hangs until its deadline. A node that owes an answer for longer than it
usually takes, and from which nothing else came either, is probed; one that a probe does
not reach gets no requests until a probe does.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple


class ReachabilitySettings(NamedTuple):
    """Times of the watch.

    :param patience: silence beyond the usual time of a request before a probe.
    :param again: time between probes of a node, reached or not.
    """

    patience: timedelta = timedelta(milliseconds=100)
    again: timedelta = timedelta(milliseconds=500)


class ReachabilityMonitor:
    """Which nodes do not answer, as seen from here."""

    def __init__(self, settings: ReachabilitySettings | None = None):
        settings = settings or ReachabilitySettings()
        self.patience = settings.patience.total_seconds()
        self.again = settings.again.total_seconds()
        self.probing: set[str] = set()
        self.probe_at: dict[str, float] = {}
        self.unreachable: set[str] = set()

    def choose_probes(
        self,
        oldest: Mapping[str, float],
        last_response_at: Mapping[str, float],
        usual: Mapping[str, float],
        now: float,
    ) -> list[str]:
        """Return the nodes to probe now.

        :param oldest: since when each node owes its oldest answer.
        :param last_response_at: when each node was last heard from.
        :param usual: seconds that a request usually takes at a node.
        """
        silent = {
            node
            for node, since in oldest.items()
            if now - max(since, last_response_at.get(node, since))
            > self.patience + usual.get(node, 0.0)
        }
        wanted = [
            node
            for node in silent | self.unreachable
            if node not in self.probing and now >= self.probe_at.get(node, 0.0)
        ]
        self.probing.update(wanted)
        return wanted

    def handle_probe_result(self, node: str, reached: bool, now: float) -> bool:
        """Take a probe's result; return whether the node's state changed."""
        self.probing.discard(node)
        self.probe_at[node] = now + self.again
        was_reachable = node not in self.unreachable
        if reached:
            self.unreachable.discard(node)
        else:
            self.unreachable.add(node)
        return reached is not was_reachable

    def record_unreachable(self, node: str, now: float) -> bool:
        """Note that a new connection to a node was not answered."""
        return self.handle_probe_result(node, False, now)

    def forget(self, node: str) -> None:
        """Forget a node that is no member any more."""
        self.unreachable.discard(node)
        self.probe_at.pop(node, None)
