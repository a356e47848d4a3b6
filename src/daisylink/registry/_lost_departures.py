"""Departures of other nodes' servers that the store has lost, without I/O.

The store may come back from an older copy while the process that keeps a departure
there is not running. The other nodes have read it, or a few of them were told, so they
write it again, and tell it to the process that starts at that address.
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
from daisylink.serving import MAX_DEPARTURES, ServerStart, choose_by_ring


class LostDeparturesSettings(NamedTuple):
    """Settings of a :class:`LostDepartures`.

    :param own_time: how long a node that is alive has to write its departures again
        itself.
    :param turn: time between the turns of two nodes that may write them.
    :param keepers: number of nodes that may, and that are told at once.
    """

    own_time: timedelta = timedelta(seconds=2)
    turn: timedelta = timedelta(milliseconds=250)
    keepers: int = 8


class ToldDepartures(NamedTuple):
    """Departures that a node has told before the store held them.

    :param era: era of the store at that time.
    """

    era: int
    starts: tuple[ServerStart, ...]


NONE_TOLD = ToldDepartures(0, ())


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
        self.keepers = settings.keepers
        self.node = node
        self.list_members = list_members
        # Era of the store in which its keys were first listed, 0 before.
        self.first_era = 0
        # The newest key of each node, also one that the store has lost.
        self.items: dict[str, Item] = {}
        self.told: dict[str, ToldDepartures] = {}
        self.lost: dict[str, tuple[ServerStart, ...]] = {}
        # When this node may write lost departures again, in monotonic seconds.
        self.restore_at: dict[str, float] = {}

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds."""
        return min(self.restore_at.values(), default=float("inf"))

    def choose_keepers(self, node: str) -> list[str]:
        """Return the nodes that keep another node's departures first of all."""
        return choose_by_ring(node, self.list_members(), self.keepers)

    def handle_told(self, node: str, starts: tuple[ServerStart, ...], era: int) -> None:
        """Handle departures that a node tells before the store holds them.

        :param era: the newest era of the store.
        """
        if node not in self.list_members():
            return
        item = self.items.get(node)
        stored = decode_departures(item.value) if item is not None else ()
        earlier = self.told.get(node, NONE_TOLD).starts
        unknown = list_uncovered({*earlier, *starts}, stored)
        if unknown:
            self.told[node] = ToldDepartures(era, unknown[-MAX_DEPARTURES:])

    def handle_listing(self, revision: StoreRevision, now: float) -> None:
        """Handle a listing of the store's keys, after :meth:`handle_item`.

        The store may lack keys in this era that this node has never read, or that it
        lacked in the era before.
        """
        self.first_era = self.first_era or revision.era
        for node in {*self.lost, *self.told}:
            item = self.items.get(node)
            if item is None or item.revision.era < revision.era:
                self.handle_item(node, Item("", None, revision), now)

    def handle_item(self, node: str, item: Item, now: float) -> None:
        """Handle the key with a node's departures as the store holds it.

        :param now: seconds of the monotonic clock.
        :raises msgspec.MsgspecError: if it cannot be decoded.
        """
        era = item.revision.era
        former = self.items.get(node)
        is_known_in_era = former is not None and former.revision.era == era
        if item.value is None and is_known_in_era:
            self._handle_deleted(node, former, now)
            return
        found = decode_departures(item.value)
        missing = self._list_of_earlier_eras(node, era)
        self.items[node] = item
        self._forget_told(node, era, found)
        lost = {*self.lost.get(node, ()), *missing}
        self._set_lost(node, list_uncovered(lost, found), now)
        if item.value is None and node not in self.lost:
            del self.items[node]

    def _handle_deleted(self, node: str, former: Item, now: float) -> None:
        """Forget departures that were deleted, as their node has been gone for long.

        A key that the era did not have cannot have been deleted in it.
        """
        if former.value is None:
            return
        self.items.pop(node, None)
        self._set_lost(node, (), now)

    def _list_of_earlier_eras(self, node: str, era: int) -> set[ServerStart]:
        """Return the departures of a node that were known before an era."""
        found = set()
        item = self.items.get(node)
        if item is not None and item.revision.era < era:
            found.update(decode_departures(item.value))
        told = self.told.get(node, NONE_TOLD)
        if told.era < era:
            found.update(told.starts)
        return found

    def _forget_told(self, node: str, era: int, found: tuple[ServerStart, ...]) -> None:
        """Forget told departures that the store holds, or that count as lost."""
        told = self.told.get(node, NONE_TOLD)
        starts = list_uncovered(told.starts, found)
        if starts and told.era == era:
            self.told[node] = told._replace(starts=starts)
        else:
            self.told.pop(node, None)

    def list_unknown(self, node: str, era: int) -> tuple[ServerStart, ...]:
        """Return the departures of a node that it cannot have read from the store.

        :param era: the newest era that the node knows of.
        """
        lost = {*self.lost.get(node, ()), *self._list_of_earlier_eras(node, era)}
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
        keepers = self.choose_keepers(node)
        if self.node in keepers:
            wait = self.own_seconds + keepers.index(self.node) * self.turn_seconds
            self.restore_at.setdefault(node, now + wait)
