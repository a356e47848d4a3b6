"""Requests in flight at other nodes, and the probes of nodes that fell silent."""

import asyncio
from collections.abc import Callable
from typing import Any

from daisylink.connection import HopConnectionPool
from daisylink.logs import get_logger
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.serving._records import MemberRecord

WATCH_SECONDS = 0.05

log = get_logger("request")


class InFlightTracker:
    """Since when each node owes which answers.

    :param now: the monotonic clock.
    :param balancer: counts requests, and leaves out nodes that do not answer.
    :param hop_pool: probes nodes by new connections.
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
        self.watcher: asyncio.TimerHandle | None = None
        self.probes: set[asyncio.Task] = set()

    def begin(self, exchange: Any, record: MemberRecord) -> None:
        """Count a request that goes to a node, which owes an answer from now on."""
        node = record.node
        self.balancer.begin(node)
        if node == self.balancer.directory.own_record.node:
            return
        self.relays[node] = record.relay
        self.sent_at.setdefault(node, {})[exchange] = self.now()
        self._watch()

    def end(self, exchange: Any, node: str) -> None:
        """Count a request back."""
        self.balancer.end(node)
        flights = self.sent_at.get(node)
        if flights is not None:
            flights.pop(exchange, None)
            if not flights:
                del self.sent_at[node]

    def record_unreachable(self, node: str) -> None:
        """Send no requests to a node that does not answer a new connection."""
        if self.balancer.reachability.record_unreachable(node, self.now()):
            self._leave(node)

    def forget(self, node: str) -> None:
        """Forget a node that is no member any more."""
        self.balancer.reachability.forget(node)

    def close(self) -> None:
        """Stop watching."""
        if self.watcher is not None:
            self.watcher.cancel()
        for task in self.probes:
            task.cancel()

    def _watch(self) -> None:
        if self.watcher is None:
            self.watcher = self.loop.call_later(WATCH_SECONDS, self._look)

    def _look(self) -> None:
        """Probe the nodes that owe answers for too long, while any does."""
        self.watcher = None
        balancer = self.balancer
        oldest = {node: min(flights.values()) for node, flights in self.sent_at.items()}
        probes = balancer.reachability.choose_probes(
            oldest, balancer.last_response_at, balancer.get_service_times(), self.now()
        )
        for node in probes:
            task = self.loop.create_task(self._probe(node))
            self.probes.add(task)
            task.add_done_callback(self.probes.discard)
        if self.sent_at or balancer.reachability.unreachable:
            self._watch()

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
            self._leave(node)

    def _leave(self, node: str) -> None:
        """Take the requests back that a silent node holds."""
        flights = list(self.sent_at.get(node, ()))
        log.bind(node=node, in_flight=len(flights)).warning("node does not answer")
        self.hop_pool.close_idle(self.relays[node])
        for exchange in flights:
            exchange.retry_elsewhere(node)
