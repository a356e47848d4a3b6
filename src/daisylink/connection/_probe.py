"""What a new connection to a node tells about it."""

from enum import Enum


class ProbeResult(Enum):
    """How a node responded to a new connection."""

    ANSWERED = "answered"
    # Its process has exited or is stopping; open connections may still be served.
    REFUSED = "refused"
    SILENT = "silent"
