"""Departures of other nodes' servers that the store has lost, without I/O.

The store may come back from an older copy while the process that keeps a departure
there is not running. The other nodes have read it, so they write it again, and tell it
to the process that starts at that address.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.registry._departures import (
    decode_departures,
    encode_departures,
    list_uncovered,
)
from daisylink.registry._store import Item, StoreRevision
from daisylink.serving import MAX_DEPARTURES, ServerStart, find_ring_rank


class LostDeparturesSettings(NamedTuple):
    """Settings of a :class:`LostDepartures`.

    :param own_time: how long a node that is alive has to write its departures again
        itself.
    :param turn: time between the turns of two nodes that may write them.
    :param turns: number of nodes that may.
    """

    own_time: timedelta = timedelta(seconds=2)
    turn: timedelta = timedelta(milliseconds=250)
    turns: int = 8


@dataclass(frozen=True)
class RestoreDepartures:
    """A call that writes a node's departures again if their key is unchanged.

    :param revision: last known revision of the key, with number 0 if it does not exist.
    """

    node: str
    value: bytes
    revision: StoreRevision


class LostDepartures:
    """What the store has lost of the departures that other nodes keep there.

    :param node: name of this node.
    :param list_members: returns the names of the members.
    """

    def __init__(
        self,
        settings: LostDeparturesSettings,
        node: str,
        list_members: Callable[[], Iterable[str]],
    ):
        self.own_seconds = settings.own_time.total_seconds()
        self.turn_seconds = settings.turn.total_seconds()
        self.turns = settings.turns
        self.node = node
        self.list_members = list_members
        # Era of the store in which its keys were first listed, 0 before.
        self.first_era = 0
        # The newest key of each node, also one that the store has lost.
        self.items: dict[str, Item] = {}
        self.lost: dict[str, tuple[ServerStart, ...]] = {}
        # When this node may write lost departures again, in monotonic seconds.
        self.restore_at: dict[str, float] = {}

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds."""
        return min(self.restore_at.values(), default=float("inf"))

    def handle_listing(self, revision: StoreRevision) -> None:
        """Handle a listing of the store's keys, after :meth:`handle_item`."""
        self.first_era = self.first_era or revision.era
        for node in self.lost:
            item = self.items[node]
            if item.revision.era < revision.era:
                # A key that the store lacked in the era before, and still lacks.
                self.items[node] = item._replace(revision=revision)

    def handle_item(self, node: str, item: Item, now: float) -> None:
        """Handle the key with a node's departures as the store holds it.

        :param now: seconds of the monotonic clock.
        :raises msgspec.MsgspecError: if it cannot be decoded.
        """
        former = self.items.get(node)
        is_older_era = former is not None and former.revision.era < item.revision.era
        if item.value is None and not is_older_era:
            self._handle_deleted(node, former, now)
            return
        missing = set(self.lost.get(node, ()))
        if is_older_era:
            missing.update(decode_departures(former.value))
        found = decode_departures(item.value)
        self.items[node] = item
        self._set_lost(node, list_uncovered(missing, found), now)
        if item.value is None and node not in self.lost:
            del self.items[node]

    def _handle_deleted(self, node: str, former: Item | None, now: float) -> None:
        """Forget departures that were deleted, as their node has been gone for long.

        A key that the era did not have cannot have been deleted in it.
        """
        if former is not None and former.value is None:
            return
        self.items.pop(node, None)
        self._set_lost(node, (), now)

    def list_unknown(self, node: str, era: int) -> tuple[ServerStart, ...]:
        """Return the departures of a node that it cannot have read from the store.

        :param era: the newest era that the node knows of.
        """
        lost = set(self.lost.get(node, ()))
        item = self.items.get(node)
        if item is not None and item.revision.era < era:
            lost.update(decode_departures(item.value))
        return tuple(sorted(lost))

    def tick(self, now: float, era: int) -> list[RestoreDepartures]:
        """Return the calls to make now; each is repeated until the store holds all.

        :param now: seconds of the monotonic clock.
        :param era: the newest era of the store; none of it may be listed yet.
        """
        due = [node for node, at in self.restore_at.items() if now >= at]
        for node in due:
            self.restore_at[node] = now + self.own_seconds
        return [
            self._make_call(node)
            for node in due
            if self.items[node].revision.era == era
        ]

    def _make_call(self, node: str) -> RestoreDepartures:
        item = self.items[node]
        starts = (*decode_departures(item.value), *self.lost[node])
        value = encode_departures(starts[-MAX_DEPARTURES:])
        revision = item.revision
        if item.value is None:
            revision = revision._replace(number=0)
        return RestoreDepartures(node, value, revision)

    def _set_lost(self, node: str, lost: tuple[ServerStart, ...], now: float) -> None:
        if not lost:
            self.lost.pop(node, None)
            self.restore_at.pop(node, None)
            return
        self.lost[node] = lost
        rank = find_ring_rank(node, self.node, self.list_members())
        if rank < self.turns:
            wait = self.own_seconds + rank * self.turn_seconds
            self.restore_at.setdefault(node, now + wait)
