"""Broadcasts updates in a zone along a tree that is built anew for each update.

A push names the segment of the zone's ring that its receiver is to cover. The receiver
splits it into a few smaller segments, pushes to the first node of each, and so on, so
that every node gets the update once. A receiver acknowledges at once; if no
acknowledgment arrives, the next node of the segment is tried instead. Nodes that are
missed learn of the update from the version numbers on pings, and pull it.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.process._directory import Directory
from daisylink.process._events import Send
from daisylink.process._messages import (
    MAX_DATAGRAM_BYTES,
    Push,
    PushAck,
    ReplicaMap,
    Strike,
    VersionUpdate,
    encode_message,
)
from daisylink.serving._records import MAX_POSITION, MemberRecord

MAX_RECORDS_PER_PUSH = 8


class BroadcastSettings(NamedTuple):
    """Shape and timeouts of the broadcast tree.

    :param fanout: maximum number of segments that a node splits its segment into.
    :param ack_timeout: time after which the next node of a segment is tried.
    :param max_tries: maximum number of pushes per segment.
    """

    fanout: int = 8
    ack_timeout: timedelta = timedelta(milliseconds=100)
    max_tries: int = 4


class PushPayload(NamedTuple):
    """Content of a push."""

    version: VersionUpdate | None = None
    records: tuple[MemberRecord, ...] = ()
    replica_map: ReplicaMap | None = None
    strikes: tuple[Strike, ...] = ()


class RingSegment(NamedTuple):
    """A segment of a ring, with the nodes known in it."""

    low: int
    high: int
    nodes: tuple[str, ...]


@dataclass
class PendingPush:
    """A push that has not been acknowledged."""

    segment: RingSegment
    payload: PushPayload
    target: str
    deadline: float
    tries: int = 1


def split_segment(
    members: Sequence[tuple[int, str]], low: int, high: int, fanout: int
) -> list[RingSegment]:
    """Split a segment of a ring into at most ``fanout`` segments of similar size.

    They cover every position from ``low`` to ``high``, so that nodes which only the
    receiver knows are covered too.

    :param members: position and name of the nodes in the segment, in ring order.
    """
    count = min(fanout, len(members))
    if not count:
        return []
    starts = [index * len(members) // count for index in range(count)]
    segments = []
    for number, start in enumerate(starts):
        is_last = number == count - 1
        end = len(members) if is_last else starts[number + 1]
        segment_low = low if number == 0 else members[start][0]
        segment_high = high if is_last else members[end][0] - 1
        nodes = tuple(node for _, node in members[start:end])
        segments.append(RingSegment(segment_low, segment_high, nodes))
    return segments


def split_around_own(
    directory: Directory, low: int, high: int, fanout: int
) -> list[RingSegment]:
    """Split a segment of the own zone's ring, leaving out the own node."""
    own_record = directory.own_record
    position = directory.positions[own_record.node]
    below = directory.zone_segment(own_record.zone, low, min(high, position - 1))
    above = directory.zone_segment(own_record.zone, max(low, position + 1), high)
    total = len(below) + len(above)
    if not total:
        return []
    fanout_below = round(fanout * len(below) / total)
    fanout_below = min(max(fanout_below, bool(below)), fanout - bool(above))
    return [
        *split_segment(below, low, min(high, position - 1), fanout_below),
        *split_segment(above, max(low, position + 1), high, fanout - fanout_below),
    ]


class Broadcaster:
    """Sends pushes and tracks their acknowledgments.

    :param directory: directory of the nodes.
    """

    def __init__(
        self, settings: BroadcastSettings, directory: Directory, rng: random.Random
    ):
        self.fanout = settings.fanout
        self.ack_timeout = settings.ack_timeout.total_seconds()
        self.max_tries = settings.max_tries
        self.directory = directory
        self.rng = rng
        self.pending_pushes: dict[int, PendingPush] = {}
        self.next_id = rng.getrandbits(31)

    @property
    def wake_at(self) -> float:
        """Return when the next acknowledgment is overdue."""
        return min(
            (push.deadline for push in self.pending_pushes.values()),
            default=float("inf"),
        )

    def broadcast_in_zone(
        self,
        payload: PushPayload,
        now: float,
        low: int = 0,
        high: int = MAX_POSITION,
        avoid: Sequence[str] = (),
    ) -> list[Send]:
        """Push an update to a segment of the own zone.

        :param avoid: nodes that are tried last, such as suspects.
        """
        sends = []
        for segment in split_around_own(self.directory, low, high, self.fanout):
            nodes = tuple(sorted(segment.nodes, key=lambda node: node in avoid))
            sends.append(self._send_push(segment._replace(nodes=nodes), payload, now))
        return sends

    def broadcast_to_other_zones(self, payload: PushPayload, now: float) -> list[Send]:
        """Push an update to one node of each other zone, which covers its zone."""
        own_record = self.directory.own_record
        sends = []
        for zone in self.directory.zones():
            if zone == own_record.zone:
                continue
            nodes = tuple(node for _, node in self.directory.zone_ring(zone))
            segment = RingSegment(0, MAX_POSITION, nodes)
            sends.append(self._send_push(segment, payload, now))
        return sends

    def broadcast(
        self, payload: PushPayload, now: float, avoid: Sequence[str] = ()
    ) -> list[Send]:
        """Push an update to all nodes of all zones."""
        return [
            *self.broadcast_in_zone(payload, now, avoid=avoid),
            *self.broadcast_to_other_zones(payload, now),
        ]

    def handle_ack(self, ack: PushAck, now: float) -> list[Send]:
        """Handle an acknowledgment; try the next node if the push was not forwarded."""
        push = self.pending_pushes.get(ack.push_id)
        if push is None or push.target != ack.sender:
            return []
        if ack.passed_on:
            del self.pending_pushes[ack.push_id]
            return []
        return self._try_next(ack.push_id, push, now)

    def tick(self, now: float) -> list[Send]:
        """Try the next node of each push whose acknowledgment is overdue."""
        sends = []
        for push_id, push in list(self.pending_pushes.items()):
            if push.deadline <= now:
                sends += self._try_next(push_id, push, now, wraps_around=True)
        return sends

    def _try_next(
        self, push_id: int, push: PendingPush, now: float, wraps_around: bool = False
    ) -> list[Send]:
        """Try the next node of a segment.

        :param wraps_around: whether the first node follows the last one.
        """
        del self.pending_pushes[push_id]
        index = push.segment.nodes.index(push.target) + 1
        if index >= len(push.segment.nodes) and wraps_around:
            index = 0
        if push.tries >= self.max_tries or index >= len(push.segment.nodes):
            return []
        return [self._send_push(push.segment, push.payload, now, index, push.tries + 1)]

    def _send_push(
        self,
        segment: RingSegment,
        payload: PushPayload,
        now: float,
        index: int = 0,
        tries: int = 1,
    ) -> Send:
        self.next_id += 1
        target = segment.nodes[index]
        deadline = now + self.ack_timeout
        self.pending_pushes[self.next_id] = PendingPush(
            segment, payload, target, deadline, tries
        )
        own = self.directory.own_record.node
        push = Push(
            self.next_id,
            own,
            segment.low,
            segment.high,
            payload.version,
            payload.records,
            payload.replica_map,
            payload.strikes,
        )
        return Send(target, push)


def drop_oversized_delta(version: VersionUpdate) -> VersionUpdate:
    """Return the update, without its delta if that does not fit a datagram."""
    push = Push(MAX_POSITION, "255.255.255.255:65535", version=version)
    if len(encode_message(push)) <= MAX_DATAGRAM_BYTES:
        return version
    return VersionUpdate(version.number, version.digest, version.accepted_at)


def batch_records(records: Sequence[MemberRecord]) -> list[PushPayload]:
    """Return payloads with the records in batches that fit a datagram."""
    return [
        PushPayload(records=tuple(records[start : start + MAX_RECORDS_PER_PUSH]))
        for start in range(0, len(records), MAX_RECORDS_PER_PUSH)
    ]
