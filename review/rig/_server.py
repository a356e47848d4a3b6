"""A stand-in of a backend server."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from review.rig._http import encode, read_body, read_head

SEAL = "X-Daisylink-Response-Seal"
REQUEST_ID = "X-Daisylink-Request-Id"
MAX_QUEUED = 24


class Arrival(NamedTuple):
    """A request that reached the server.

    :param at: when its head was read, in seconds of the monotonic clock.
    """

    server: str
    name: str
    path: str
    at: float
    headers: dict[str, str]


class Reply(NamedTuple):
    """How the server answers one request.

    :param seconds: how long it works on it.
    :param make: makes the raw bytes of the answer from the request's id, None for a
        sound answer.
    :param is_shed: whether it rejects the request without running it.
    :param is_doubled: whether it sends the answer once more, when the next request
        comes on the connection.
    :param reads_late: whether it works first and reads the rest of the body then.
    """

    seconds: float = 0.05
    make: Callable[[str], bytes] | None = None
    is_shed: bool = False
    is_doubled: bool = False
    reads_late: bool = False


def sound_answer(name: str, instance: str, body: bytes, load: str) -> bytes:
    """Return an answer with the server's seal."""
    headers = {
        REQUEST_ID: name,
        SEAL: f"{instance}.{len(body)}.{name[:6]}",
        "X-Daisylink-Server-Load": load,
    }
    return encode(200, body, headers)


class Server:
    """A server with slots and a queue, one request at a time on a connection.

    :param instance: id of this start.
    :param slots: requests that it works on at once; a few more wait.
    :param plan: tells how it answers a request, from its path.
    :param record: the case's record.
    """

    def __init__(
        self,
        instance: str,
        slots: int,
        plan: Callable[[str], Reply],
        record,
        rng: random.Random | None = None,
    ):
        self.instance = instance
        self.born = round(time.time() * 1000)
        self.slots = slots
        self.plan = plan
        self.record = record
        self.rng = rng or random.Random(1)
        self.listener = None
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.arrivals: list[Arrival] = []
        # Ids of the requests that it began to work on, with the time.
        self.runs: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        # Copies of answers that are still to be sent, by connection, and the requests
        # before whose answer one was sent.
        self.late: dict[asyncio.StreamWriter, bytes] = {}
        self.doubled: set[str] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self._serve, host, port)

    def crash(self) -> None:
        """End at once, with all connections reset."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            self.late.pop(writer, None)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        first, headers = await read_head(reader)
        _, path, _ = first.split(" ")
        name = headers.get(REQUEST_ID.lower(), "")
        arrival = Arrival(self.instance, name, path, time.monotonic(), headers)
        self.arrivals.append(arrival)
        self.record.write("arrives", id=name, path=path, server=self.instance)
        reply = self.plan(path)
        if reply.reads_late:
            await self._run_and_read(name, reply, reader, writer, headers)
            return True
        await read_body(reader, headers)
        wanted = headers.get("x-daisylink-target-instance", self.instance)
        if wanted != self.instance:
            writer.write(encode(421, b"", {REQUEST_ID: name}))
            return True
        if self.waiting >= MAX_QUEUED:
            shed = {REQUEST_ID: name, "X-Daisylink-Not-Executed": "1"}
            writer.write(encode(503, b"", shed))
            return True
        late = self.late.pop(writer, None)
        if late is not None:
            writer.write(late)
            self.record.write("sends a late copy", before=name, server=self.instance)
            self.doubled.add(name)
        if reply.is_shed:
            # As "a server sheds" in `fleetbench wire`: the answer bears no id.
            shed = encode(503, b"", {"X-Daisylink-Not-Executed": "1"})
            writer.write(shed)
            self.record.write("sheds", id=name, server=self.instance)
            if reply.is_doubled:
                self.late[writer] = shed
            return True
        run = asyncio.ensure_future(self._run(name, reply, writer))
        leaves = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((run, leaves), return_when=asyncio.FIRST_COMPLETED)
            if not run.done():
                self.record.write("dropped", id=name, server=self.instance)
                return False
            return run.result()
        finally:
            run.cancel()
            leaves.cancel()
            # A reader serves one call at a time.
            await asyncio.gather(run, leaves, return_exceptions=True)

    async def _run_and_read(self, name, reply, reader, writer, headers) -> None:
        self.runs[name] = time.monotonic()
        self.record.write("runs", id=name, server=self.instance)
        async with self.free:
            await asyncio.sleep(reply.seconds)
            body = await read_body(reader, headers)
        self.answered[name] = time.monotonic()
        self.record.write("answers", id=name, server=self.instance)
        text = f"stored {len(body)} bytes".encode()
        writer.write(sound_answer(name, self.instance, text, f"0,0,{self.slots}"))

    async def _run(self, name: str, reply: Reply, writer) -> bool:
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[name] = time.monotonic()
        self.record.write("runs", id=name, server=self.instance)
        try:
            await asyncio.sleep(reply.seconds)
            if reply.make is not None:
                writer.write(reply.make(name))
                self.record.write("spoils", id=name, server=self.instance)
                return True
            body = f"answer to {name}".encode() * 20
            load = f"{self.running - 1},{self.waiting},{self.slots}"
            data = sound_answer(name, self.instance, body, load)
            writer.write(data)
            self.answered[name] = time.monotonic()
            self.record.write("answers", id=name, server=self.instance)
            return True
        finally:
            self.running -= 1
            self.free.release()
