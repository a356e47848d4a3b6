"""Watches the other zones from the first nodes of the own zone.

The first two nodes of a zone's ring ping the first two of every other zone. The pings
carry version numbers and directory digests, so a zone that was cut off catches up with
the first ping that comes through.
"""

import random
from datetime import timedelta
from typing import NamedTuple

from daisylink.process._directory import Directory
from daisylink.process._events import Send
from daisylink.process._messages import Ping


class ZoneMonitorSettings(NamedTuple):
    """Times of the watch over other zones.

    :param delegates: first nodes of a zone's ring that speak for it.
    :param silence_timeout: after how long without an answer a zone counts as cut off.
    """

    delegates: int = 2
    period: timedelta = timedelta(seconds=1)
    silence_timeout: timedelta = timedelta(seconds=5)


class ZoneMonitor:
    """Pings other zones and knows which of them answer.

    :param directory: where the nodes of each zone are found.
    """

    def __init__(
        self, settings: ZoneMonitorSettings, directory: Directory, rng: random.Random
    ):
        self.delegates = settings.delegates
        self.period = settings.period.total_seconds()
        self.silence_timeout = settings.silence_timeout.total_seconds()
        self.directory = directory
        self.rng = rng
        self.wake_at = 0.0
        self.last_contact: dict[str, float] = {}

    @property
    def is_delegate(self) -> bool:
        """Return whether the own node speaks for its zone."""
        return self.directory.rank() < self.delegates

    def start(self, now: float) -> None:
        """Spread the first ping over a period."""
        self.wake_at = now + self.rng.uniform(0, self.period)

    def tick(self, now: float, number: int, keepers: int) -> list[Send]:
        """Return the pings that are due.

        :param number: number of the version in force.
        :param keepers: number of the keeper map.
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
            ping = Ping(0, own_record.node, number, self.directory.digest, keepers)
            sends.append(Send(target, ping))
        return sends

    def record_contact(self, node: str, now: float) -> None:
        """Note that a node of another zone was heard."""
        record = self.directory.records.get(node)
        if record is not None and record.zone != self.directory.own_record.zone:
            self.last_contact[record.zone] = now

    def unresponsive_zones(self, now: float) -> frozenset[str]:
        """Return the zones that have not answered for a while."""
        return frozenset(
            zone
            for zone, last_contact in self.last_contact.items()
            if now - last_contact > self.silence_timeout
        )
