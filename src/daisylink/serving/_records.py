"""Records of nodes and their backend servers, and which of two records is newer."""

import hashlib
import heapq
from collections.abc import Iterable
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

import msgspec

from daisylink.serving._quarantine import Strike

POSITION_BITS = 64
MAX_POSITION = 2**POSITION_BITS - 1
MAX_CACHED_POSITIONS = 16_384


class MemberState(IntEnum):
    """State of a node; at equal incarnation, the greater value overrides."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


class ServerState(IntEnum):
    """State of a node's backend server."""

    ABSENT = 0
    STARTING = 1
    SERVING = 2
    DRAINING = 3


class ServerStart(NamedTuple):
    """One start of a backend server.

    :param instance: name of the start, as in its announcements.
    :param born: start time on the server's own clock, in milliseconds.
    """

    instance: str
    born: int


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Membership record of one node.

    :param node: control address ``ip:port``, which identifies the node.
    :param zone: availability zone of the node.
    :param incarnation: increases with each change that the node itself makes.
    :param state: whether the node is alive.
    :param relay: address ``ip:port`` on which the node accepts relayed requests.
    :param pool: pool of the node's backend server, "" if none is announced.
    :param server: state of the backend server.
    :param slots: requests that the server runs at once, 0 for the pool's number.
    :param boot: first incarnation of the process, which distinguishes its starts.
    :param instance: name of this start of the backend server, "" without one.
    :param link_mbps: bandwidth of the machine's link in Mbit/s, 0 if unknown.
    :param strikes: strikes and pardons that the node publishes.
    :param era: era of the store in which the record was written, 0 if unknown.
    :param is_settled: false for some seconds after the node has noticed that the store
        came back from an older copy.
    :param born: start time of the backend server on its own clock, in milliseconds.
    :param software_version: version of the backend server's software.
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
    era: int = 0
    is_settled: bool = True
    born: int = 0
    software_version: str = ""

    @property
    def server_start(self) -> ServerStart:
        """Return the start of the backend server, with an empty name without one."""
        return ServerStart(self.instance, self.born)

    @property
    def is_alive(self) -> bool:
        """Return whether the node is considered alive."""
        return self.state is MemberState.ALIVE

    @property
    def is_serving(self) -> bool:
        """Return whether the node's backend server accepts new requests."""
        return self.is_alive and self.server is ServerState.SERVING

    def overrides(self, other: "MemberRecord | None") -> bool:
        """Return whether this record is newer than another of the same node."""
        if other is None:
            return True
        return (self.incarnation, self.state) > (other.incarnation, other.state)


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def compute_ring_position(text: str) -> int:
    """Return the position of a name on the 64-bit hash ring."""
    digest = hashlib.blake2b(text.encode(), digest_size=POSITION_BITS // 8).digest()
    return int.from_bytes(digest, "big")


def choose_by_ring(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the first nodes in the order that a key chooses.

    All nodes that know the same others choose the same. A node that is the key itself
    is left out.
    """
    return heapq.nsmallest(
        count,
        (node for node in nodes if node != key),
        key=lambda node: compute_ring_position(f"{key}/{node}"),
    )
