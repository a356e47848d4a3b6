"""Tracks requests in flight at other nodes and probes unresponsive nodes."""

import asyncio
from collections.abc import Callable
from typing import Any

from daisylink.connection import HopConnectionPool
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

    def begin(self, exchange: Any, record: MemberRecord) -> None:
        """Record a request that is sent to a node."""
        node = record.node
        self.balancer.begin(node)
        if node == self.balancer.directory.own_record.node:
            return
        self.relays[node] = record.relay
        self.sent_at.setdefault(node, {})[exchange] = self.now()
        self._schedule_check()

    def end(self, exchange: Any, node: str) -> None:
        """Record the end of a request at a node."""
        self.balancer.end(node)
        exchanges = self.sent_at.get(node)
        if exchanges is not None:
            exchanges.pop(exchange, None)
            if not exchanges:
                del self.sent_at[node]

    def record_unreachable(self, node: str) -> None:
        """Stop using a node that did not answer a new connection."""
        if self.balancer.reachability.record_unreachable(node, self.now()):
            self._retry_requests(node)

    def forget(self, node: str) -> None:
        """Forget a node that is no longer a member."""
        self.balancer.reachability.forget(node)

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
        oldest = {
            node: min(exchanges.values()) for node, exchanges in self.sent_at.items()
        }
        probes = balancer.reachability.choose_probes(
            oldest,
            balancer.last_response_at,
            balancer.response_times.get_mean_seconds(),
            self.now(),
        )
        for node in probes:
            task = self.loop.create_task(self._probe(node))
            self.probes.add(task)
            task.add_done_callback(self.probes.discard)
        if self.sent_at or balancer.reachability.unreachable:
            self._schedule_check()

    async def _probe(self, node: str) -> None:
        reached = await self.hop_pool.probe(self.relays[node])
        if not self.balancer.reachability.handle_probe_result(
            node, reached, self.now()
        ):
            return
        if reached:
            log.bind(node=node).info("node answers again")
            self.balancer.record_reachable(node)
        else:
            self._retry_requests(node)

    def _retry_requests(self, node: str) -> None:
        """Move the requests of an unresponsive node to other nodes, where allowed."""
        exchanges = list(self.sent_at.get(node, ()))
        log.bind(node=node, in_flight=len(exchanges)).warning("node does not answer")
        self.hop_pool.close_idle(self.relays[node])
        for exchange in exchanges:
            exchange.retry_elsewhere(node)
