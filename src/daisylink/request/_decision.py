"""What the node beside a backend server decides on an arriving request."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from daisylink.errors import ResultCode


@dataclass(frozen=True)
class Admitted:
    """The request may go to the backend server now."""


@dataclass(frozen=True)
class Queued:
    """The request waits for a slot.

    :param displaced: ticket of a less urgent request that is refused in its place.
    :param expires: until when waiting is of use, in seconds of the monotonic clock.
    """

    displaced: Any = None
    expires: float = float("inf")


@dataclass(frozen=True)
class Refused:
    """The request is not run here."""

    code: ResultCode
    retry_ms: int = 0


Decision = Admitted | Queued | Refused


@dataclass(frozen=True)
class ClaimGranted:
    """A majority of keepers recorded the keyed request; it may run."""


@dataclass(frozen=True)
class ClaimKnown:
    """The key was claimed before.

    :param done: whether the request was answered.
    :param answer: the whole answer as it went to the caller, if kept.
    """

    done: bool
    answer: bytes


@dataclass(frozen=True)
class ClaimRefused:
    """No majority of keepers answered; the request is not run."""

    code: ResultCode
    retry_ms: int


ClaimOutcome = ClaimGranted | ClaimKnown | ClaimRefused


class RunResult(Enum):
    """What became of a request whose claim was granted."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class QuarantineStatus(Enum):
    """What is held against a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
