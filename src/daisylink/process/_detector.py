"""Failure detection in one availability zone by direct and indirect pings.

Each node pings one other node of its zone in each interval, in shuffled rounds, so the
load per node does not depend on the size of the zone. A node that answers neither
directly nor through helpers becomes suspect and is pinged in every interval; it is
declared dead only if the suspicion lasts. A detector that was paused restarts its
suspicions, and one whose own pings mostly fail extends them, because the fault may be
its own.
"""

import random
from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.process._directory import Directory
from daisylink.process._events import Send
from daisylink.process._messages import Ack, Ping, PingRequest

RECENT_PROBES = 8
MIN_PROBES_FOR_ISOLATION = 3
PAUSE_TOLERANCE = timedelta(milliseconds=700)
LOSSY_SUSPICION_FACTOR = 3


class DetectorSettings(NamedTuple):
    """Intervals and counts of failure detection.

    :param probe_interval: time between two pings.
    :param ack_timeout: time after which helpers are asked to ping.
    :param suspicion_timeout: how long a suspect may be unresponsive before it is
        declared dead.
    :param helpers: number of nodes asked to ping a node that did not answer.
    """

    probe_interval: timedelta = timedelta(seconds=1)
    ack_timeout: timedelta = timedelta(milliseconds=300)
    suspicion_timeout: timedelta = timedelta(seconds=3)
    helpers: int = 3


@dataclass
class Probe:
    """A ping that has not been answered."""

    target: str
    sent_at: float
    is_indirect: bool = False


class RelayedPing(NamedTuple):
    """A ping sent on behalf of another node."""

    requester: str
    sequence: int
    sent_at: float


class Detector:
    """Pings the nodes of the own zone and detects dead ones.

    :param directory: directory of the zone's nodes.
    :param rng: source of random numbers.
    """

    def __init__(
        self, settings: DetectorSettings, directory: Directory, rng: random.Random
    ):
        self.probe_interval = settings.probe_interval.total_seconds()
        self.ack_timeout = settings.ack_timeout.total_seconds()
        self.suspicion_timeout = settings.suspicion_timeout.total_seconds()
        self.helpers = settings.helpers
        self.directory = directory
        self.rng = rng
        self.sequence = 0
        self.pending_targets: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.relayed: dict[int, RelayedPing] = {}
        self.suspects: dict[str, float] = {}
        self.recent_results: deque[bool] = deque(maxlen=RECENT_PROBES)
        self.next_ping = 0.0
        self.wake_at = 0.0
        self.version_number = 0
        self.replica_map_number = 0

    @property
    def own_node(self) -> str:
        """Return the name of the own node."""
        return self.directory.own_record.node

    @property
    def is_isolated(self) -> bool:
        """Return whether none of the recent pings was answered."""
        enough = len(self.recent_results) >= MIN_PROBES_FOR_ISOLATION
        return enough and not any(self.recent_results)

    def start(self, now: float) -> None:
        """Schedule the first ping at a random time within one interval."""
        self.next_ping = now + self.rng.uniform(0, self.probe_interval)
        self.wake_at = self.next_ping

    def tick(self, now: float) -> tuple[list[Send], list[str]]:
        """Check open pings, expire suspicions and send the next pings.

        :returns: messages to send, and the nodes to declare dead.
        """
        if now - self.wake_at > PAUSE_TOLERANCE.total_seconds():
            self._reset_after_pause(now)
        sends = self._check_probes(now)
        dead: list[str] = []
        if now >= self.next_ping:
            self.next_ping = now + self.probe_interval
            dead = self._expire_suspects(now)
            sends += self._ping_next(now)
        self._set_wake()
        return sends, dead

    def make_ping(self, target: str, now: float, track: bool = True) -> Send:
        """Return a ping.

        :param track: whether the target becomes suspect if it does not answer.
        """
        self.sequence += 1
        if track:
            self.probes[self.sequence] = Probe(target, now)
        ping = Ping(
            self.sequence,
            self.own_node,
            self.version_number,
            self.directory.digest,
            self.replica_map_number,
        )
        return Send(target, ping)

    def answer_ping(self, ping: Ping) -> Send:
        """Return the answer to a ping."""
        digest = self.directory.digest
        ack = Ack(
            ping.sequence,
            self.own_node,
            self.version_number,
            digest,
            self.replica_map_number,
            self.own_node,
        )
        return Send(ping.sender, ack)

    def relay_ping(self, request: PingRequest, now: float) -> Send:
        """Return a ping on behalf of another node."""
        send = self.make_ping(request.target, now, track=False)
        self.relayed[self.sequence] = RelayedPing(request.sender, request.sequence, now)
        return send

    def handle_ack(self, ack: Ack) -> list[Send]:
        """Clear a node's suspicion, and forward the answer to an indirect ping."""
        self.suspects.pop(ack.about, None)
        probe = (
            self.probes.pop(ack.sequence, None) if ack.about != self.own_node else None
        )
        if probe is not None:
            self.recent_results.append(True)
        relayed = self.relayed.pop(ack.sequence, None)
        if relayed is None or ack.sender != ack.about:
            return []
        answer = Ack(
            relayed.sequence,
            self.own_node,
            self.version_number,
            self.directory.digest,
            self.replica_map_number,
            ack.about,
        )
        return [Send(relayed.requester, answer)]

    def _reset_after_pause(self, now: float) -> None:
        """Discard pending pings and restart all suspicions.

        A paused process may have missed the answers of nodes that are running.
        """
        self.probes.clear()
        self.relayed.clear()
        for node in self.suspects:
            self.suspects[node] = now

    def _check_probes(self, now: float) -> list[Send]:
        sends: list[Send] = []
        for sequence, probe in list(self.probes.items()):
            if now >= probe.sent_at + self.probe_interval:
                del self.probes[sequence]
                self.recent_results.append(False)
                if self._is_live(probe.target):
                    self.suspects.setdefault(probe.target, now)
            elif now >= probe.sent_at + self.ack_timeout and not probe.is_indirect:
                probe.is_indirect = True
                sends += self._ask_helpers(sequence, probe.target)
        horizon = now - self.probe_interval
        for sequence, relayed in list(self.relayed.items()):
            if relayed.sent_at < horizon:
                del self.relayed[sequence]
        return sends

    def _ask_helpers(self, sequence: int, target: str) -> list[Send]:
        others = [
            node
            for _, node in self.directory.zone_ring(self.directory.own_record.zone)
            if node not in (self.own_node, target) and node not in self.suspects
        ]
        helpers = self.rng.sample(others, min(self.helpers, len(others)))
        request = PingRequest(sequence, self.own_node, target)
        return [Send(helper, request) for helper in helpers]

    def _expire_suspects(self, now: float) -> list[str]:
        """Remove and return the suspects that were unresponsive for too long."""
        timeout = self.suspicion_timeout
        failed = self.recent_results.count(False)
        if failed * 2 > len(self.recent_results):
            timeout *= LOSSY_SUSPICION_FACTOR
        dead = []
        for node, since in list(self.suspects.items()):
            if not self._is_live(node):
                del self.suspects[node]
            elif now - since >= timeout and not self.is_isolated:
                del self.suspects[node]
                dead.append(node)
        return dead

    def _ping_next(self, now: float) -> list[Send]:
        target = self._next_target()
        targets = set(self.suspects)
        if target is not None:
            targets.add(target)
        pending = {probe.target for probe in self.probes.values()}
        return [self.make_ping(node, now) for node in sorted(targets - pending)]

    def _next_target(self) -> str | None:
        if not self.pending_targets:
            ring = self.directory.zone_ring(self.directory.own_record.zone)
            self.pending_targets = [node for _, node in ring if node != self.own_node]
            self.rng.shuffle(self.pending_targets)
        while self.pending_targets:
            node = self.pending_targets.pop()
            if self._is_live(node):
                return node
        return None

    def _is_live(self, node: str) -> bool:
        record = self.directory.records.get(node)
        return record is not None and record.is_alive

    def _set_wake(self) -> None:
        self.wake_at = self.next_ping
        for probe in self.probes.values():
            wait = self.probe_interval if probe.is_indirect else self.ack_timeout
            self.wake_at = min(self.wake_at, probe.sent_at + wait)
