"""``daisylinkctl``: command-line tool for operators."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from daisylink.clock import SystemClock
from daisylink.commands._burn_report import (
    format_burn_html,
    format_burn_text,
    make_burn_rows,
)
from daisylink.commands._configuration_check import (
    ConfigurationFormat,
    check_configuration,
    describe_review,
    format_review,
    is_configuration,
)
from daisylink.commands._operations import Operations, ZoneReport
from daisylink.commands._run import EXIT_FAILURE, exit_with
from daisylink.errors import DaisylinkError, ResultCode, SheetError, format_code_table
from daisylink.platform import CONFIG_KEY, MetadataStore, read_draft
from daisylink.process import ControlClient
from daisylink.settings import Address
from daisylink.store import ConsulStore
from daisylink.version import (
    Content,
    Delta,
    HeadRecord,
    InvalidSheetError,
    Review,
    describe_delta,
    read_sheet,
)

DIGEST_DIGITS = 12
STORE_TIMEOUT = timedelta(seconds=2)

app = typer.Typer(add_completion=False, no_args_is_help=True)
report_app = typer.Typer(no_args_is_help=True, help="Reports over the whole fleet.")
app.add_typer(report_app, name="report")

Sheet = Annotated[Path, typer.Argument(help="CSV file exported by the planners.")]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Platform = Annotated[
    str,
    typer.Option(
        envvar="DAISYLINK_PLATFORM", help="Address of the key-value service, ip:port."
    ),
]
Nodes = Annotated[
    str,
    typer.Option(
        "--node",
        envvar="DAISYLINK_NODES",
        help="Control addresses of one node per zone, separated by commas; "
        "needed when the platform is unavailable.",
    ),
]
Note = Annotated[str, typer.Option(help="Reason, kept in the history.")]
DEFAULT_PLATFORM = "127.0.0.1:8500"


@app.command()
def check(
    sheet: Annotated[
        Path, typer.Argument(help="CSV sheet, or the store's JSON configuration.")
    ],
    base: Annotated[
        Path | None, typer.Option(help="Configuration in force, as a file.")
    ] = None,
    store: Annotated[
        str, typer.Option(help="Address of the store that holds the one in force.")
    ] = "",
    node: Annotated[
        str, typer.Option(help="Peers' address of a node, to check for servers.")
    ] = "",
    strict: Annotated[bool, typer.Option(help="Fail on warnings too.")] = False,
    json: Json = False,
) -> None:
    """Validate a sheet or a configuration and print everything wrong with it."""
    data = _read_file(sheet)
    if is_configuration(data):
        base_data = _read_file(base) if base is not None else None
        review = _review(data, base_data, store, node)
        _print(json, describe_review(review), format_review(review))
        if review.has_errors or (strict and review.findings):
            raise SystemExit(EXIT_FAILURE)
        return
    content = _load_sheet(sheet, json)
    _print(
        json,
        {"ok": True, **_count(content)},
        f"ok: {len(content.services)} services, {len(content.pools)} pools, "
        f"{len(content.routes)} routes",
    )


@app.command()
def diff(sheet: Sheet, platform: Platform = DEFAULT_PLATFORM, json: Json = False):
    """Print the changes that accepting a sheet would make."""
    content = _load_sheet(sheet, json)
    delta = _run(platform, lambda operations: operations.diff(content))
    lines = describe_delta(delta)
    _print(json, {"changes": lines}, "\n".join(lines) or "no change")


@app.command()
def accept(
    sheet: Sheet,
    platform: Platform = DEFAULT_PLATFORM,
    note: Note = "",
    base: Annotated[
        int | None, typer.Option(help="Refuse unless the head is this version.")
    ] = None,
    json: Json = False,
):
    """Accept a sheet as the next version."""
    content = _load_sheet(sheet, json)
    report = _run(platform, lambda operations: operations.accept(content, note, base))
    _print_acceptance(json, report.record, report.is_new)


@app.command()
def rollback(
    number: int,
    platform: Platform = DEFAULT_PLATFORM,
    note: Note = "",
    json: Json = False,
):
    """Accept the content of an earlier version as a new version."""
    report = _run(platform, lambda operations: operations.roll_back(number, note))
    _print_acceptance(json, report.record, report.is_new)


@app.command()
def history(
    count: Annotated[int, typer.Option(help="Maximum number of versions.")] = 20,
    platform: Platform = DEFAULT_PLATFORM,
    json: Json = False,
):
    """Print the last versions, newest first."""
    records = _run(platform, lambda operations: operations.history(count))
    lines = [
        f"{record.number}\t{record.accepted_at:%Y-%m-%d %H:%M:%S}\t{record.author}\t"
        f"{record.digest.hex()[:DIGEST_DIGITS]}\t{record.note}"
        for record in records
    ]
    value = [_describe_record(record) for record in records]
    _print(json, value, "\n".join(lines) or "no version yet")


@app.command()
def show(
    number: Annotated[
        int | None, typer.Argument(help="Version; default: head.")
    ] = None,
    platform: Platform = DEFAULT_PLATFORM,
    json: Json = False,
):
    """Print the rows of a version."""
    content = _run(platform, lambda operations: operations.read_content(number))
    lines = [repr(row) for rows in content for row in rows]
    value = {
        "pools": [row._asdict() for row in content.pools],
        "services": [row._asdict() for row in content.services],
        "routes": [row._asdict() for row in content.routes],
    }
    _print(json, value, "\n".join(lines) or "no version yet")


@app.command()
def status(platform: Platform = DEFAULT_PLATFORM, node: Nodes = "", json: Json = False):
    """Print the number of nodes on each version, by zone."""
    reports = _run(platform, lambda operations: operations.survey(_split_nodes(node)))
    value = [_describe_zone(report) for report in reports]
    lines = [_format_zone(report) for report in reports]
    _print(json, value, "\n".join(lines) or "no zone yet")


@app.command()
def wait(
    number: int,
    timeout: Annotated[float, typer.Option(help="Seconds.")] = 16.0,
    platform: Platform = DEFAULT_PLATFORM,
    node: Nodes = "",
    json: Json = False,
):
    """Wait until every live node routes by a version, and print how long it took."""

    def show_progress(reports: list[ZoneReport]) -> None:
        if not json:
            print(" | ".join(_format_zone(report) for report in reports))

    limit = timedelta(seconds=timeout)
    nodes = _split_nodes(node)
    report = _run(
        platform,
        lambda operations: operations.wait_for_version(
            number, limit, nodes, show_progress
        ),
    )
    text = (
        f"version {report.number} in force on {report.nodes} nodes, "
        f"{report.seconds:.3f} s after acceptance"
    )
    _print(json, report._asdict(), text)


@report_app.command()
def burn(
    platform: Platform = DEFAULT_PLATFORM,
    node: Nodes = "",
    html: Annotated[
        Path | None,
        typer.Option(help="Also write an HTML page with plots to this file."),
    ] = None,
    json: Json = False,
):
    """Print each service's error budget burn."""
    reply = _run(platform, lambda operations: operations.read_burn(_split_nodes(node)))
    if html is not None:
        made_at = f"{SystemClock().now():%Y-%m-%d %H:%M:%S} UTC"
        html.write_text(format_burn_html(reply, made_at))
    _print(
        json, [row._asdict() for row in make_burn_rows(reply)], format_burn_text(reply)
    )


@report_app.callback()
def reports() -> None:
    """Reports over the whole fleet."""


@app.command()
def codes() -> None:
    """Print the table of result codes as Markdown."""
    print(format_code_table())


def main() -> None:
    """Run the program."""
    app()


def _run(
    platform: str, operation: Callable[[Operations], Coroutine[Any, Any, Any]]
) -> Any:
    """Run one operation and return its result; on an error, exit.

    :param platform: address of the key-value service.
    :param operation: called with the operations, returns the coroutine to run.
    """

    async def run() -> Any:
        store = ConsulStore(platform)
        client = ControlClient(lambda *_: None)
        try:
            operations = Operations(store, client, SystemClock(), random.SystemRandom())
            return await operation(operations)
        finally:
            await client.close()
            await store.close()

    try:
        Address.from_text(platform, "platform")
        return asyncio.run(run())
    except DaisylinkError as error:
        exit_with(error)


def _review(data: bytes, base: bytes | None, address: str, node: str) -> Review:
    """Review a configuration; on an error of the store or the node, exit."""
    configuration_format = ConfigurationFormat(CONFIG_KEY, read_draft)

    async def run() -> Review:
        store = MetadataStore(address, STORE_TIMEOUT) if address else None
        try:
            return await check_configuration(
                data, configuration_format, base, store, node
            )
        finally:
            if store is not None:
                store.close()

    try:
        for name, text in (("store", address), ("node", node)):
            if text:
                Address.from_text(text, name)
        return asyncio.run(run())
    except DaisylinkError as error:
        exit_with(error)


def _read_file(path: Path) -> bytes:
    """Return the bytes of a file; exit if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        message = f"cannot read {path}: {error.strerror}"
        exit_with(SheetError(message, ResultCode.SHEET_UNREADABLE))


def _load_sheet(path: Path, json: bool) -> Content:
    """Return the content of a sheet; print its errors and exit if it is invalid."""
    try:
        return read_sheet(_read_file(path))
    except InvalidSheetError as error:
        value = {
            "ok": False,
            "faults": [
                {
                    "row": fault.row,
                    "column": fault.column,
                    "code": int(fault.code),
                    "message": fault.message,
                }
                for fault in error.faults
            ],
        }
        _print(json, value, "\n".join(str(fault) for fault in error.faults))
        raise SystemExit(EXIT_FAILURE) from error


def _split_nodes(text: str) -> tuple[str, ...]:
    return tuple(item for item in text.split(",") if item)


def _count(content: Content) -> dict[str, int]:
    return {
        "services": len(content.services),
        "pools": len(content.pools),
        "routes": len(content.routes),
    }


def _describe_record(record: HeadRecord) -> dict[str, Any]:
    return {
        "number": record.number,
        "digest": record.digest.hex(),
        "accepted_at": record.accepted_at,
        "author": record.author,
        "note": record.note,
        "changes": describe_delta(record.delta or Delta()),
    }


def _print_acceptance(json: bool, record: HeadRecord, is_new: bool) -> None:
    value = {"accepted": is_new, **_describe_record(record)}
    if is_new:
        _print(json, value, f"version {record.number} accepted")
    else:
        code = int(ResultCode.ACCEPT_UNCHANGED)
        _print(json, value, f"[{code}] equals version {record.number}; nothing to do")


def _describe_zone(report: ZoneReport) -> dict[str, Any]:
    survey = report.survey
    if survey is None:
        return {"zone": report.zone, "answered": False}
    newest = max(survey.counts, default=0)
    return {
        "zone": report.zone,
        "answered": True,
        "counts": {str(number): count for number, count in survey.counts.items()},
        "unreachable": survey.unreachable,
        "last_installed": survey.last_installed,
        "laggards": [
            {"node": laggard.node, "version": laggard.number}
            for laggard in survey.laggards
            if laggard.number < newest
        ],
    }


def _format_zone(report: ZoneReport) -> str:
    survey = report.survey
    if survey is None:
        return f"{report.zone}: no node answers"
    newest = max(survey.counts, default=0)
    counts = ", ".join(
        f"version {number}: {count}" for number, count in sorted(survey.counts.items())
    )
    text = f"{report.zone}: {counts}"
    if survey.unreachable:
        text += f", unreachable: {survey.unreachable}"
    lagging = [item.node for item in survey.laggards if item.number < newest]
    return text + (f", behind: {' '.join(lagging)}" if lagging else "")


def _print(json: bool, value: Any, text: str) -> None:
    print(msgspec.json.encode(value).decode() if json else text)
