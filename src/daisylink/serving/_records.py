"""Records of nodes and their backend servers, and the order between two records."""

import hashlib
from enum import IntEnum

import msgspec

from daisylink.serving._quarantine import Strike

POSITION_BITS = 64
MAX_POSITION = 2**POSITION_BITS - 1


class MemberState(IntEnum):
    """State of a node, in the order in which it overrides at equal incarnation."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


class ServerState(IntEnum):
    """State of the backend server beside a node."""

    ABSENT = 0
    STARTING = 1
    SERVING = 2
    DRAINING = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the fleet knows of one node.

    :param node: control address ``ip:port``, which names the node.
    :param incarnation: grows with each change that the node itself makes.
    :param relay: address ``ip:port`` on which the node takes relayed requests.
    :param boot: first incarnation of the process, which tells its starts apart.
    :param instance: name of the backend server's start, if it has one.
    :param pool: pool of the backend server beside it, if one is announced.
    :param link_mbps: width of the machine's link in Mbit/s, 0 if it is not known.
    :param strikes: what the node tells of requests that crashed its backend server.
    """

    node: str
    zone: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    relay: str = ""
    pool: str = ""
    server: ServerState = ServerState.ABSENT
    slots: int = 0
    boot: int = 0
    instance: str = ""
    link_mbps: float = 0.0
    strikes: tuple[Strike, ...] = ()

    @property
    def is_alive(self) -> bool:
        """Return whether the node is thought to run."""
        return self.state is MemberState.ALIVE

    @property
    def is_serving(self) -> bool:
        """Return whether the backend server beside the node takes new work."""
        return self.is_alive and self.server is ServerState.SERVING

    def overrides(self, other: "MemberRecord | None") -> bool:
        """Return whether this record is newer than another of the same node."""
        if other is None:
            return True
        return (self.incarnation, self.state) > (other.incarnation, other.state)


def compute_ring_position(text: str) -> int:
    """Return the position of a name on the ring of 64-bit numbers."""
    digest = hashlib.blake2b(text.encode(), digest_size=POSITION_BITS // 8).digest()
    return int.from_bytes(digest, "big")
