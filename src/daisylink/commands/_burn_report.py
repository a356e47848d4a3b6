"""Formats the error budget report as rows, text or a self-contained HTML page."""

import base64
import io
from html import escape
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.process import WINDOWS, BurnReply, ServiceBurn, ServiceCounts

PERCENT = 100.0
PLOT_INCHES = (9.0, 3.2)
PLOT_DPI = 100
CAUSE_LABELS = {
    "late": "late",
    "error": "server error",
    "cut": "answer broke off",
}
DUPLICATE_CODES = (
    str(int(ResultCode.REQUEST_KEY_RUNNING)),
    str(int(ResultCode.REQUEST_KEY_DONE)),
)
STYLE = """
body { font: 15px sans-serif; margin: 2em auto; max-width: 60em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
th, td { padding: 0.3em 0.8em; border-bottom: 1px solid #ddd; text-align: right }
th:first-child, td:first-child, td.causes { text-align: left }
tr.over td { background: #fbe9e7 }
img { max-width: 100% }
"""


class WindowBurn(NamedTuple):
    """Burn rate over one time window.

    :param window: length of the window, as shown.
    :param total: number of requests.
    :param bad: number of requests that were late or failed.
    :param burn: share of bad requests divided by the share that the objective
        allows; at 1 the error budget lasts exactly for its period.
    """

    window: str
    total: int
    bad: int
    burn: float


class BurnRow(NamedTuple):
    """Report on one service in one zone, or in all zones.

    :param zone: name of the zone, or ``all``.
    :param target_percent: share of good requests that the objective asks for.
    :param slo_ms: latency objective in milliseconds.
    :param good_percent: share of good requests in the longest window.
    :param budget_spent_percent: share of the longest window's error budget spent.
    :param windows: burn rates, shortest window first.
    :param causes: bad requests in the longest window by cause, most frequent first.
    :param late: responses later than ``slo_ms`` in the longest window.
    :param lost: requests that may have run but got no response, in the longest window.
    :param doubles_prevented: repeated requests that did not run again, because of
        their idempotency key.
    """

    service: str
    zone: str
    target_percent: float
    slo_ms: int
    good_percent: float
    budget_spent_percent: float
    windows: tuple[WindowBurn, ...]
    causes: dict[str, int]
    late: int
    lost: int
    doubles_prevented: int


def make_burn_rows(reply: BurnReply) -> list[BurnRow]:
    """Return one row per service for all zones, each followed by one row per zone."""
    rows = []
    for service in sorted({burn.service for burn in reply.services}):
        burns = [burn for burn in reply.services if burn.service == service]
        rows.append(_make_row(burns, "all"))
        rows += [_make_row([burn], burn.zone) for burn in burns]
    return rows


def format_burn_text(reply: BurnReply) -> str:
    """Return the report as text."""
    rows = make_burn_rows(reply)
    if not rows:
        return f"no requests counted on {reply.nodes} nodes"
    lines = [f"{reply.nodes} nodes"]
    for row in rows:
        burns = ", ".join(f"{item.window} {item.burn:.2f}" for item in row.windows)
        lines.append(
            f"{row.service} in {row.zone}: {row.good_percent:.3f} % good, target "
            f"{row.target_percent:g} % within {row.slo_ms} ms, budget spent "
            f"{row.budget_spent_percent:.0f} %, burn {burns}; late {row.late}, "
            f"lost {row.lost}, duplicates prevented {row.doubles_prevented}"
        )
        lines += [f"    {cause}: {count}" for cause, count in row.causes.items()]
    return "\n".join(lines)


def format_burn_html(reply: BurnReply, made_at: str) -> str:
    """Return the report as one HTML page with embedded plots.

    :param made_at: time of the report, shown as given.
    """
    rows = make_burn_rows(reply)
    body = "".join(_format_row(row) for row in rows)
    burn_headers = "".join(
        f"<th>burn {_format_window(i)}</th>" for i in range(len(WINDOWS))
    )
    plots = "".join(
        f'<h2>{title}</h2><img alt="{title}" src="data:image/png;base64,{data}">'
        for title, data in (
            ("Burn by window", _plot_burn(rows)),
            ("Latency", _plot_latency(reply.services)),
        )
    )
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>Service-level burn"
        f"</title><style>{STYLE}</style><h1>Service-level burn</h1><p>{made_at}, "
        f"{reply.nodes} nodes. At a burn of 1 the error budget lasts exactly for its "
        f"period.</p><table><tr><th>service<th>zone<th>target<th>good<th>budget spent"
        f"{burn_headers}<th>late<th>lost<th>duplicates prevented<th>causes</tr>"
        f"{body}</table>{plots}</html>"
    )


def _make_row(burns: list[ServiceBurn], zone: str) -> BurnRow:
    first = burns[0]
    error_budget = 1 - first.slo_percent / PERCENT
    windows = []
    longest = ServiceCounts()
    for index in range(len(WINDOWS)):
        counts = ServiceCounts(codes={})
        for burn in burns:
            counts.add(burn.windows[index])
        bad = counts.late + counts.failed
        bad_share = bad / counts.total if counts.total else 0.0
        name = _format_window(index)
        windows.append(WindowBurn(name, counts.total, bad, bad_share / error_budget))
        longest = counts
    good = longest.total - longest.late - longest.failed
    causes = {_format_cause(code): count for code, count in longest.codes.items()}
    return BurnRow(
        service=first.service,
        zone=zone,
        target_percent=first.slo_percent,
        slo_ms=first.slo_ms,
        good_percent=PERCENT * good / longest.total if longest.total else PERCENT,
        budget_spent_percent=PERCENT * windows[-1].burn,
        windows=tuple(windows),
        causes=dict(sorted(causes.items(), key=lambda item: -item[1])),
        late=longest.late,
        lost=longest.lost,
        doubles_prevented=longest.resent
        + sum(longest.codes.get(code, 0) for code in DUPLICATE_CODES),
    )


def _format_window(index: int) -> str:
    minutes = round(WINDOWS[index].total_seconds() / 60)
    return f"{minutes} min" if minutes < 60 else f"{minutes // 60} h"


def _format_cause(code: str) -> str:
    if code.isdigit():
        return f"{code} {ResultCode(int(code)).name.lower()}"
    return CAUSE_LABELS.get(code, code)


def _format_row(row: BurnRow) -> str:
    cells = [
        escape(row.service),
        escape(row.zone),
        f"{row.target_percent:g} % in {row.slo_ms} ms",
        f"{row.good_percent:.3f} %",
        f"{row.budget_spent_percent:.0f} %",
        *(f"{item.burn:.2f}" for item in row.windows),
        str(row.late),
        str(row.lost),
        str(row.doubles_prevented),
    ]
    causes = ", ".join(f"{escape(name)}: {count}" for name, count in row.causes.items())
    kind = ' class="over"' if row.budget_spent_percent > PERCENT else ""
    body = "".join(f"<td>{cell}</td>" for cell in cells)
    return f'<tr{kind}>{body}<td class="causes">{causes}</td></tr>'


def _plot_burn(rows: list[BurnRow]) -> str:
    """Return a bar plot of each service's burn rates over all zones.

    :returns: base64-encoded PNG image.
    """
    from matplotlib.figure import Figure

    shown = [row for row in rows if row.zone == "all"]
    figure = Figure(figsize=PLOT_INCHES, dpi=PLOT_DPI, layout="constrained")
    axes = figure.subplots()
    width = 0.8 / len(WINDOWS)
    for index in range(len(WINDOWS)):
        positions = [number + index * width for number in range(len(shown))]
        heights = [row.windows[index].burn for row in shown]
        axes.bar(positions, heights, width, label=_format_window(index))
    axes.axhline(1.0, color="black", linewidth=0.8, linestyle="--")
    axes.set_xticks(
        [number + width for number in range(len(shown))],
        [row.service for row in shown],
    )
    axes.set_ylabel("burn")
    axes.legend()
    return _encode_figure(figure)


def _plot_latency(burns: list[ServiceBurn]) -> str:
    """Return a plot of each service's cumulative latency distribution.

    :returns: base64-encoded PNG image.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=PLOT_INCHES, dpi=PLOT_DPI, layout="constrained")
    axes = figure.subplots()
    for service in sorted({burn.service for burn in burns}):
        merged: dict[float, int] = {}
        for burn in burns:
            if burn.service == service:
                for bound, count in burn.latency.items():
                    merged[bound] = merged.get(bound, 0) + count
        bounds = sorted(bound for bound in merged if bound != float("inf"))
        total = sum(merged.values())
        shares, cumulative = [], 0
        for bound in bounds:
            cumulative += merged[bound]
            shares.append(PERCENT * cumulative / total)
        milliseconds = [bound * 1000 for bound in bounds]
        axes.step(milliseconds, shares, where="post", marker="o", label=service)
    axes.set_xscale("log")
    axes.set_xlabel("ms")
    axes.set_ylabel("% answered within")
    if burns:
        axes.legend()
    return _encode_figure(figure)


def _encode_figure(figure) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    return base64.b64encode(buffer.getvalue()).decode()
