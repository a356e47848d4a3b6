"""Gauges of a node, read at each export of its metrics."""

from typing import Any

from daisylink.serving._metrics import Metrics


def add_gauges(metrics: Metrics, node: Any) -> None:
    """Register the gauges.

    :param node: the :class:`~daisylink.process.Node` that they read.
    """
    installer = node.fleet.installer
    directory = node.fleet.directory
    admission = node.gateway.admission
    metrics.add_gauge(
        "daisylink.version", lambda: installer.number, "Version in force."
    )
    metrics.add_gauge("daisylink.ready", lambda: int(node.is_ready), "Whether ready.")
    metrics.add_gauge(
        "daisylink.members",
        lambda: sum(len(ring) for ring in directory.zone_rings.values()),
        "Nodes known to run.",
    )
    metrics.add_gauge(
        "daisylink.slots.in_use",
        lambda: admission.in_use,
        "Slots of the own backend server in use.",
    )
    metrics.add_gauge(
        "daisylink.versions.refused",
        lambda: installer.refused_count,
        "Versions that were damaged or not closed.",
    )
