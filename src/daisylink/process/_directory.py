"""The directory of all nodes that one node knows."""

import bisect
from collections.abc import Iterable
from datetime import timedelta

from msgspec.structs import replace

from daisylink.serving._records import (
    POSITION_BITS,
    MemberRecord,
    MemberState,
    compute_ring_position,
)

BUCKET_BITS = 6
BUCKET_COUNT = 2**BUCKET_BITS
TOMBSTONE_TTL = timedelta(hours=24)


class Directory:
    """Member records by node, with digests by bucket and indexes by zone and pool.

    Records of nodes that died or left are kept as tombstones, so that a late update
    with an older incarnation cannot revive them.

    :param own_record: record of the node that owns the directory.
    """

    def __init__(self, own_record: MemberRecord):
        self.own_record = own_record
        self.records: dict[str, MemberRecord] = {}
        self.positions: dict[str, int] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.ended_at: dict[str, float] = {}
        self.zone_rings: dict[str, list[tuple[int, str]]] = {}
        self.serving_by_pool: dict[str, dict[str, MemberRecord]] = {}
        self._put(own_record, 0.0)

    @property
    def digest(self) -> int:
        """Return the digest of all live records."""
        total = 0
        for value in self.bucket_digests:
            total ^= value
        return total

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Store a record if it is newer than the one stored.

        A record of the own node is never stored; see :meth:`refute`.

        :returns: whether it was stored.
        """
        if record.node == self.own_record.node:
            return False
        if not record.overrides(self.records.get(record.node)):
            return False
        self._put(record, now)
        return True

    def update_own_record(self, record: MemberRecord, now: float) -> MemberRecord:
        """Replace the own record by one with the next incarnation, and return it."""
        own_record = replace(record, incarnation=self.own_record.incarnation + 1)
        self.own_record = own_record
        self._put(own_record, now)
        return own_record

    def refute(self, record: MemberRecord, now: float) -> MemberRecord | None:
        """Override a record of the own node that this node did not make.

        :returns: the own record with a higher incarnation than the given one, or None
            if the given record is not newer than the own record.
        """
        if not record.overrides(self.own_record):
            return None
        own_record = replace(self.own_record, incarnation=record.incarnation + 1)
        self.own_record = own_record
        self._put(own_record, now)
        return own_record

    def purge(self, now: float) -> None:
        """Remove expired tombstones."""
        oldest = now - TOMBSTONE_TTL.total_seconds()
        for node in [node for node, since in self.ended_at.items() if since < oldest]:
            del self.ended_at[node]
            del self.records[node]
            self.positions.pop(node, None)

    def zone_ring(self, zone: str) -> list[tuple[int, str]]:
        """Return position and name of a zone's live nodes, in ring order."""
        return self.zone_rings.get(zone, [])

    def zone_segment(self, zone: str, low: int, high: int) -> list[tuple[int, str]]:
        """Return the live nodes of a zone between two ring positions, inclusive."""
        ring = self.zone_ring(zone)
        first = bisect.bisect_left(ring, (low, ""))
        last = bisect.bisect_left(ring, (high + 1, ""))
        return ring[first:last]

    def zones(self) -> list[str]:
        """Return the zones with a live node, sorted."""
        return sorted(zone for zone, ring in self.zone_rings.items() if ring)

    def rank(self) -> int:
        """Return how many live nodes of the own zone come before the own node."""
        ring = self.zone_ring(self.own_record.zone)
        return bisect.bisect_left(
            ring, (self.positions[self.own_record.node], self.own_record.node)
        )

    def serving(self, pool: str) -> dict[str, MemberRecord]:
        """Return the records of nodes that serve a pool, by node name."""
        return self.serving_by_pool.get(pool, {})

    def records_in_differing_buckets(
        self, buckets: Iterable[int]
    ) -> list[MemberRecord]:
        """Return the records of each bucket whose digest differs, with tombstones.

        :param buckets: digests by bucket of another node's directory.
        """
        differing = {
            index
            for index, (mine, theirs) in enumerate(
                zip(self.bucket_digests, buckets, strict=True)
            )
            if mine != theirs
        }
        return [
            record
            for node, record in self.records.items()
            if _bucket(self.positions[node]) in differing
        ]

    def _put(self, record: MemberRecord, now: float) -> None:
        old = self.records.get(record.node)
        if old is not None:
            self._unindex(old)
        else:
            self.positions[record.node] = compute_ring_position(record.node)
        self.records[record.node] = record
        if record.state is MemberState.ALIVE:
            self.ended_at.pop(record.node, None)
            self._index(record)
        else:
            self.ended_at[record.node] = now

    def _index(self, record: MemberRecord) -> None:
        position = self.positions[record.node]
        self.bucket_digests[_bucket(position)] ^= _fingerprint(record)
        ring = self.zone_rings.setdefault(record.zone, [])
        bisect.insort(ring, (position, record.node))
        if record.is_serving:
            self.serving_by_pool.setdefault(record.pool, {})[record.node] = record

    def _unindex(self, record: MemberRecord) -> None:
        if record.state is not MemberState.ALIVE:
            return
        position = self.positions[record.node]
        self.bucket_digests[_bucket(position)] ^= _fingerprint(record)
        ring = self.zone_rings[record.zone]
        del ring[bisect.bisect_left(ring, (position, record.node))]
        if record.is_serving:
            del self.serving_by_pool[record.pool][record.node]


def _bucket(position: int) -> int:
    return position >> (POSITION_BITS - BUCKET_BITS)


def _fingerprint(record: MemberRecord) -> int:
    return compute_ring_position(f"{record.node}/{record.incarnation}")
