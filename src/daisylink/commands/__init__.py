"""Command-line programs, and the operations that ``daisylinkctl`` offers."""

from daisylink.commands._burn_report import format_burn_html, make_burn_rows
from daisylink.commands._operations import AcceptReport, Operations, WaitReport

__all__ = [
    "AcceptReport",
    "Operations",
    "WaitReport",
    "format_burn_html",
    "make_burn_rows",
]
