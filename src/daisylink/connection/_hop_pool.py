"""The pool that keeps connections to next hops open between requests."""

import asyncio
from typing import Any

from daisylink.connection._hop import HopConnection
from daisylink.connection._probe import ProbeResult
from daisylink.logs import get_logger

# Several round trips between regions. A lost SYN is retransmitted only after a second;
# by then another node has long responded.
CONNECT_TIMEOUT_SECONDS = 0.25
# A timer that fires later than this shows that the process was paused.
MAX_TIMER_DELAY_SECONDS = 0.05
MAX_IDLE_PER_ADDRESS = 32

log = get_logger("hop")


class HopConnectionPool:
    """Pool of idle connections by address.

    :param gateway: the process's :class:`~daisylink.serving.Gateway`.
    """

    def __init__(self, gateway: Any):
        self.gateway = gateway
        self.idle: dict[str, list[HopConnection]] = {}
        self.connect_tasks: set[asyncio.Task] = set()

    def acquire(
        self,
        address: str,
        max_idle_seconds: float = float("inf"),
        runs_once: bool = False,
    ) -> HopConnection | None:
        """Return an idle connection to an address, or None.

        :param max_idle_seconds: longest time since its last use.
        :param runs_once: whether the request may run only once; it gets no connection
            on which a late copy of the last response may come. If there is no other,
            one of these is closed, because servers limit their connections.
        """
        idle = self.idle.get(address, ())
        now = self.gateway.now()
        for index in reversed(range(len(idle))):
            hop = idle[index]
            if now - hop.idle_since > max_idle_seconds:
                return None
            if runs_once and hop.may_repeat:
                continue
            del idle[index]
            if now - hop.idle_since > hop.idle_limit_seconds:
                hop.transport.close()
            elif not hop.transport.is_closing():
                return hop
        if idle:
            idle.pop(0).transport.close()
        return None

    def open(self, address: str, sender: Any, attempt: int) -> None:
        """Start to open a connection for an attempt of a request."""
        task = self.gateway.loop.create_task(self._open(address, sender, attempt))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def release(self, hop: HopConnection) -> None:
        """Keep a connection for reuse, unless there are too many."""
        idle = self.idle.setdefault(hop.address, [])
        if hop.transport.is_closing():
            return
        # The caller may have been slow when the last bytes of a response came.
        hop.resume_reading()
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            hop.transport.close()
            return
        hop.idle_since = self.gateway.now()
        idle.append(hop)

    def remove(self, hop: HopConnection) -> None:
        """Remove a lost connection from the pool."""
        idle = self.idle.get(hop.address)
        if idle and hop in idle:
            idle.remove(hop)

    def close_idle(self, address: str) -> None:
        """Abort the idle connections to an unresponsive address."""
        for hop in self.idle.pop(address, []):
            hop.transport.abort()

    def close_unproven(self, since: float) -> None:
        """Abort the idle connections that carried no response for a while.

        What made one connection silent for good may have made others silent too, and
        each of them would cost a request.

        :param since: when the silent connection was last used, in seconds of the
            monotonic clock.
        """
        for address, idle in list(self.idle.items()):
            proven = [hop for hop in idle if hop.last_read_at >= since]
            for hop in idle:
                if hop.last_read_at < since:
                    hop.transport.abort()
            self.idle[address] = proven

    async def probe(self, address: str) -> ProbeResult:
        """Open a connection to an address, and keep it for reuse."""
        try:
            hop = await self._connect(address)
        except TimeoutError:
            return ProbeResult.SILENT
        except (OSError, ValueError) as error:
            log.bind(address=address).debug("probe was refused: {}", error)
            return ProbeResult.REFUSED
        self.release(hop)
        return ProbeResult.ANSWERED

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle for too long.

        :param now: time of the monotonic clock in seconds.
        """
        for address, idle in list(self.idle.items()):
            while idle and now - idle[0].idle_since > idle[0].idle_limit_seconds:
                idle.pop(0).transport.close()
            if not idle:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self.idle.values():
            for hop in idle:
                hop.transport.close()
        self.idle.clear()

    async def _open(self, address: str, sender: Any, attempt: int) -> None:
        try:
            hop = await self._connect(address)
        except (OSError, TimeoutError, ValueError) as error:
            sender.handle_connect_failure(attempt, isinstance(error, TimeoutError))
            return
        if not sender.handle_connection(hop, attempt):
            self.release(hop)

    async def _connect(self, address: str) -> HopConnection:
        """Open a connection.

        A wait in which this process did not run says nothing about the peer, whose
        answer may lie unread; it is repeated.

        :raises TimeoutError: if the peer did not answer in time.
        :raises OSError: if it refused the connection.
        :raises ValueError: if the address is malformed.
        """
        host, _, port = address.rpartition(":")
        gateway = self.gateway
        connecting = gateway.loop.create_task(
            gateway.loop.create_connection(
                lambda: HopConnection(self, address), host, int(port)
            )
        )
        late = CONNECT_TIMEOUT_SECONDS + MAX_TIMER_DELAY_SECONDS
        try:
            while True:
                started_at = gateway.now()
                await asyncio.wait((connecting,), timeout=CONNECT_TIMEOUT_SECONDS)
                if connecting.done():
                    return connecting.result()[1]
                if gateway.now() - started_at < late:
                    raise TimeoutError(f"{address} did not answer")
        finally:
            connecting.cancel()
