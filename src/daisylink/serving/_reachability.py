"""Detects unresponsive nodes from missing responses and from probes.

It covers a node or zone that is cut off without a connection reset, where each request
would hang until its deadline. A node is probed if a response is overdue by its usual
service time and no other response arrived from it. A node that a probe does not reach
gets no requests until a probe succeeds.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple


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
        self.unreachable: set[str] = set()

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
            for node in overdue | self.unreachable
            if node not in self.probing and now >= self.probe_at.get(node, 0.0)
        ]
        self.probing.update(due)
        return due

    def handle_probe_result(self, node: str, reached: bool, now: float) -> bool:
        """Handle the result of a probe.

        :param reached: whether the node answered.
        :param now: seconds of the monotonic clock.
        :returns: whether the node became reachable or unreachable.
        """
        self.probing.discard(node)
        self.probe_at[node] = now + self.probe_interval
        was_reachable = node not in self.unreachable
        if reached:
            self.unreachable.discard(node)
        else:
            self.unreachable.add(node)
        return reached is not was_reachable

    def record_unreachable(self, node: str, now: float) -> bool:
        """Record that a node did not answer a new connection.

        :returns: whether the node was reachable before.
        """
        return self.handle_probe_result(node, False, now)

    def forget(self, node: str) -> None:
        """Forget a node that is no longer a member."""
        self.unreachable.discard(node)
        self.probe_at.pop(node, None)
