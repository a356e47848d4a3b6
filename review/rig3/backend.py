"""Stand-in of a backend server beside a machine of the system."""

import asyncio
import json
import time

from wire import HttpServer, Reply, call, read_body, read_head

SEAL_HEADER = "X-Daisylink-Response-Seal"
ID_HEADER = "X-Daisylink-Request-Id"
NOT_RUN_HEADER = "X-Daisylink-Not-Executed"
HEARTBEAT_SECONDS = 0.87
CALL_SECONDS = 1.0


class Backend(HttpServer):
    """A server with slots, which announces itself at its machine's control address.

    :param name: start of the ids of its boots.
    :param control: address for its heartbeats.
    :param record: function that notes a line for ``record.txt``.
    """

    def __init__(self, host, name, service, zone, control, record, slots=6):
        super().__init__(host)
        self.name = name
        self.service = service
        self.zone = zone
        self.control = control
        self.record = record
        self.slots = slots
        self.work_seconds = 0.03
        self.boots = 0
        self.instance = ""
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.is_up = False
        self.is_beating = True
        self.running = 0
        # Ids of the requests that this server began to run, with their times.
        self.runs = []
        self.beats = None

    async def boot(self):
        """Start a new boot at the same address, with a new id."""
        self.boots += 1
        self.instance = f"{self.name}-{self.boots}"
        self.born = round(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        await self.start(self.port)
        self.is_up = True
        if self.beats is None:
            self.beats = asyncio.ensure_future(self._beat())

    def crash(self):
        """End at once: connections are reset and new ones are refused."""
        self.is_up = False
        self.close()

    def stop(self):
        """End for good."""
        if self.beats is not None:
            self.beats.cancel()
        self.crash()

    async def _beat(self):
        while True:
            if self.is_up and self.is_beating:
                await self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def announce(self):
        """Send one heartbeat; return the status of its answer."""
        self.sequence += 1
        return await self.send_beat(self.state, self.sequence)

    async def send_beat(self, state, sequence):
        """Send a heartbeat of this boot, perhaps one that was held up."""
        beat = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left": "0ms",
            "seq": sequence,
            "born": self.born,
        }
        return await self._call("heartbeat", beat)

    async def leave(self):
        """Say that the server leaves; return the status of the answer."""
        return await self._call("leave", {"born": self.born})

    async def _call(self, verb, body):
        target = f"/-/rpc?call=instances.{verb}&of={self.instance}"
        headers = {"Content-Type": "application/json"}
        data = json.dumps(body).encode()
        return await call(self.control, "POST", target, data, headers, CALL_SECONDS)

    async def serve_one(self, reader, writer):
        """Read a request, check that it is meant for this boot, and run it."""
        start, headers = await read_head(reader)
        method, target, _ = start.split(" ")
        rejection = self.find_rejection(target, headers)
        if rejection is not None:
            await read_body(reader, headers)
            writer.write(rejection.encode())
            return
        self.running += 1
        instance = self.instance
        try:
            reply = await self.run(method, target, headers, reader, writer)
        finally:
            if instance == self.instance:
                self.running -= 1
        if reply is not None:
            writer.write(reply.encode())
            await writer.drain()

    def find_rejection(self, target, headers):
        """Return the answer to a request that is not run, None for others."""
        if target == "/health":
            return Reply(200, b"", {"X-Daisylink-Instance-Id": self.instance})
        wanted = headers.get("x-daisylink-target-instance")
        if wanted is not None and wanted != self.instance:
            return Reply(421, b"", {"X-Daisylink-Instance-Id": self.instance})
        request_id = headers.get("x-daisylink-request-id")
        if request_id is None:
            return Reply(400, b"", {NOT_RUN_HEADER: "1"})
        if self.running >= self.slots:
            return Reply(503, b"", {NOT_RUN_HEADER: "1", ID_HEADER: request_id})
        return None

    def note_run(self, target, headers):
        """Note that the server begins to run a request."""
        request_id = headers["x-daisylink-request-id"]
        self.runs.append((time.monotonic(), request_id))
        self.record(f"{self.instance} runs {request_id} {target}")

    async def run(self, method, target, headers, reader, writer):
        """Run a request whose head was read; return its answer."""
        self.note_run(target, headers)
        body = await read_body(reader, headers)
        await asyncio.sleep(self.work_seconds)
        return self.answer(headers, f"{self.instance} read {len(body)} bytes".encode())

    def answer(self, headers, body, status=200):
        """Return the server's own answer."""
        request_id = headers["x-daisylink-request-id"]
        load = f"{self.running},0,{self.slots}"
        found = {
            ID_HEADER: request_id,
            SEAL_HEADER: f"{self.instance}.{request_id}",
            "X-Daisylink-Server-Load": load,
        }
        return Reply(status, body, found)
