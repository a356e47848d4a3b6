"""Runs one case: starts the deployment, plays the case, writes the record.

Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from fleet.http import call, encode_request
from fleet.node import Machine
from fleet.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 115.0
PORTS = 6
HOST = "app.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1048576,
    "header_timeout": "3000ms",
    "idle_timeout": "15s",
}
SETTLE_SECONDS = 2.5


def make_route(name, service, **fields):
    """Return a route to a service, by default an idempotent one."""
    spec = {
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout": "1000ms",
        "slo": "400ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return {
        "resource_type": "routes",
        "metadata": {"name": name},
        "spec": {**spec, **fields},
    }


def make_configuration(number, routes, services, **limits):
    """Return a configuration."""
    resources = list(routes)
    for name in services:
        spec = {"health_path": "/health", "max_conns": 120}
        resources.append(
            {"resource_type": "services", "metadata": {"name": name}, "spec": spec}
        )
    spec = {**LIMITS, **limits}
    resources.append(
        {"resource_type": "limits", "metadata": {"name": "limits"}, "spec": spec}
    )
    return {"version": f"r{number}", "resources": resources}


class Case:
    """The deployment of one case, and its record."""

    def __init__(self, file):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = (Path(file).parent / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.rng = random.Random()
        self.network = f"127.{self.rng.randint(64, 250)}.{self.rng.randint(1, 250)}"
        self.placeholders = []
        self.machines = []
        self.store = None
        self.folder = None
        self.record(f"trouble: {'on' if self.has_trouble else 'off'}")

    def record(self, text):
        """Write a line of the record."""
        seconds = time.monotonic() - self.started_at
        self.record_file.write(f"{seconds:9.3f} {text}\n")
        self.record_file.flush()

    def say(self, text):
        """Write a line of the record and print it."""
        self.record(text)
        print(text, flush=True)

    def _reserve_ports(self, ip, count):
        """Return free ports of an address; the sockets stay bound until the end."""
        ports = []
        for _ in range(count):
            holder = socket.socket()
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((ip, 0))
            self.placeholders.append(holder)
            ports.append(holder.getsockname()[1])
        return ports

    async def start(self, configuration, services):
        """Start the store and one machine for each service named, and wait for them.

        :param services: service of each machine by the machine's name.
        """
        ip = f"{self.network}.1"
        self.store = Store(ip, *self._reserve_ports(ip, 1))
        await self.store.start()
        self.store.put_json("op/config", configuration)
        for number, (name, service) in enumerate(services.items()):
            ip = f"{self.network}.{10 + number}"
            ports = self._reserve_ports(ip, PORTS)
            machine = Machine(
                name, ip, ports, service, self.store, self.folder, self.record
            )
            self.machines.append(machine)
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            await machine.wait_until_ready()
        await asyncio.sleep(SETTLE_SECONDS)

    def find(self, name):
        """Return a machine."""
        return next(machine for machine in self.machines if machine.name == name)

    async def request(self, machine, request_id, path, **options):
        """Send one request on a connection of its own; record and return the answer.

        :param options: method, body, headers, deadline_ms and seconds.
        """
        headers = {
            "X-Daisylink-Request-Id": request_id,
            "X-Daisylink-Deadline-Ms": options.get("deadline_ms", 4000),
            **options.get("headers", {}),
        }
        data = encode_request(
            options.get("method", "GET"), path, HOST, headers, options.get("body", b"")
        )
        self.record(f"{request_id} sent to {machine.name}: {path}")
        answer = await call(machine.outbound, data, options.get("seconds", 5.0))
        result = answer.status if answer is not None else "no answer"
        self.record(f"{request_id} answered: {result}")
        return answer

    def close(self):
        """End all that the case started."""
        for machine in self.machines:
            machine.stop()
        if self.store is not None:
            self.store.stop()
        for holder in self.placeholders:
            holder.close()


def run_case(file, play):
    """Play a case and exit with its status.

    :param play: coroutine function that gets the :class:`Case` and returns whether the
        rule was broken.
    """
    case = Case(file)
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        case.folder = folder
        try:
            status = asyncio.run(_play(case, play))
        except (Exception, asyncio.CancelledError) as error:
            case.say(f"could not run: {type(error).__name__}: {error}")
            if os.environ.get("KEEP_LOGS"):
                _print_logs(folder)
    case.record(f"exit status {status}")
    sys.exit(status)


async def _play(case, play):
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(MAX_SECONDS):
            is_broken = await play(case)
    finally:
        case.close()
        if os.environ.get("KEEP_LOGS"):
            _print_logs(case.folder)
    case.say("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD


def _print_logs(folder):
    for path in sorted(Path(folder).glob("*.log")):
        print(f"--- {path.name}")
        print(path.read_text()[-8000:])
