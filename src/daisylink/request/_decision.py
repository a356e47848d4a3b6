"""Decisions of admission control, idempotency claims and quarantine."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from daisylink.errors import ResultCode


@dataclass(frozen=True)
class Admitted:
    """A slot was free: the request may run now."""


@dataclass(frozen=True)
class Queued:
    """The request waits for a slot.

    :param displaced: ticket of a less urgent request that was removed from the queue
        and has to be refused, None if there was none.
    :param expires: when to stop waiting, in seconds of the monotonic clock.
    """

    displaced: Any = None
    expires: float = float("inf")


@dataclass(frozen=True)
class Refused:
    """The request is not run at this node.

    :param code: why it was refused.
    :param retry_ms: milliseconds after which a retry may succeed, 0 if unknown.
    """

    code: ResultCode
    retry_ms: int = 0


Decision = Admitted | Queued | Refused


@dataclass(frozen=True)
class ClaimGranted:
    """A majority of the key's replicas recorded the claim: the request may run."""


@dataclass(frozen=True)
class ClaimKnown:
    """The key was claimed by an earlier request.

    :param done: whether that request was answered.
    :param answer: its encoded response, empty if it was not recorded.
    """

    done: bool
    answer: bytes


@dataclass(frozen=True)
class ClaimRefused:
    """No majority of replicas granted the claim: the request is not run.

    :param code: why the claim was refused.
    :param retry_ms: milliseconds after which a retry may succeed.
    """

    code: ResultCode
    retry_ms: int


ClaimOutcome = ClaimGranted | ClaimKnown | ClaimRefused


class RunResult(Enum):
    """How the run of a request with a granted claim ended."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class QuarantineStatus(Enum):
    """Whether a request is suspected of crashing backend servers."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    # Its body has to be read before it can be told from others of its path.
    NEEDS_BODY = "needs body"
