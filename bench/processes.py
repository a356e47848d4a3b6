"""Starts programs as subprocesses for benchmarks and tests, and stops only those."""

import asyncio
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

HOST = "127.0.0.1"
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
START_SECONDS = 30.0


class Usage(NamedTuple):
    """Processor time and resident memory of a process."""

    cpu_seconds: float
    resident_bytes: int


def find_free_ports(count):
    """Return ports that were free when checked; they are not reserved."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((HOST, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def read_usage(pid):
    """Return the resource usage of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage((int(fields[11]) + int(fields[12])) / TICKS, pages * PAGE_BYTES)


class Processes:
    """Context manager that stops the processes started through it."""

    def __init__(self):
        self.running = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.running:
            process.terminate()
        end = time.monotonic() + 5
        for process in self.running:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    def start(self, module, *arguments):
        """Start ``python -m module``; return the process."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, *map(str, arguments)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.running.append(process)
        return process

    def start_program(self, name, *arguments):
        """Start one of daisylink's programs; return the process."""
        code = f"from daisylink.commands.{name} import main; main()"
        process = subprocess.Popen(
            [sys.executable, "-c", code, *map(str, arguments)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.running.append(process)
        return process


async def wait_for(condition, seconds=START_SECONDS):
    """Poll until a coroutine function returns true.

    :raises TimeoutError: if it does not within ``seconds``.
    """
    end = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > end:
            raise TimeoutError("the fleet did not become ready")
        await asyncio.sleep(0.1)
