"""Fault matrix of requests: every fault at every step, for three kinds of request.

Each cell starts a small fleet on real sockets, sends one request, injects one fault at
one step, resends the request as a caller would and checks the invariants.
``python -m tests.request_matrix`` writes the table to docs.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from daisylink.clock import LoopClock
from daisylink.connection import HopConnection
from daisylink.logs import configure_logging
from daisylink.loop import LoopRunner
from daisylink.process import FleetSettings
from daisylink.process._claims import ClaimSettings
from daisylink.process._node import Node
from daisylink.process._reader import ReaderSettings
from daisylink.process._readiness import ReadinessSettings
from daisylink.process._replicas import ReplicaSettings
from daisylink.request import Exchange, RequestSender, RunResult
from daisylink.serving._gateway import Gateway
from daisylink.standin import CallerClient, LocalFleet, Placement, Response
from daisylink.standin._backend import BackendConnection
from daisylink.version import Acceptance
from tests.loopback import LOOPBACK_HOST
from tests.paced_loop import PacedLoop
from tests.support import HOST, make_content, make_proposal, run_acceptance

KINDS = ("idempotent", "keyed", "unkeyed")
STEPS = (
    "arrival", "choice", "hop", "admission", "run", "answer", "record", "relay",
)  # fmt: skip
FAULTS = (
    "crash before", "crash after", "hang", "slow", "lost answer", "late answer",
    "twice", "reordered", "cut", "drain meanwhile", "version change meanwhile",
    "caller gone",
)  # fmt: skip
PLACEMENTS = [
    Placement("x", "b"),
    Placement("x", "a"),
    Placement("y", "a"),
    Placement("z", "a"),
]
DEADLINE_MS = 1500
SERVICE_MS = 30.0
SLOW_SECONDS = 0.2
LATE_SECONDS = 2.0
RESPONSE_TIMEOUT_SECONDS = 6.0
TRIES = 3
CELLS_AT_ONCE = 6
TABLE = Path(__file__).parent.parent / "docs" / "MATRIX-REQUESTS.md"
INTRODUCTION = """# Fault matrix: requests

Written by `python -m tests.request_matrix` from a run of every cell: four nodes in
three zones on real sockets, one request through a node without a server of its pool,
one fault, then a resend through another node. Cells tell what the first sending came
to.
Checked in each: a caller that stays gets one whole answer, its own, before the deadline
and a margin; what is refused as `not-run` did not run; a request that is not idempotent
runs at most once for each sending, a keyed one at most once in all; slots, in-flight
counts and claims are given back.
"""
FAST = FleetSettings(
    reader=ReaderSettings(poll_interval=timedelta(milliseconds=150)),
    readiness=ReadinessSettings(timeout=timedelta(milliseconds=300)),
    claims=ClaimSettings(timeout=timedelta(seconds=1)),
    replicas=ReplicaSettings(
        check_interval=timedelta(milliseconds=100),
        initial_wait=timedelta(milliseconds=500),
    ),
)

_cells: dict[Gateway, "Cell"] = {}


class CellError(AssertionError):
    """An invariant was violated in a cell."""


def check(condition, message):
    if not condition:
        raise CellError(message)


class NotReachedError(CellError):
    """The request ended before the step, so the fault was not injected."""


class Subject(NamedTuple):
    """The process that performs a step: a node or its backend server."""

    node: Node
    is_server: bool


class Cell:
    """One fault at one step of one kind of request."""

    def __init__(self, kind, step, fault):
        self.kind = kind
        self.step = step
        self.fault = fault
        self.name = f"{kind}/{step}/{fault}"
        self.fleet: LocalFleet
        self.is_injected = False
        self.faulty_node: Node | None = None
        self.hung_node: Node | None = None
        self.duplicate: asyncio.Task | None = None
        self.caller: CallerClient
        self.sent = 0

    # Running

    async def run(self, application):
        """Run the cell and return the result of the first sending."""
        clock = LoopClock(application.loop)
        self.fleet = LocalFleet(application, 1, FAST, clock, LOOPBACK_HOST)
        try:
            return await self._run()
        finally:
            for node in self.fleet.nodes:
                _cells.pop(node.gateway, None)
            await self.fleet.close()

    async def _run(self):
        fleet = self.fleet
        await fleet.start(PLACEMENTS, service_ms=SERVICE_MS)
        self._accept(make_content("a", "b", deadline_ms=DEADLINE_MS), "first")
        await fleet.wait_for_servers()
        await fleet.wait_for(
            lambda: all(node.fleet.replica_manager.map.number for node in fleet.nodes)
        )
        for node in fleet.nodes:
            _cells[node.gateway] = self
        self.caller = CallerClient(str(fleet.nodes[0].callers_address))
        response = await self._send(self.caller)
        if self.step == "record" and self.kind != "keyed":
            self.is_injected = True
        if not self.is_injected:
            raise NotReachedError(f"the fault was not injected: {describe(response)}")
        if self.duplicate is not None:
            self._check_response(await self.duplicate)
        self._check_response(response)
        await self._check_resend(response)
        await self._check_released()
        return describe(response)

    def _accept(self, content, name):
        store = self.fleet.platform.store
        run_acceptance(Acceptance(make_proposal(content, name)), store)
        self.fleet.platform.changed.set()
        self.fleet.platform.changed = asyncio.Event()

    async def _send(self, caller):
        """Send the request and return its response, None if the connection was lost."""
        self.sent += 1
        path = "/a/read" if self.kind == "idempotent" else "/a/write"
        headers = {"x-request-id": self.name.replace(" ", "-")}
        if self.kind == "keyed":
            headers["idempotency-key"] = "k"
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                return await caller.call("POST", path, HOST, b"body", headers)
        except (OSError, AttributeError):
            return None
        except TimeoutError:
            if self._is_entry_lost():
                return None
            raise CellError("no response in time") from None

    # Faults

    def inject(self, subject: Subject, proceed: Callable[[], None]):
        """Inject the fault the first time; proceed on later calls."""
        if self.is_injected:
            proceed()
            return
        self.is_injected = True
        self.faulty_node = subject.node
        loop = self.fleet.application.loop
        match self.fault:
            case "crash before":
                self.crash(subject)
            case "crash after":
                proceed()
                loop.call_soon(self.crash, subject)
            case "hang":
                self.hung_node = subject.node
            case "slow":
                loop.call_later(SLOW_SECONDS, proceed)
            case "late answer":
                loop.call_later(LATE_SECONDS, proceed)
            case "lost answer":
                proceed()
                loop.call_soon(self.cut_connections, subject)
            case "twice":
                other = CallerClient(str(self.fleet.nodes[3].callers_address))
                self.duplicate = loop.create_task(self._send(other))
                proceed()
            case "reordered":
                other = CallerClient(str(self.fleet.nodes[2].callers_address))
                self.duplicate = loop.create_task(self._send(other))
                loop.call_later(SLOW_SECONDS, proceed)
            case "cut":
                self.cut_connections(subject)
                for listener in subject.node.listeners:
                    listener.close()
                proceed()
            case "drain meanwhile":
                for backend in self.fleet.backends[1:2]:
                    loop.create_task(backend.drain())
                proceed()
            case "version change meanwhile":
                content = make_content("a", "b", "c", deadline_ms=DEADLINE_MS)
                self._accept(content, "second")
                proceed()
            case "caller gone":
                self.caller.writer.transport.abort()
                loop.call_later(0.01, proceed)

    def crash(self, subject):
        """Kill a process."""
        if subject.is_server:
            index = self.fleet.nodes.index(subject.node)
            self.fleet.backends[index].kill()
            return
        self.cut_connections(subject)
        task = self.fleet.application.loop.create_task(subject.node.close())
        subject.node.tasks.add(task)

    def cut_connections(self, subject):
        """Abort every connection of a process."""
        if subject.is_server:
            index = self.fleet.nodes.index(subject.node)
            for connection in list(self.fleet.backends[index].connections):
                connection.transport.abort()
            return
        for caller in list(subject.node.gateway.callers):
            caller.transport.abort()

    # Invariants

    def _runs(self):
        name = self.name.replace(" ", "-")
        return sum(backend.runs[name] for backend in self.fleet.backends)

    def _is_entry_lost(self):
        """Return whether the fault breaks the caller's own connection.

        A process that hangs before it has set a timer cannot respond either.
        """
        at_entry = self.step in ("arrival", "choice", "hop", "relay")
        connection_faults = ("crash before", "crash after", "lost answer", "cut")
        hung = self.step == "arrival" and self.fault == "hang"
        return hung or (at_entry and self.fault in connection_faults)

    def _check_response(self, response: Response | None):
        if self.fault == "caller gone" or self._is_entry_lost():
            return
        check(response is not None, "no response")
        check(response.is_complete and response.status, "the response is incomplete")
        if not response.code:
            check(response.status == 200, f"status {response.status}")
            name = response.headers.get("x-request-id")
            check(
                name == self.name.replace(" ", "-"),
                "the response belongs to another request",
            )
        if response.outcome == "not-run" and self.kind == "unkeyed" and self.sent == 1:
            check(self._runs() == 0, "refused as not run, but it ran")
        self._check_runs()

    def _check_runs(self):
        runs = self._runs()
        if self.kind == "keyed":
            check(runs <= 1, f"a keyed request ran {runs} times")
        if self.kind == "unkeyed":
            check(runs <= self.sent, f"{self.sent} sendings ran {runs} times")

    async def _check_resend(self, first: Response | None):
        """Resend, as a caller does that got no response.

        The resend enters at a node that the fault did not hit; any of the three that
        serve the pool may have run the first sending.
        """
        if first is not None and first.status == 200 and self.kind == "unkeyed":
            return
        nodes = self.fleet.nodes
        entry = nodes[2] if nodes[2] is not self.faulty_node else nodes[3]
        caller = CallerClient(str(entry.callers_address))
        response = await self._send(caller)
        self._check_runs()
        if self.kind == "keyed" and first is not None and first.status == 200:
            is_replayed = response is not None and response.body == first.body
            has_key_code = response is not None and response.code in (5019, 5020, 5021)
            description = describe(response)
            check(
                is_replayed or has_key_code,
                f"the recorded response was not replayed: {description}",
            )
        caller.close()

    async def _check_released(self):
        """Check that all slots, counts and claims are released.

        A process that hangs where it would release its claim still holds it.
        """

        def is_released():
            for node in self.fleet.nodes:
                gateway = node.gateway
                if node.closed:
                    continue
                if gateway.admission.in_use or gateway.balancer.in_flight:
                    return False
                if self.step == "record" and node is self.hung_node:
                    continue
                if node.fleet.claims.granted_claims or node.fleet.claims.pending_claims:
                    return False
            return True

        try:
            await self.fleet.wait_for(is_released, 3.0)
        except TimeoutError:
            raise CellError("a slot, count or claim was not released") from None


def describe(response: Response | None) -> str:
    """Return the result of a sending as a short text."""
    if response is None or not response.status:
        return "caller gone"
    if response.code:
        return f"{response.code} {response.outcome}"
    return str(response.status)


def install_hooks():
    """Wrap the methods that perform the steps.

    :returns: a function that undoes it.
    """
    undo = []

    def wrap(owner, name, make):
        original = getattr(owner, name)
        setattr(owner, name, make(original))
        undo.append(lambda: setattr(owner, name, original))

    def on_request(step, is_relay):
        def make(original):
            def hooked(self, *arguments):
                cell = _cells.get(self.gateway)
                applies = cell is not None and cell.step == step
                if not applies or self.is_relay is not is_relay or cell.is_injected:
                    return original(self, *arguments)
                node = _find_node(cell, self.gateway)
                subject = Subject(node, False)
                return cell.inject(
                    subject, lambda: _proceed_unless_done(original, self, arguments)
                )

            return hooked

        return make

    def on_bytes(original):
        def hooked(self, data):
            cell = _cells.get(self.pool.gateway)
            sender = self.sender
            if cell is None or sender is None or cell.is_injected:
                original(self, data)
                return
            step = "answer" if sender.is_relay else "relay"
            if cell.step != step:
                original(self, data)
                return
            self.transport.pause_reading()
            # The buffer of the read is used for others until the bytes are delivered.
            data = bytes(data)

            def proceed():
                if self.sender is sender and not self.transport.is_closing():
                    self.transport.resume_reading()
                    original(self, data)

            node = _find_node(cell, self.pool.gateway)
            cell.inject(Subject(node, step == "answer"), proceed)

        return hooked

    def on_record(original):
        def hooked(self, exchange, run_result, response):
            cell = _cells.get(self.gateway)
            applies = (
                cell is not None and cell.step == "record" and not cell.is_injected
            )
            if not applies or run_result is not RunResult.ANSWERED:
                original(self, exchange, run_result, response)
                return

            def proceed():
                original(self, exchange, run_result, response)

            cell.inject(Subject(self, False), proceed)

        return hooked

    def on_run(original):
        def hooked(self):
            for cell in set(_cells.values()):
                if cell.step == "run" and self.backend in cell.fleet.backends:
                    node = cell.fleet.nodes[cell.fleet.backends.index(self.backend)]
                    subject = Subject(node, True)
                    return cell.inject(subject, lambda: original(self))
            return original(self)

        return hooked

    wrap(Exchange, "start", on_request("arrival", False))
    wrap(RequestSender, "_try", on_request("choice", False))
    wrap(RequestSender, "_connect", on_request("hop", False))
    wrap(RequestSender, "_try_local_server", on_request("admission", True))
    wrap(Node, "_complete_claim", on_record)
    wrap(HopConnection, "data_received", on_bytes)
    wrap(BackendConnection, "_run", on_run)
    return lambda: [step() for step in reversed(undo)]


def _proceed_unless_done(original, subject, arguments):
    """Proceed with a step unless the request has ended in the meantime.

    :param subject: the request's exchange or its sender.
    """
    exchange = subject.exchange if isinstance(subject, RequestSender) else subject
    if not exchange.done:
        original(subject, *arguments)


def _find_node(cell, gateway):
    return next(node for node in cell.fleet.nodes if node.gateway is gateway)


def run_cells(cells):
    """Run cells, a few at a time.

    :returns: the result of each cell, or its error.
    """
    configure_logging("CRITICAL")
    runner = LoopRunner(PacedLoop())
    results = {}

    async def run_one(cell, limit):
        async with limit:
            results[cell] = await _run_until_reached(cell, runner.application)

    async def run_all():
        limit = asyncio.Semaphore(CELLS_AT_ONCE)
        await asyncio.gather(*(run_one(cell, limit) for cell in cells))

    undo = install_hooks()
    try:
        runner.run(run_all())
    finally:
        undo()
    return results


async def _run_until_reached(cell, application):
    """Run a cell; repeat it if a slow machine did not reach the step."""
    for left in reversed(range(TRIES)):
        fresh = Cell(cell.kind, cell.step, cell.fault)
        try:
            return await fresh.run(application)
        except NotReachedError as error:
            if not left:
                return error
        except (CellError, TimeoutError) as error:
            return error


def write_table():
    """Run every cell and write the table to docs."""
    lines = [INTRODUCTION]
    for kind in KINDS:
        lines += [f"## {kind}", "", "| step | " + " | ".join(FAULTS) + " |"]
        lines.append("| --- " * (len(FAULTS) + 1) + "|")
        for step in STEPS:
            results = run_cells([Cell(kind, step, fault) for fault in FAULTS])
            texts = []
            for cell, result in results.items():
                red = isinstance(result, Exception)
                texts.append((cell.fault, f"RED: {result}" if red else result))
            found = dict(texts)
            row = " | ".join(found[fault] for fault in FAULTS)
            lines.append(f"| {step} | {row} |")
            print(lines[-1], flush=True)
        lines.append("")
    TABLE.write_text("\n".join(lines))


if __name__ == "__main__":
    write_table()
