"""End-to-end demo on one event loop: accept a sheet, serve calls, change it.

Run it with ``make demo``. It starts a stand-in platform and Hanbit's fleet in three
availability zones, accepts ``hanbit.csv`` and sends calls. While they run, it accepts
a change, drains one backend server and crashes another. It checks the outcome of each
call and exits with status 0 only if all checks pass.
"""

import asyncio
import random
import sys
from collections import Counter
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from daisylink.clock import SystemClock
from daisylink.commands import Operations, format_burn_html, make_burn_rows
from daisylink.logs import configure_logging
from daisylink.loop import Application, LoopRunner
from daisylink.process import ControlClient
from daisylink.standin import CallerClient, LocalFleet, Placement, Response
from daisylink.store import ConsulStore
from daisylink.version import Content, Priority, Route, read_sheet

SEED = 20261203
SHEET = Path(__file__).with_name("hanbit.csv")
BURN_PAGE = Path(__file__).parent.parent / "build" / "burn.html"
ZONES = ("kr-central-a", "kr-central-b", "kr-central-c")
SERVERS = {"roster": 4, "fieldfiles": 4, "dispatch": 3}
SERVICE_MS = 6.0
CALLERS = 12
CALLS_EACH = 100
CALL_PAUSE_SECONDS = 0.02
CONVERGENCE_TARGET = timedelta(seconds=16)
HOST = "roster.hanbit.example"
FILES_HOST = "files.hanbit.example"
PHOTO = bytes(200_000)


class Call(NamedTuple):
    """A request that the demo sends."""

    method: str
    path: str
    host: str
    body: bytes = b""


class CallResult(NamedTuple):
    """Result of one call."""

    call_id: str
    call: Call
    response: Response


CALLS = (
    Call("GET", "/roster/week/49", HOST),
    Call("GET", "/duty?district=7", HOST),
    Call("POST", "/callouts", HOST, b'{"leak": 7, "engineer": 12}'),
    Call("POST", "/reports/7", FILES_HOST, PHOTO),
)


def make_placements() -> list[Placement]:
    """Return the placements of Hanbit's backend servers, spread over its zones."""
    pools = [pool for pool, count in SERVERS.items() for _ in range(count)]
    return [
        Placement(ZONES[index % len(ZONES)], pool) for index, pool in enumerate(pools)
    ]


def make_change(content: Content) -> Content:
    """Return the content with a route added, from ``/oncall`` to ``dispatch``."""
    route = Route(
        "oncall", HOST, "/oncall", "dispatch", ("GET",), True, Priority.URGENT, 0, 64
    )
    return content._replace(routes=tuple(sorted([*content.routes, route])))


async def send_calls(fleet: LocalFleet, number: int, results: list[CallResult]) -> None:
    """Send the calls of one caller through one node and append their results.

    :param number: number of the caller, which also selects the node.
    """
    rng = random.Random(SEED + number)
    caller = CallerClient(str(fleet.nodes[number % len(fleet.nodes)].callers_address))
    for index in range(CALLS_EACH):
        call = rng.choice(CALLS)
        call_id = f"{number}-{index}"
        headers = {"x-request-id": call_id}
        response = await caller.call(
            call.method, call.path, call.host, call.body, headers
        )
        results.append(CallResult(call_id, call, response))
        await asyncio.sleep(CALL_PAUSE_SECONDS)
    caller.close()


def check_results(results: list[CallResult], runs: Counter[str]) -> list[str]:
    """Return a message for each guarantee that a call's result violates.

    :param runs: number of runs on all backend servers, by request id.
    """
    faults = []
    for result in results:
        count = runs[result.call_id]
        response = result.response
        if not response.status or not response.is_complete:
            faults.append(f"{result.call_id}: incomplete response")
        elif (
            not response.code and response.headers.get("x-request-id") != result.call_id
        ):
            faults.append(f"{result.call_id}: got the response of another call")
        if result.call.method == "POST" and count > 1:
            faults.append(f"{result.call_id}: ran {count} times")
        if response.outcome == "not-run" and count:
            faults.append(f"{result.call_id}: refused as not run, but it ran")
    return faults


def print_results(results: list[CallResult]) -> None:
    """Print the number of calls by outcome."""
    call_counts: Counter[str] = Counter()
    for result in results:
        response = result.response
        description = f"refused, code {response.code}, {response.outcome}"
        call_counts[
            description if response.code else f"answered, status {response.status}"
        ] += 1
    for description, count in call_counts.most_common():
        print(f"  {count:5d} calls {description}")


async def run_demo(application: Application) -> list[str]:
    """Run the demo; return a message for each failed check."""
    configure_logging("WARNING")
    fleet = LocalFleet(application, SEED)
    store = ConsulStore(fleet.platform.address)
    client = ControlClient(lambda *_: None)
    operations = Operations(store, client, SystemClock(), random.Random(SEED))
    placements = make_placements()
    await fleet.start(placements, slots=6, connections=120, service_ms=SERVICE_MS)
    print(f"started {len(placements)} nodes and backend servers in {len(ZONES)} zones")

    content = read_sheet(SHEET.read_bytes())
    first = (await operations.accept(content, "morning sheet")).record
    await fleet.wait_for_servers()
    results: list[CallResult] = []
    senders = [
        asyncio.create_task(send_calls(fleet, number, results))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(0.5)

    before = sum(node.control_bytes for node in fleet.nodes)
    second = (await operations.accept(make_change(content), "on-call route")).record
    report = await operations.wait_for_version(
        second.number, CONVERGENCE_TARGET, (), _ignore
    )
    spent = sum(node.control_bytes for node in fleet.nodes) - before
    milliseconds = report.seconds * 1000
    print(f"version {first.number} accepted, then {second.number} during calls")
    print(
        f"convergence time: {milliseconds:.1f} ms until all {report.nodes} nodes "
        f"routed by version {second.number}"
    )
    print(
        f"control bytes: {spent / len(placements):.0f} a node between acceptance and "
        "the end of the check"
    )

    await fleet.backends[1].drain()
    print("drained one backend server")
    await asyncio.sleep(0.3)
    fleet.backends[8].kill()
    print("crashed another backend server")
    await asyncio.gather(*senders)
    faults = await _check_change(fleet)
    await write_burn_page(operations)
    await fleet.nodes[2].stop()
    print("shut down one node gracefully")

    runs: Counter[str] = Counter()
    for backend in fleet.backends:
        runs.update(backend.runs)
    print(f"outcome of {len(results)} calls:")
    print_results(results)
    faults += check_results(results, runs)
    if timedelta(seconds=report.seconds) > CONVERGENCE_TARGET:
        faults.append("convergence took too long")
    await fleet.close()
    await client.close()
    await store.close()
    return faults


async def _check_change(fleet: LocalFleet) -> list[str]:
    """Return a message for each node that does not serve the added route."""
    faults = []
    for node in fleet.nodes:
        caller = CallerClient(str(node.callers_address))
        response = await caller.call("GET", "/oncall/7", HOST)
        caller.close()
        if response.status != 200:
            faults.append(f"{node.fleet.own_record.node} does not serve the new route")
    return faults


async def write_burn_page(operations: Operations) -> None:
    """Print the error budget report and write it as an HTML page."""
    reply = await operations.read_burn()
    BURN_PAGE.parent.mkdir(exist_ok=True)
    BURN_PAGE.write_text(format_burn_html(reply, "demo"))
    print("service-level burn, over all zones (page: build/burn.html):")
    for row in make_burn_rows(reply):
        if row.zone == "all":
            print(
                f"  {row.service}: {row.good_percent:.2f} % good, target "
                f"{row.target_percent:g} % within {row.slo_ms} ms"
            )


def _ignore(_reports) -> None:
    """Ignore the progress of :meth:`Operations.wait_for_version`."""


def main() -> None:
    """Run the demo and exit with 1 if a check failed."""
    runner = LoopRunner()
    faults = runner.run(run_demo(runner.application))
    for fault in faults:
        print(f"FAULT {fault}")
    print("all checks passed" if not faults else f"{len(faults)} faults")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
