"""Detects nodes that cannot be reached, from missing responses and from probes.

It covers a node or zone that is cut off, with or without a connection reset, and nodes
that restart in turn. A node is probed if a response is overdue by its usual service
time and no other response arrived from it. A node that did not accept a connection gets
no requests until a probe succeeds, however many nodes that leaves.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from daisylink.connection import ProbeResult


class ReachabilitySettings(NamedTuple):
    """Times of the monitor.

    :param max_response_delay: time without a response, beyond the usual service time,
        after which a node is probed.
    :param probe_interval: time between probes of a node, whether they succeed or not.
    """

    max_response_delay: timedelta = timedelta(milliseconds=100)
    probe_interval: timedelta = timedelta(milliseconds=500)


class ReachabilityMonitor:
    """Tracks which nodes are unreachable from this node."""

    def __init__(self, settings: ReachabilitySettings | None = None):
        settings = settings or ReachabilitySettings()
        self.max_response_delay = settings.max_response_delay.total_seconds()
        self.probe_interval = settings.probe_interval.total_seconds()
        self.probing: set[str] = set()
        self.probe_at: dict[str, float] = {}
        self.unreachable: dict[str, ProbeResult] = {}

    def choose_probes(
        self,
        oldest: Mapping[str, float],
        last_response_at: Mapping[str, float],
        service_times: Mapping[str, float],
        now: float,
    ) -> list[str]:
        """Return the nodes to probe now and mark them as being probed.

        :param oldest: when the oldest open request was sent, by node.
        :param last_response_at: when each node last responded.
        :param service_times: usual service time in seconds, by node.
        :param now: seconds of the monotonic clock, as for the other times.
        """
        overdue = {
            node
            for node, since in oldest.items()
            if now - max(since, last_response_at.get(node, since))
            > self.max_response_delay + service_times.get(node, 0.0)
        }
        due = [
            node
            for node in overdue | self.unreachable.keys()
            if node not in self.probing and now >= self.probe_at.get(node, 0.0)
        ]
        self.probing.update(due)
        return due

    def begin_probe(self, node: str) -> bool:
        """Mark a node as being probed; return False if it is already."""
        if node in self.probing:
            return False
        self.probing.add(node)
        return True

    def handle_probe_result(self, node: str, result: ProbeResult, now: float) -> bool:
        """Handle the result of a probe, or of a connection opened for a request.

        :param now: seconds of the monotonic clock.
        :returns: whether it differs from the result before.
        """
        self.probing.discard(node)
        self.probe_at[node] = now + self.probe_interval
        previous = self.unreachable.pop(node, ProbeResult.ANSWERED)
        if result is not ProbeResult.ANSWERED:
            self.unreachable[node] = result
        return result is not previous

    def forget(self, node: str) -> None:
        """Forget a node that is no longer a member."""
        self.unreachable.pop(node, None)
        self.probe_at.pop(node, None)
