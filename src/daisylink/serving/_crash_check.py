"""Tells a crash of the local backend server from connections that it dropped."""

import asyncio
from typing import Any

from daisylink.request import LostRequest

# Requests that are lost within this time are examined together.
DELAY_SECONDS = 0.02
PROBE_TIMEOUT_SECONDS = 0.5


class CrashCheck:
    """Examines the server after requests whose connections it dropped.

    :param gateway: the process's :class:`~daisylink.serving.Gateway`.
    """

    def __init__(self, gateway: Any):
        self.gateway = gateway
        self.lost_requests: list[LostRequest] = []
        self.probes: set[asyncio.Task] = set()

    def record_lost(self, lost: LostRequest) -> None:
        """Record a request whose connection the server dropped."""
        if not self.lost_requests:
            self.gateway.loop.call_later(DELAY_SECONDS, self._start_probe)
        self.lost_requests.append(lost)

    def _start_probe(self) -> None:
        task = self.gateway.loop.create_task(self._probe())
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)

    async def _probe(self) -> None:
        """Check for a crash: a crashed server does not accept a new connection."""
        lost_requests, self.lost_requests = tuple(self.lost_requests), []
        host, _, port = self.gateway.server_address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError):
            self.gateway.on_server_crashed(lost_requests)
            self.gateway.record_server_unreachable()
            return
        writer.close()
