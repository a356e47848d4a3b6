"""Events handled by the fleet's decision objects, and actions that they return."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from daisylink.errors import ResultCode
from daisylink.process._messages import (
    Message,
    PullReply,
    PullRequest,
    ReplicaReply,
    ReplicaRequest,
)
from daisylink.request import ClaimOutcome, Fingerprint, RunResult
from daisylink.serving._records import MemberRecord
from daisylink.store import Entry
from daisylink.version import Version


@dataclass(frozen=True)
class Started:
    """Event: the process is running and its listeners are bound."""


@dataclass(frozen=True)
class TimePassed:
    """Event: the time returned by ``wake_at`` has been reached."""


@dataclass(frozen=True)
class MessageReceived:
    """Event: a datagram was received."""

    message: Message


@dataclass(frozen=True)
class PullAnswered:
    """Event: a node answered a pull."""

    address: str
    reply: PullReply


@dataclass(frozen=True)
class PullFailed:
    """Event: a node did not answer a pull."""

    address: str


@dataclass(frozen=True)
class ReadKey:
    """Store call: read a key."""

    key: str


@dataclass(frozen=True)
class WatchKey:
    """Store call: read a key once it changes.

    :param watch_index: index of the last read; the call waits for a higher one.
    :param wait: maximum wait.
    """

    key: str
    watch_index: int
    wait: timedelta


@dataclass(frozen=True)
class GrantLease:
    """Store call: obtain a lease."""

    duration: timedelta


@dataclass(frozen=True)
class RenewLease:
    """Store call: extend a lease."""

    lease_id: str


@dataclass(frozen=True)
class RevokeLease:
    """Store call: end a lease."""

    lease_id: str


@dataclass(frozen=True)
class AcquireKey:
    """Store call: write a key under a lease unless another lease holds it."""

    key: str
    value: bytes
    lease_id: str


@dataclass(frozen=True)
class CompareAndSwapKey:
    """Store call: write a key if its index is unchanged (compare-and-swap)."""

    key: str
    value: bytes
    index: int


StoreCall = (
    ReadKey
    | WatchKey
    | GrantLease
    | RenewLease
    | RevokeLease
    | AcquireKey
    | CompareAndSwapKey
)


@dataclass(frozen=True)
class StoreAnswered:
    """Event: the platform answered a call.

    :param result: an entry for reads, a lease identifier, or whether the call took
        effect.
    """

    call: StoreCall
    result: Entry | str | bool


@dataclass(frozen=True)
class StoreFailed:
    """Event: the platform rejected a call, or its reply was lost."""

    call: StoreCall
    code: ResultCode


@dataclass(frozen=True)
class ServerChanged:
    """Event: the state of the local backend server changed."""

    record: MemberRecord


@dataclass(frozen=True)
class ReplicaAnswered:
    """Event: a replica answered a seal or a copy."""

    address: str
    reply: ReplicaReply


@dataclass(frozen=True)
class ClaimRequested:
    """Event: a keyed request is about to run.

    :param ticket: opaque handle of the request, returned with the outcome.
    :param key: digest of the idempotency key.
    """

    ticket: Any
    key: bytes


@dataclass(frozen=True)
class ClaimEnded:
    """Event: a request whose claim was granted has ended.

    :param response: the encoded response, empty if it is too long to be stored.
    """

    ticket: Any
    run_result: RunResult
    response: bytes = b""


@dataclass(frozen=True)
class ServerCrashed:
    """Event: the local backend server crashed with requests in flight."""

    fingerprints: tuple[Fingerprint, ...]


@dataclass(frozen=True)
class SuspectRequestAnswered:
    """Event: a backend server answered a request with strikes.

    The strikes are withdrawn (a pardon), because another request caused the crashes.
    """

    fingerprint: Fingerprint


@dataclass(frozen=True)
class StopRequested:
    """Event: the node is to leave the fleet."""


Event = (
    Started
    | TimePassed
    | MessageReceived
    | PullAnswered
    | PullFailed
    | StoreAnswered
    | StoreFailed
    | ServerChanged
    | ReplicaAnswered
    | ClaimRequested
    | ClaimEnded
    | ServerCrashed
    | SuspectRequestAnswered
    | StopRequested
)


@dataclass(frozen=True)
class Send:
    """Action: send a datagram."""

    address: str
    message: Message


@dataclass(frozen=True)
class Pull:
    """Action: pull missing data from a node."""

    address: str
    request: PullRequest


@dataclass(frozen=True)
class ReplicaCall:
    """Action: ask a replica to seal a shard or to store records."""

    address: str
    request: ReplicaRequest


@dataclass(frozen=True)
class ClaimDecided:
    """Action: report a claim's outcome to its request."""

    ticket: Any
    outcome: ClaimOutcome


@dataclass(frozen=True)
class CallStore:
    """Action: call the platform."""

    call: StoreCall


@dataclass(frozen=True)
class VersionInstalled:
    """Action: route new requests by this version."""

    version: Version


@dataclass(frozen=True)
class DirectoryChanged:
    """Action: the directory's records changed."""


Action = (
    Send
    | Pull
    | ReplicaCall
    | ClaimDecided
    | CallStore
    | VersionInstalled
    | DirectoryChanged
)
