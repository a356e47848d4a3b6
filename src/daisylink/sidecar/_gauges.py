"""Gauges of a sidecar, read at each export of its metrics."""

from typing import Any

from daisylink.connection import HeldBytes, count_held_bytes
from daisylink.serving import Metrics


def add_gauges(metrics: Metrics, sidecar: Any) -> None:
    """Register the gauges.

    :param sidecar: the :class:`~daisylink.sidecar._sidecar.Sidecar` that they read.
    """
    admission = sidecar.gateway.admission
    members = sidecar.members
    metrics.add_gauge(
        "daisylink.version",
        lambda: sidecar.fleet_state.version_number,
        "Version in force.",
    )
    metrics.add_gauge(
        "daisylink.ready", lambda: int(sidecar.is_ready), "Whether ready."
    )
    metrics.add_gauge(
        "daisylink.members", lambda: len(members.records), "Nodes known to run."
    )
    metrics.add_gauge(
        "daisylink.members.expired",
        lambda: len(members.expired),
        "Members whose records are missing from the store.",
    )
    metrics.add_gauge(
        "daisylink.reader",
        lambda: int(sidecar.role.is_reader),
        "Whether this node reads the configuration itself.",
    )
    metrics.add_gauge(
        "daisylink.store.view.age",
        lambda: sidecar.watch_cache.count_age(sidecar.now()),
        "Seconds since the store last confirmed what this node knows of it.",
    )
    era_tracker = sidecar.era_tracker
    metrics.add_gauge(
        "daisylink.store.era",
        lambda: era_tracker.current,
        "Era of the store, 0 if it states none.",
    )
    metrics.add_gauge(
        "daisylink.store.responses.rejected",
        lambda: era_tracker.rejected,
        "Responses of the store that stated an older era, or none any more.",
    )
    metrics.add_gauge(
        "daisylink.store.responses.without_era",
        lambda: era_tracker.unstated,
        "Responses of the store without an era, or with one that is no number.",
    )
    rollouts = sidecar.rollout_driver
    metrics.add_gauge(
        "daisylink.rollouts.running",
        lambda: sum(not state.is_ended for state in rollouts.table.states.values()),
        "Rollouts under way, as this node knows.",
    )
    metrics.add_gauge(
        "daisylink.rollouts.controller",
        lambda: int(bool(rollouts.controller and rollouts.controller.is_controller)),
        "Whether this node controls the rollouts.",
    )
    metrics.add_gauge(
        "daisylink.rollouts.admitted",
        lambda: rollouts.gate.admitted,
        "Requests admitted to the own server of a target version since the order.",
    )
    metrics.add_gauge(
        "daisylink.rollouts.refused",
        lambda: rollouts.gate.refused,
        "Requests refused as the allowance of the own server was used up.",
    )
    own_notice = sidecar.gateway.notices.own
    metrics.add_gauge(
        "daisylink.server.limit",
        lambda: -1 if own_notice.limit is None else own_notice.limit,
        "Requests a second that the own backend server takes, -1 without a limit.",
    )
    add_overload_gauges(metrics, sidecar.gateway)
    add_held_bytes_gauges(metrics, sidecar.gateway)
    metrics.add_gauge(
        "daisylink.slots.in_use",
        lambda: admission.in_use,
        "Slots of the own backend server in use.",
    )
    metrics.add_gauge(
        "daisylink.slots.waiting",
        lambda: admission.queued,
        "Requests that wait for a slot.",
    )


def add_overload_gauges(metrics: Metrics, gateway: Any) -> None:
    """Register the gauges of the decisions under overload.

    :param gateway: the :class:`~daisylink.serving.Gateway` that they read.
    """
    running = gateway.running
    metrics.add_gauge(
        "daisylink.calls.recognized",
        lambda: running.calls,
        "Calls of the own backend server that counted for their parent.",
    )
    metrics.add_gauge(
        "daisylink.calls.orphaned",
        lambda: running.orphans,
        "Calls refused because their parent is past its deadline or was given up.",
    )
    metrics.add_gauge(
        "daisylink.slots.late",
        lambda: len(gateway.admission.late),
        "Requests past their objective that wait for a slot nobody else wants.",
    )
    metrics.add_gauge(
        "daisylink.pool.refused_at_once",
        lambda: gateway.placer.refused_at_once,
        "Requests not sent on because their pool has refused nearly all lately.",
    )
    admission = gateway.admission
    metrics.add_gauge(
        "daisylink.server.slowness",
        lambda: admission.slowness.get(gateway.now()),
        "Slowness of the own backend server's machine, 1 as usual or unknown.",
    )
    metrics.add_gauge(
        "daisylink.server.concurrency",
        lambda: admission.capacity,
        "Requests that the own backend server is given at once.",
    )


def add_held_bytes_gauges(metrics: Metrics, gateway: Any) -> None:
    """Register a gauge for each kind of bytes that the process holds.

    :param gateway: the :class:`~daisylink.serving.Gateway` whose connections count.
    """
    for kind in HeldBytes._fields:
        metrics.add_gauge(
            f"daisylink.held.{kind}",
            lambda kind=kind: getattr(count_held_bytes(gateway.callers), kind),
            "Bytes held for callers and next hops (docs/OPERATIONS.md).",
        )
    metrics.add_gauge(
        "daisylink.held.max",
        lambda: gateway.held_limit.max_bytes,
        "Bound on the bytes held for callers and next hops together.",
    )
    metrics.add_gauge(
        "daisylink.held.ended",
        lambda: gateway.held_limit.ended_requests,
        "Requests ended because too many bytes were held.",
    )
