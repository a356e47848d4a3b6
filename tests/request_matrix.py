"""The fault matrix of a request: every fault at every step, for three kinds.

Each cell starts a small fleet on real sockets, sends one request, lets one fault strike
at one step, sends the request again as a caller would, and checks what must always
hold. ``python -m tests.request_matrix`` writes the table to docs.
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
from daisylink.request import Exchange, RunResult
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
PLACES = [
    Placement("x", "b"),
    Placement("x", "a"),
    Placement("y", "a"),
    Placement("z", "a"),
]
DEADLINE_MS = 1500
SERVICE_MS = 30.0
SLOW_SECONDS = 0.2
LATE_SECONDS = 2.0
ANSWER_SECONDS = 6.0
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
    """A property did not hold in a cell."""


def check(condition, message):
    if not condition:
        raise CellError(message)


class NotReachedError(CellError):
    """The request ended before the step, so the fault did not strike."""


class Subject(NamedTuple):
    """The process at a step: a node, or a node's backend server."""

    node: Node
    is_server: bool


class Cell:
    """One fault at one step for one kind of request."""

    def __init__(self, kind, step, fault):
        self.kind = kind
        self.step = step
        self.fault = fault
        self.name = f"{kind}/{step}/{fault}"
        self.fleet: LocalFleet
        self.struck = False
        self.struck_node: Node | None = None
        self.hung: Node | None = None
        self.extra: asyncio.Task | None = None
        self.caller: CallerClient
        self.sent = 0

    # Running

    async def run(self, application):
        """Run the cell; return what the first sending came to."""
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
        await fleet.start(PLACES, service_ms=SERVICE_MS)
        self._accept(make_content("a", "b", deadline_ms=DEADLINE_MS), "first")
        await fleet.wait_for_servers()
        await fleet.wait_for(
            lambda: all(node.fleet.replica_manager.map.number for node in fleet.nodes)
        )
        for node in fleet.nodes:
            _cells[node.gateway] = self
        self.caller = CallerClient(str(fleet.nodes[0].callers_address))
        answer = await self._send(self.caller)
        if self.step == "record" and self.kind != "keyed":
            self.struck = True
        if not self.struck:
            raise NotReachedError(f"the fault did not strike: {describe(answer)}")
        if self.extra is not None:
            self._check_answer(await self.extra)
        self._check_answer(answer)
        await self._check_resend(answer)
        await self._check_given_back()
        return describe(answer)

    def _accept(self, content, name):
        store = self.fleet.platform.store
        run_acceptance(Acceptance(make_proposal(content, name)), store)
        self.fleet.platform.changed.set()
        self.fleet.platform.changed = asyncio.Event()

    async def _send(self, caller):
        """Send the request; return its answer, None if the caller has gone."""
        self.sent += 1
        path = "/a/read" if self.kind == "idempotent" else "/a/write"
        headers = {"x-request-id": self.name.replace(" ", "-")}
        if self.kind == "keyed":
            headers["idempotency-key"] = "k"
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await caller.call("POST", path, HOST, b"body", headers)
        except (OSError, AttributeError):
            return None
        except TimeoutError:
            if self._entry_is_gone():
                return None
            raise CellError("no answer in time") from None

    # Faults

    def strike(self, subject: Subject, proceed: Callable[[], None]):
        """Let the fault strike once; otherwise proceed."""
        if self.struck:
            proceed()
            return
        self.struck = True
        self.struck_node = subject.node
        loop = self.fleet.application.loop
        match self.fault:
            case "crash before":
                self.crash(subject)
            case "crash after":
                proceed()
                loop.call_soon(self.crash, subject)
            case "hang":
                self.hung = subject.node
            case "slow":
                loop.call_later(SLOW_SECONDS, proceed)
            case "late answer":
                loop.call_later(LATE_SECONDS, proceed)
            case "lost answer":
                proceed()
                loop.call_soon(self.cut_connections, subject)
            case "twice":
                other = CallerClient(str(self.fleet.nodes[3].callers_address))
                self.extra = loop.create_task(self._send(other))
                proceed()
            case "reordered":
                other = CallerClient(str(self.fleet.nodes[2].callers_address))
                self.extra = loop.create_task(self._send(other))
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
        """End a process at once."""
        if subject.is_server:
            index = self.fleet.nodes.index(subject.node)
            self.fleet.backends[index].kill()
            return
        self.cut_connections(subject)
        task = self.fleet.application.loop.create_task(subject.node.close())
        subject.node.tasks.add(task)

    def cut_connections(self, subject):
        """Cut every connection of a process."""
        if subject.is_server:
            index = self.fleet.nodes.index(subject.node)
            for connection in list(self.fleet.backends[index].connections):
                connection.transport.abort()
            return
        for caller in list(subject.node.gateway.callers):
            caller.transport.abort()

    # Properties

    def _runs(self):
        name = self.name.replace(" ", "-")
        return sum(backend.runs[name] for backend in self.fleet.backends)

    def _entry_is_gone(self):
        """Return whether the fault took the caller's own connection.

        A process that hangs before it has set a timer leaves nobody who could answer.
        """
        at_entry = self.step in ("arrival", "choice", "hop", "relay")
        takes = ("crash before", "crash after", "lost answer", "cut")
        hung = self.step == "arrival" and self.fault == "hang"
        return hung or (at_entry and self.fault in takes)

    def _check_answer(self, answer: Response | None):
        if self.fault == "caller gone" or self._entry_is_gone():
            return
        check(answer is not None, "no answer")
        check(answer.is_complete and answer.status, "the answer is not whole")
        if not answer.code:
            check(answer.status == 200, f"status {answer.status}")
            name = answer.headers.get("x-request-id")
            check(name == self.name.replace(" ", "-"), "another call's answer")
        if answer.outcome == "not-run" and self.kind == "unkeyed" and self.sent == 1:
            check(self._runs() == 0, "refused as not run, but it ran")
        self._check_runs()

    def _check_runs(self):
        runs = self._runs()
        if self.kind == "keyed":
            check(runs <= 1, f"a keyed request ran {runs} times")
        if self.kind == "unkeyed":
            check(runs <= self.sent, f"{self.sent} sendings ran {runs} times")

    async def _check_resend(self, first: Response | None):
        """Send again, as a caller does that knows no answer.

        The resend comes in at a node that the fault did not take away; any of the
        three that serve the pool may have run the first sending.
        """
        if first is not None and first.status == 200 and self.kind == "unkeyed":
            return
        nodes = self.fleet.nodes
        entry = nodes[2] if nodes[2] is not self.struck_node else nodes[3]
        caller = CallerClient(str(entry.callers_address))
        answer = await self._send(caller)
        self._check_runs()
        if self.kind == "keyed" and first is not None and first.status == 200:
            is_kept = answer is not None and answer.body == first.body
            was_told = answer is not None and answer.code in (5019, 5020, 5021)
            told = describe(answer)
            check(is_kept or was_told, f"the recorded answer was not given: {told}")
        caller.close()

    async def _check_given_back(self):
        """Check that nothing is held any more.

        A process that hangs just where it would give its claim back still holds it.
        """

        def is_free():
            for node in self.fleet.nodes:
                gateway = node.gateway
                if node.closed:
                    continue
                if gateway.admission.in_use or gateway.balancer.in_flight:
                    return False
                if self.step == "record" and node is self.hung:
                    continue
                if node.fleet.claims.granted_claims or node.fleet.claims.pending_claims:
                    return False
            return True

        try:
            await self.fleet.wait_for(is_free, 3.0)
        except TimeoutError:
            raise CellError("a slot, count or claim was not given back") from None


def describe(answer: Response | None) -> str:
    """Return what a sending came to, in a word."""
    if answer is None or not answer.status:
        return "caller gone"
    if answer.code:
        return f"{answer.code} {answer.outcome}"
    return str(answer.status)


def install_hooks():
    """Wrap the steps of the real objects; return a function that undoes it."""
    undo = []

    def wrap(owner, name, make):
        original = getattr(owner, name)
        setattr(owner, name, make(original))
        undo.append(lambda: setattr(owner, name, original))

    def on_exchange(step, is_relay):
        def make(original):
            def hooked(self, *arguments):
                cell = _cells.get(self.gateway)
                wanted = cell is not None and cell.step == step
                if not wanted or self.is_relay is not is_relay or cell.struck:
                    return original(self, *arguments)
                node = _find_node(cell, self.gateway)
                subject = Subject(node, False)
                return cell.strike(subject, lambda: _go(original, self, arguments))

            return hooked

        return make

    def on_bytes(original):
        def hooked(self, data):
            cell = _cells.get(self.pool.gateway)
            exchange = self.exchange
            if cell is None or exchange is None or cell.struck:
                original(self, data)
                return
            step = "answer" if exchange.is_relay else "relay"
            if cell.step != step:
                original(self, data)
                return
            self.transport.pause_reading()

            def proceed():
                if self.exchange is exchange and not self.transport.is_closing():
                    self.transport.resume_reading()
                    original(self, data)

            node = _find_node(cell, self.pool.gateway)
            cell.strike(Subject(node, step == "answer"), proceed)

        return hooked

    def on_record(original):
        def hooked(self, exchange, fate, answer):
            cell = _cells.get(self.gateway)
            wanted = cell is not None and cell.step == "record" and not cell.struck
            if not wanted or fate is not RunResult.ANSWERED:
                original(self, exchange, fate, answer)
                return

            def proceed():
                original(self, exchange, fate, answer)

            cell.strike(Subject(self, False), proceed)

        return hooked

    def on_run(original):
        def hooked(self):
            for cell in set(_cells.values()):
                if cell.step == "run" and self.backend in cell.fleet.backends:
                    node = cell.fleet.nodes[cell.fleet.backends.index(self.backend)]
                    subject = Subject(node, True)
                    return cell.strike(subject, lambda: original(self))
            return original(self)

        return hooked

    wrap(Exchange, "start", on_exchange("arrival", False))
    wrap(Exchange, "_try", on_exchange("choice", False))
    wrap(Exchange, "_connect", on_exchange("hop", False))
    wrap(Exchange, "_try_local_server", on_exchange("admission", True))
    wrap(Node, "_complete_claim", on_record)
    wrap(HopConnection, "data_received", on_bytes)
    wrap(BackendConnection, "_run", on_run)
    return lambda: [step() for step in reversed(undo)]


def _go(original, exchange, arguments):
    """Proceed with a step, unless the request has ended meanwhile."""
    if not exchange.done:
        original(exchange, *arguments)


def _find_node(cell, gateway):
    return next(node for node in cell.fleet.nodes if node.gateway is gateway)


def run_cells(cells):
    """Run cells, a few at once; return what each came to, or its error."""
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
    """Run a cell; run it again if the step was not reached on a slow machine."""
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
