"""Decides which departures of nodes that are gone are deleted from the store."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.registry._members import MemberTable
from daisylink.registry._store import StoreRevision


class DepartureSweeperSettings(NamedTuple):
    """Settings of a :class:`DepartureSweeper`.

    :param retention: how long a node must have been gone. A process that starts at its
        address meanwhile still needs the departures.
    :param interval: time between checks.
    """

    retention: timedelta = timedelta(minutes=10)
    interval: timedelta = timedelta(minutes=1)


@dataclass(frozen=True)
class DeleteDepartures:
    """A call that deletes a node's departures if their key is unchanged."""

    node: str
    revision: StoreRevision


class DepartureSweeper:
    """Deletes the departures of nodes that are gone.

    All nodes note who is gone; the member whose name is the lowest deletes.

    :param members: the known members.
    :param list_departures: returns the revisions of the stored keys, by node.
    """

    def __init__(
        self,
        settings: DepartureSweeperSettings,
        members: MemberTable,
        list_departures: Callable[[], Mapping[str, StoreRevision]],
    ):
        self.retention_seconds = settings.retention.total_seconds()
        self.interval_seconds = settings.interval.total_seconds()
        self.members = members
        self.list_departures = list_departures
        self.gone_since: dict[str, float] = {}
        self.check_at = float("-inf")

    def tick(self, now: float) -> list[DeleteDepartures]:
        """Return the calls to make now."""
        if now < self.check_at:
            return []
        self.check_at = now + self.interval_seconds
        departures = self.list_departures()
        records = self.members.records
        self.gone_since = {
            node: self.gone_since.get(node, now)
            for node in departures
            if node not in records
        }
        if self.members.own_record.node != min(records):
            return []
        return [
            DeleteDepartures(node, departures[node])
            for node, since in self.gone_since.items()
            if now - since >= self.retention_seconds
        ]
