"""Messages between nodes and their encoding.

Small messages are sent as datagrams, larger ones as gRPC calls; msgspec encodes both
as MessagePack.
"""

from datetime import datetime
from enum import IntEnum

import msgspec

from daisylink.errors import NodeError
from daisylink.serving._quarantine import Strike
from daisylink.serving._records import MAX_POSITION, MemberRecord
from daisylink.version import Delta, VersionStamp

MAX_DATAGRAM_BYTES = 1200


class VersionUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An accepted version, with its delta from the version before if that is small."""

    number: int
    digest: bytes
    accepted_at: datetime
    delta: Delta | None = None

    @property
    def stamp(self) -> VersionStamp:
        """Return number, digest and time of acceptance."""
        return VersionStamp(self.number, self.digest, self.accepted_at)


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """A process that holds records of keyed requests.

    :param node: name of the node.
    :param boot: first incarnation of the process, which tells its starts apart.
    """

    node: str
    boot: int


class ShardPlacement(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of one shard.

    :param epoch: increases with each change of the shard's replicas.
    :param transfer: identifier of the copied records that the epoch starts with, 0 for
        none.
    :param keepers: the replicas.
    """

    epoch: int
    transfer: int
    keepers: tuple[Replica, ...]


class ReplicaMap(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of all shards; ``number`` increases with each change."""

    number: int
    shards: tuple[ShardPlacement, ...] = ()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks whether a node is running, and states what its sender holds.

    :param number: number of the sender's version in force, 0 for none.
    :param digest: digest of the sender's directory.
    :param keepers: number of the sender's replica map.
    """

    sequence: int
    sender: str
    number: int
    digest: int
    keepers: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping; ``about`` is the node that was found running."""

    sequence: int
    sender: str
    number: int
    digest: int
    keepers: int
    about: str


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a third node to ping one that did not answer."""

    sequence: int
    sender: str
    target: str


class Push(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """An update that the receiver forwards to a segment of its zone's ring.

    :param low: first ring position of the segment.
    :param high: last ring position of the segment.
    """

    push_id: int
    sender: str
    low: int = 0
    high: int = MAX_POSITION
    version: VersionUpdate | None = None
    records: tuple[MemberRecord, ...] = ()
    keepers: ReplicaMap | None = None
    strikes: tuple[Strike, ...] = ()


class PushAck(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Acknowledges a push.

    :param passed_on: whether the receiver forwards it; false if nothing was new to it.
    """

    push_id: int
    sender: str
    passed_on: bool


class Verdict(IntEnum):
    """A replica's verdict on a claim.

    ``KNOWN`` means that another claim holds the key, ``STALE`` that the replica does
    not hold the shard in the claim's epoch, and ``FULL`` that the shard is full.
    """

    GRANTED = 0
    KNOWN = 1
    STALE = 2
    FULL = 3


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks a replica to record that a keyed request is about to run."""

    claim_id: int
    sender: str
    shard: int
    epoch: int
    key: bytes


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A replica's verdict; ``answer`` is the stored response of a known request."""

    claim_id: int
    sender: str
    verdict: Verdict
    done: bool = False
    answer: bytes = b""


class ClaimCompletion(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Reports a request's response to a replica, or that the request did not run.

    :param answer: the encoded response, empty if it is too long to be stored.
    :param released: whether the request certainly did not run.
    """

    claim_id: int
    shard: int
    key: bytes
    answer: bytes
    released: bool


Message = (
    Ping | Ack | PingRequest | Push | PushAck | Claim | ClaimReply | ClaimCompletion
)


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """A replica's record of a key.

    :param done: whether the request has a response.
    :param answer: the encoded response, empty if it is not stored.
    """

    key: bytes
    claim_id: int
    done: bool = False
    answer: bytes = b""


class ReplicaRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a replica to seal a shard, or to store the records of a transfer."""

    shard: int
    epoch: int
    seal: bool = False
    transfer: int = 0
    records: tuple[KeyRecord, ...] = ()


class ReplicaReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers a :class:`ReplicaRequest`.

    :param done: whether the request was carried out; false if the replica does not hold
        the shard in the epoch to be sealed.
    :param records: the records of a sealed shard.
    """

    shard: int
    epoch: int
    done: bool
    records: tuple[KeyRecord, ...] = ()


class PullRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a node for the data that the sender lacks.

    :param number: number of the sender's version, 0 for none.
    :param buckets: the sender's directory digest by bucket; empty to leave the
        directory out.
    :param keepers: number of the sender's replica map.
    """

    sender: str
    number: int
    buckets: tuple[int, ...] = ()
    keepers: int = 0


class PullReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers a pull.

    :param number: number of the node's version in force, 0 for none.
    :param retry_ms: if not 0, the node limits large replies: ask again after this time.
    :param alternates: other nodes that hold the same data and can be asked instead.
    :param news: versions in order, each with its delta; or a single one without, whose
        packed content is ``snapshot``.
    :param records: the records of every bucket that differs.
    :param keepers: the node's replica map if it is newer than the sender's, else None.
    """

    number: int
    retry_ms: int = 0
    alternates: tuple[str, ...] = ()
    news: tuple[VersionUpdate, ...] = ()
    snapshot: bytes = b""
    records: tuple[MemberRecord, ...] = ()
    keepers: ReplicaMap | None = None


class SurveyRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the versions in force in a segment of a zone's ring."""

    low: int = 0
    high: int = MAX_POSITION


class LaggingNode(msgspec.Struct, frozen=True, array_like=True):
    """A node that is behind or does not answer (number -1)."""

    node: str
    number: int


class SurveyReply(msgspec.Struct, frozen=True, array_like=True):
    """Versions in force in a segment of a zone's ring.

    :param counts: number of nodes by version.
    :param unreachable: number of nodes that did not answer.
    :param last_installed: latest time at which the newest version came into force.
    :param laggards: some of the nodes, those with the oldest versions first.
    """

    zone: str
    counts: dict[int, int]
    unreachable: int = 0
    last_installed: datetime | None = None
    laggards: tuple[LaggingNode, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a datagram.

    :raises NodeError: if it is not a message of this version of daisylink.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise NodeError(f"datagram does not decode: {error}") from error
