"""The programs: ``daisylink-node``, ``daisylinkctl`` and the stand-ins."""

from daisylink.commands._burn_report import format_html, make_rows
from daisylink.commands._operations import AcceptReport, Operations, WaitReport

__all__ = ["AcceptReport", "Operations", "WaitReport", "format_html", "make_rows"]
