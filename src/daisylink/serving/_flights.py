"""Requests in flight at other nodes, and the probes of nodes that fell silent."""

import asyncio
from collections.abc import Callable
from typing import Any

from daisylink.connection import HopConnectionPool
from daisylink.logs import get_logger
from daisylink.serving._chooser import LoadBalancer
from daisylink.serving._records import MemberRecord

WATCH_SECONDS = 0.05

log = get_logger("request")


class InFlightTracker:
    """Since when each node owes which answers.

    :param now: the monotonic clock.
    :param chooser: counts requests, and leaves out nodes that do not answer.
    :param hops: probes nodes by new connections.
    """

    def __init__(
        self,
        now: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        chooser: LoadBalancer,
        hops: HopConnectionPool,
    ):
        self.now = now
        self.loop = loop
        self.chooser = chooser
        self.hops = hops
        self.since: dict[str, dict[Any, float]] = {}
        self.relays: dict[str, str] = {}
        self.watcher: asyncio.TimerHandle | None = None
        self.probes: set[asyncio.Task] = set()

    def begin(self, exchange: Any, record: MemberRecord) -> None:
        """Count a request that goes to a node, which owes an answer from now on."""
        node = record.node
        self.chooser.begin(node)
        if node == self.chooser.directory.own.node:
            return
        self.relays[node] = record.relay
        self.since.setdefault(node, {})[exchange] = self.now()
        self._watch()

    def end(self, exchange: Any, node: str) -> None:
        """Count a request back."""
        self.chooser.end(node)
        flights = self.since.get(node)
        if flights is not None:
            flights.pop(exchange, None)
            if not flights:
                del self.since[node]

    def note_unreachable(self, node: str) -> None:
        """Send no requests to a node that does not answer a new connection."""
        if self.chooser.silence.note_unreachable(node, self.now()):
            self._leave(node)

    def forget(self, node: str) -> None:
        """Forget a node that is no member any more."""
        self.chooser.silence.forget(node)

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
        chooser = self.chooser
        oldest = {node: min(flights.values()) for node, flights in self.since.items()}
        probes = chooser.silence.choose_probes(
            oldest, chooser.heard_at, chooser.get_service_times(), self.now()
        )
        for node in probes:
            task = self.loop.create_task(self._probe(node))
            self.probes.add(task)
            task.add_done_callback(self.probes.discard)
        if self.since or chooser.silence.unreachable:
            self._watch()

    async def _probe(self, node: str) -> None:
        reached = await self.hops.probe(self.relays[node])
        if not self.chooser.silence.handle_probe_result(node, reached, self.now()):
            return
        if reached:
            log.bind(node=node).info("node answers again")
            self.chooser.record_reachable(node)
        else:
            self._leave(node)

    def _leave(self, node: str) -> None:
        """Take the requests back that a silent node holds."""
        flights = list(self.since.get(node, ()))
        log.bind(node=node, in_flight=len(flights)).warning("node does not answer")
        self.hops.drop(self.relays[node])
        for exchange in flights:
            exchange.retry_elsewhere(node)
