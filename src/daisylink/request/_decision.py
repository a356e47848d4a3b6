"""What the node beside a backend server decides on an arriving request."""

from dataclasses import dataclass

from daisylink.errors import ResultCode


@dataclass(frozen=True)
class Admitted:
    """The request may go to the backend server now."""


@dataclass(frozen=True)
class Queued:
    """The request waits for a slot."""


@dataclass(frozen=True)
class Refused:
    """The request is not run here."""

    code: ResultCode
    retry_ms: int = 0


Decision = Admitted | Queued | Refused
