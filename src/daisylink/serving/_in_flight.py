"""Tracks requests in flight at other nodes and probes unresponsive nodes."""

import asyncio
from collections.abc import Callable
from typing import Any

from daisylink.connection import HopConnectionPool, ProbeResult
from daisylink.logs import get_logger
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.serving._records import MemberRecord

CHECK_INTERVAL_SECONDS = 0.05

log = get_logger("request")


class InFlightTracker:
    """Requests in flight by node, with the time at which each was sent.

    :param now: the monotonic clock.
    :param loop: runs the probes.
    :param balancer: counts requests and skips unreachable nodes.
    :param hop_pool: probes nodes by opening connections.
    """

    def __init__(
        self,
        now: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        balancer: LoadBalancer,
        hop_pool: HopConnectionPool,
    ):
        self.now = now
        self.loop = loop
        self.balancer = balancer
        self.hop_pool = hop_pool
        self.sent_at: dict[str, dict[Any, float]] = {}
        self.relays: dict[str, str] = {}
        self.check_timer: asyncio.TimerHandle | None = None
        self.probes: set[asyncio.Task] = set()

    def begin(self, sender: Any, record: MemberRecord) -> None:
        """Record a request that is sent to a node.

        :param sender: its :class:`~daisylink.request.RequestSender`.
        """
        node = record.node
        self.balancer.begin(node)
        if node == self.balancer.directory.own_record.node:
            return
        self.relays[node] = record.relay
        self.sent_at.setdefault(node, {})[sender] = self.now()
        self._schedule_check()

    def end(self, sender: Any, node: str) -> None:
        """Record the end of a request at a node."""
        self.balancer.end(node)
        senders = self.sent_at.get(node)
        if senders is not None:
            senders.pop(sender, None)
            if not senders:
                del self.sent_at[node]

    def record_unreachable(self, node: str, timed_out: bool) -> None:
        """Stop using a node that did not accept a new connection.

        :param timed_out: whether it did not answer at all, instead of refusing.
        """
        result = ProbeResult.SILENT if timed_out else ProbeResult.REFUSED
        self._handle_result(node, result)
        self._schedule_check()

    def record_connection_lost(self, node: str) -> None:
        """Check a node that broke off a connection instead of answering.

        Its idle connections may be broken too, so none of them is used again.
        """
        self.hop_pool.close_idle(self.relays[node])
        if self.balancer.reachability.begin_probe(node):
            self._start_probe(node)

    def forget(self, node: str) -> None:
        """Forget a node that is no longer a member."""
        self.balancer.reachability.forget(node)
        self.balancer.response_times.forget(node)

    def close(self) -> None:
        """Stop the checks and the running probes."""
        if self.check_timer is not None:
            self.check_timer.cancel()
        for task in self.probes:
            task.cancel()

    def _schedule_check(self) -> None:
        if self.check_timer is None:
            self.check_timer = self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        """Probe nodes with overdue responses; repeat while there is any to check."""
        self.check_timer = None
        balancer = self.balancer
        oldest = {node: min(senders.values()) for node, senders in self.sent_at.items()}
        probes = balancer.reachability.choose_probes(
            oldest,
            balancer.last_response_at,
            balancer.response_times.get_mean_seconds(oldest),
            self.now(),
        )
        for node in probes:
            self._start_probe(node)
        if self.sent_at or balancer.reachability.unreachable:
            self._schedule_check()

    def _start_probe(self, node: str) -> None:
        task = self.loop.create_task(self._probe(node))
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)

    async def _probe(self, node: str) -> None:
        self._handle_result(node, await self.hop_pool.probe(self.relays[node]))

    def _handle_result(self, node: str, result: ProbeResult) -> None:
        reachability = self.balancer.reachability
        if not reachability.handle_probe_result(node, result, self.now()):
            return
        match result:
            case ProbeResult.ANSWERED:
                log.bind(node=node).info("node answers again")
                self.balancer.record_reachable(node)
            case ProbeResult.REFUSED:
                in_flight = len(self.sent_at.get(node, ()))
                log.bind(node=node, in_flight=in_flight).info(
                    "node refuses connections"
                )
            case ProbeResult.SILENT:
                self._retry_requests(node)

    def _retry_requests(self, node: str) -> None:
        """Move the requests of an unresponsive node to other nodes, where allowed."""
        senders = list(self.sent_at.get(node, ()))
        log.bind(node=node, in_flight=len(senders)).warning("node does not answer")
        self.hop_pool.close_idle(self.relays[node])
        for sender in senders:
            sender.retry_elsewhere(node)
