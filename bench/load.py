"""An open-loop load generator: calls at fixed times over keep-alive connections."""

import asyncio
import statistics
import time
from typing import NamedTuple

import httptools


class Quantiles(NamedTuple):
    """Latency quantiles in milliseconds, and the number of calls."""

    p50: float
    p99: float
    count: int


class TimedConnection(asyncio.Protocol):
    """Connection that times calls, from the write to the end of the response."""

    def __init__(self):
        self.transport = None
        self.parser = None
        self.done = None
        self.status = 0

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.parser.feed_data(data)

    def connection_lost(self, _error):
        if self.done is not None and not self.done.done():
            self.done.set_result((time.perf_counter(), 0))

    def on_message_complete(self):
        now = time.perf_counter()
        if self.done is not None and not self.done.done():
            self.done.set_result((now, self.parser.get_status_code()))

    async def call(self, data):
        """Send a request; return its latency in seconds and its status."""
        self.parser = httptools.HttpResponseParser(self)
        self.done = asyncio.get_running_loop().create_future()
        started = time.perf_counter()
        self.transport.write(data)
        ended, status = await self.done
        return ended - started, status


class LoadGenerator:
    """Sends a request repeatedly to one address and records the latencies.

    :param data: the request, as bytes.
    """

    def __init__(self, address, data):
        self.address = address
        self.data = data
        self.idle = []
        self.latencies = []
        self.failed = 0

    async def call(self):
        """Make one timed call, on an idle connection if there is one."""
        if self.idle:
            connection = self.idle.pop()
        else:
            host, _, port = self.address.rpartition(":")
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                TimedConnection, host, int(port)
            )
        seconds, status = await connection.call(self.data)
        if status != 200:
            self.failed += 1
        self.latencies.append(seconds)
        if not connection.transport.is_closing():
            self.idle.append(connection)

    async def run(self, rate, seconds):
        """Make calls at a rate per second for a number of seconds."""
        start = time.perf_counter()
        tasks = []
        for index in range(int(rate * seconds)):
            pause = start + index / rate - time.perf_counter()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(asyncio.create_task(self.call()))
        await asyncio.gather(*tasks)

    def quantiles(self):
        """Return the quantiles of all calls so far."""
        cuts = statistics.quantiles(self.latencies, n=100)
        return Quantiles(cuts[49] * 1000, cuts[98] * 1000, len(self.latencies))
