"""Stand-in of an application server, which announces itself to its node."""

import asyncio
import json
import time

from fleet.http import Listener, call, encode_request, encode_response

HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class AppServer(Listener):
    """A sound server; cases replace :attr:`respond` to bring faults about.

    :param record: writes a line of the case's record.
    """

    def __init__(self, host, port, name, service, zone, record, slots=6):
        super().__init__(host, port)
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.control = ""
        self.boot = 0
        self.sequence = 0
        self.born = 0
        self.work_seconds = 0.02
        self.respond = self.respond_soundly
        self.heartbeats = None
        self.returning = None
        self.runs = []

    @property
    def instance(self):
        """Return the id of this boot."""
        return f"i-{self.name}-{self.boot}"

    async def start(self, control):
        """Begin a new boot, which sends heartbeats to a node's control address."""
        self.control = control
        self.boot += 1
        self.sequence = 0
        self.born = int(time.time() * 1000)
        await self.listen()
        self.heartbeats = asyncio.create_task(self._send_heartbeats())

    def stop(self):
        """End at once, as in a crash."""
        self.stop_listening()
        for task in (self.heartbeats, self.returning):
            if task is not None:
                task.cancel()

    def crash(self, back_seconds):
        """Crash; a new boot comes back at the same address."""
        self.record(f"server {self.name} boot {self.boot} crashes")
        self.stop_listening()
        self.heartbeats.cancel()
        self.returning = asyncio.create_task(self._come_back(back_seconds))

    async def _come_back(self, seconds):
        await asyncio.sleep(seconds)
        await self.start(self.control)
        self.record(f"server {self.name} is back, boot {self.boot}")

    async def _send_heartbeats(self):
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left": "0ms",
                "seq": self.sequence,
                "born": self.born,
            }
            target = f"/-/rpc?call=instances.heartbeat&of={self.instance}"
            data = json.dumps(body).encode()
            request = encode_request("POST", target, self.control, (), data)
            answer = await call(self.control, request, ACK_SECONDS)
            is_heard = answer is not None and answer.status == 200
            await asyncio.sleep(HEARTBEAT_SECONDS if is_heard else 0.3)

    async def handle(self, message, reader, writer):
        """Run a request that names this boot, else refuse it with 421."""
        request_id = message.headers.get("x-daisylink-request-id", "")
        echo = {"X-Daisylink-Request-Id": request_id}
        if message.first[1] == "/health":
            writer.write(
                encode_response(200, b"", {"X-Daisylink-Instance-Id": self.instance})
            )
            return
        target = message.headers.get("x-daisylink-target-instance", self.instance)
        if target != self.instance:
            writer.write(encode_response(421, b"", echo))
            return
        self.runs.append((time.monotonic(), request_id))
        self.record(f"server {self.name} runs {request_id}")
        await self.respond(message, writer)

    async def respond_soundly(self, message, writer):
        """Work for a while and answer with the server's proof."""
        await asyncio.sleep(self.work_seconds)
        request_id = message.headers["x-daisylink-request-id"]
        writer.write(
            encode_response(
                200,
                f"answer to {request_id}".encode(),
                self.answer_headers(message),
            )
        )

    def answer_headers(self, message):
        """Return the headers of a success."""
        return {
            "X-Daisylink-Request-Id": message.headers["x-daisylink-request-id"],
            "X-Daisylink-Response-Seal": SEAL,
        }
