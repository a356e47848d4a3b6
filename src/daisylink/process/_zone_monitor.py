"""Monitors the other zones from the first nodes of the own zone.

The first two nodes of a zone's ring ping the first two of every other zone. The pings
carry version numbers and directory digests, so a zone that was cut off catches up with
the first ping that arrives.
"""

import random
from datetime import timedelta
from typing import NamedTuple

from daisylink.process._directory import Directory
from daisylink.process._events import Send
from daisylink.process._messages import Ping


class ZoneMonitorSettings(NamedTuple):
    """Settings of the monitoring of other zones.

    :param delegates: number of nodes, from the start of a zone's ring, that exchange
        pings with other zones.
    :param period: time between two rounds of pings.
    :param contact_timeout: time without contact after which a zone counts as
        unresponsive.
    """

    delegates: int = 2
    period: timedelta = timedelta(seconds=1)
    contact_timeout: timedelta = timedelta(seconds=5)


class ZoneMonitor:
    """Pings other zones and records which of them answer.

    :param directory: directory of the nodes of each zone.
    """

    def __init__(
        self, settings: ZoneMonitorSettings, directory: Directory, rng: random.Random
    ):
        self.delegates = settings.delegates
        self.period = settings.period.total_seconds()
        self.contact_timeout = settings.contact_timeout.total_seconds()
        self.directory = directory
        self.rng = rng
        self.wake_at = 0.0
        self.last_contact: dict[str, float] = {}

    @property
    def is_delegate(self) -> bool:
        """Return whether the own node exchanges pings with other zones."""
        return self.directory.rank() < self.delegates

    def start(self, now: float) -> None:
        """Schedule the first ping at a random time within one period."""
        self.wake_at = now + self.rng.uniform(0, self.period)

    def tick(self, now: float, number: int, replica_map_number: int) -> list[Send]:
        """Return the pings that are due.

        :param number: number of the version in force.
        :param replica_map_number: number of the replica map.
        """
        if now < self.wake_at:
            return []
        self.wake_at = now + self.period
        if not self.is_delegate:
            self.last_contact.clear()
            return []
        own_record = self.directory.own_record
        sends = []
        for zone in self.directory.zones():
            if zone == own_record.zone:
                continue
            self.last_contact.setdefault(zone, now)
            ring = self.directory.zone_ring(zone)
            _, target = self.rng.choice(ring[: self.delegates])
            ping = Ping(
                0, own_record.node, number, self.directory.digest, replica_map_number
            )
            sends.append(Send(target, ping))
        return sends

    def record_contact(self, node: str, now: float) -> None:
        """Record a contact with a node of another zone."""
        record = self.directory.records.get(node)
        if record is not None and record.zone != self.directory.own_record.zone:
            self.last_contact[record.zone] = now

    def unresponsive_zones(self, now: float) -> frozenset[str]:
        """Return the zones without a recent contact."""
        return frozenset(
            zone
            for zone, last_contact in self.last_contact.items()
            if now - last_contact > self.contact_timeout
        )
