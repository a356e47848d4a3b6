"""Messages between nodes and their encoding.

Small messages travel as datagrams, larger ones as gRPC calls; both are MessagePack,
coded by msgspec from these types.
"""

from datetime import datetime

import msgspec

from daisylink.errors import NodeError
from daisylink.process._records import MAX_POSITION, MemberRecord
from daisylink.version import Delta, VersionStamp

MAX_DATAGRAM_BYTES = 1200


class VersionNews(msgspec.Struct, frozen=True, array_like=True):
    """An accepted version, with what changed if that is small."""

    number: int
    digest: bytes
    accepted_at: datetime
    delta: Delta | None = None

    @property
    def stamp(self) -> VersionStamp:
        """Return number, digest and time of acceptance."""
        return VersionStamp(self.number, self.digest, self.accepted_at)


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks whether a node runs, and says what its sender holds.

    :param number: number of the sender's version in force, 0 for none.
    :param digest: digest of the sender's directory.
    """

    sequence: int
    sender: str
    number: int
    digest: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping; ``about`` is the node that was found to run."""

    sequence: int
    sender: str
    number: int
    digest: int
    about: str


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a third node to ping one that did not answer."""

    sequence: int
    sender: str
    target: str


class Push(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """News that the receiver passes on to part of its zone.

    :param low: first ring position of the part.
    :param high: last ring position of the part.
    """

    push_id: int
    sender: str
    low: int = 0
    high: int = MAX_POSITION
    version: VersionNews | None = None
    records: tuple[MemberRecord, ...] = ()


class PushAck(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Confirms a push; ``passed_on`` is false if the receiver had the news already."""

    push_id: int
    sender: str
    passed_on: bool


Message = Ping | Ack | PingRequest | Push | PushAck


class PullRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a node for what the sender lacks.

    :param number: number of the sender's version, 0 for none.
    :param buckets: the sender's directory digest by bucket; empty to leave the
        directory out.
    """

    sender: str
    number: int
    buckets: tuple[int, ...] = ()


class PullReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers a pull.

    :param retry_ms: if not 0, the node rations snapshots: come back after this time.
    :param alternates: other nodes that hold the same.
    :param news: versions in order, each with its delta; or one without, whose packed
        content is ``snapshot``.
    :param records: the records of every bucket that differs.
    """

    number: int
    retry_ms: int = 0
    alternates: tuple[str, ...] = ()
    news: tuple[VersionNews, ...] = ()
    snapshot: bytes = b""
    records: tuple[MemberRecord, ...] = ()


class SurveyRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks which versions the nodes of a part of a zone route by."""

    low: int = 0
    high: int = MAX_POSITION


class Laggard(msgspec.Struct, frozen=True, array_like=True):
    """A node that is behind or does not answer (number -1)."""

    node: str
    number: int


class SurveyReply(msgspec.Struct, frozen=True, array_like=True):
    """What a part of a zone routes by.

    :param counts: number of nodes by version.
    :param last_installed: latest time at which the newest version came into force.
    :param laggards: some of the nodes, those with the oldest versions first.
    """

    zone: str
    counts: dict[int, int]
    unreachable: int = 0
    last_installed: datetime | None = None
    laggards: tuple[Laggard, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a datagram.

    :raises NodeError: if it is not a message of this version of daisylink.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise NodeError(f"datagram does not decode: {error}") from error
