"""The programs: ``daisylink-node``, ``daisylinkctl`` and the stand-ins."""

from daisylink.commands._operations import AcceptReport, Operations, WaitReport

__all__ = ["AcceptReport", "Operations", "WaitReport"]
