"""Publishing of strikes, which count backend-server crashes against requests.

The record of the node beside a crashed server lists the strikes for as long as they
last. When that node leaves or starts again, others that know the strikes list them, so
that a node that starts learns them with the members' records.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from daisylink.clock import Clock
from daisylink.logs import get_logger
from daisylink.request import Fingerprint, LostRequest
from daisylink.serving import (
    Quarantine,
    QuarantineSettings,
    Strike,
    StrikeKey,
    choose_by_ring,
)

# Suspects run beside other requests: most requests in flight at a crash did not
# cause it, and a request may crash at most three servers. One that is answered loses
# its strikes, so they may last.
SIDECAR_QUARANTINE_SETTINGS = QuarantineSettings(
    strike_lifetime=timedelta(minutes=10),
    crash_limit=3,
    isolates_suspects=False,
    same_moment=timedelta(milliseconds=250),
    trial_delays=(timedelta(seconds=30), timedelta(minutes=2)),
)
# All slots of a server at two crashes; the oldest strikes are dropped first.
MAX_REPORTED = 32
# Nodes that list the strikes of one that is gone: one of them may be gone as well.
ADOPTERS = 2
MS_PER_SECOND = 1000

log = get_logger("strikes")


class StrikeReporterSettings(NamedTuple):
    """Settings of a :class:`StrikeReporter`.

    :param pardon_retention: how long a pardon stays in the record, several times what a
        change of a record takes to reach the fleet. By then no record lists its strike.
    :param min_lifetime: how long a starting node keeps a strike that it reads, even if
        the strike has expired by the time of day, which may be wrong.
    :param min_adoption: a strike that expires sooner is not listed by another node.
    """

    pardon_retention: timedelta = timedelta(seconds=10)
    min_lifetime: timedelta = timedelta(seconds=4)
    min_adoption: timedelta = timedelta(seconds=5)


class ReportedStrike(NamedTuple):
    """A strike or pardon in this node's record.

    :param ends: when the record drops it, in seconds of the monotonic clock.
    """

    ends: float
    strike: Strike


class StrikeReporter:
    """The strikes in the members' records, and which of them this node lists.

    :param node: name of this node.
    :param quarantine: the strikes known to this node.
    :param clock: the process's clock; its time of day tells other nodes how long a
        strike lasts.
    :param list_members: returns the names of the members.
    """

    def __init__(
        self,
        settings: StrikeReporterSettings,
        node: str,
        quarantine: Quarantine,
        clock: Clock,
        list_members: Callable[[], Iterable[str]],
    ):
        self.settings = settings
        self.node = node
        self.quarantine = quarantine
        self.clock = clock
        self.list_members = list_members
        self.reported: dict[StrikeKey, ReportedStrike] = {}
        # Strikes in the newest record of each other node, if it lists any.
        self.listed: dict[str, tuple[Strike, ...]] = {}

    def record_crash(self, lost: Iterable[LostRequest], now: float) -> None:
        """Record a strike for each request that was in flight at a crash."""
        crash = f"{self.node}/{now:.3f}"
        lifetime = self.quarantine.strike_lifetime
        expires_ms = self._unix_ms() + round(lifetime * MS_PER_SECOND)
        strikes = [
            Strike.from_fingerprint(
                fingerprint, crash, expires_ms=expires_ms, is_repeat=is_repeat
            )
            for fingerprint, is_repeat in merge_lost(lost).items()
        ]
        for strike in self.quarantine.merge_strikes(tuple(strikes), now):
            self._report(strike, now + lifetime)

    def record_answered(self, fingerprint: Fingerprint, now: float) -> list[Strike]:
        """Withdraw the strikes of a request that was answered.

        Another request crashed the server, or the same content from another caller,
        to which its strikes are bound then.

        :returns: the strikes that were pardoned or bound to their callers.
        """
        pardons = self.quarantine.make_pardons(fingerprint)
        ends = now + self.settings.pardon_retention.total_seconds()
        changed = self.quarantine.merge_strikes(pardons, now)
        for strike in changed:
            if strike.pardoned:
                self._report(strike, ends)
            elif strike.key not in self.reported:
                self._report(self._state_lifetime(strike, now), ends)
        return changed

    def handle_record(
        self, node: str, strikes: tuple[Strike, ...], now: float, is_starting: bool
    ) -> bool:
        """Handle the strikes that the newest record of another node lists.

        :param is_starting: whether this node reads the records for the first time, so
            that the strikes may be old.
        :returns: whether this node's own record has to list other strikes.
        """
        former = self.listed.pop(node, ())
        fresh: list[Strike] = []
        if strikes:
            self.listed[node] = strikes
            find_lifetime = find_new_lifetime
            if is_starting:
                find_lifetime = self._find_old_lifetime
            fresh = self.quarantine.merge_strikes(
                strikes, now, find_lifetime, self._find_age
            )
        is_own_changed = any(strike.key in self.reported for strike in fresh)
        has_adopted = bool(former) and self._adopt(former, node, now)
        return is_own_changed or has_adopted

    def handle_member_removed(self, node: str, now: float) -> bool:
        """Handle a node that is no longer a member.

        :returns: whether this node's own record has to list more strikes.
        """
        return self._adopt(self.listed.pop(node, ()), node, now)

    def list_current(self, now: float) -> tuple[Strike, ...]:
        """Return the strikes and pardons that this node's record should contain."""
        for key, (ends, strike) in list(self.reported.items()):
            is_withdrawn = not (
                strike.pardoned or self.quarantine.find_seconds_left(strike, now)
            )
            if ends <= now or is_withdrawn:
                del self.reported[key]
        return tuple(
            self.quarantine.update_strike(reported.strike)
            for reported in self.reported.values()
        )

    def _report(self, strike: Strike, ends: float) -> None:
        self.reported.pop(strike.key, None)
        self.reported[strike.key] = ReportedStrike(ends, strike)
        while len(self.reported) > MAX_REPORTED:
            del self.reported[next(iter(self.reported))]

    def _adopt(self, strikes: tuple[Strike, ...], gone: str, now: float) -> bool:
        """List strikes that no record lists any more, if it is this node's turn.

        :param gone: the node whose record listed them.
        :returns: whether any were added.
        """
        listed = {strike.key for others in self.listed.values() for strike in others}
        listed.update(self.reported)
        missing = [
            strike
            for strike in strikes
            if strike.key not in listed and self._lasts(strike, now)
        ]
        if not missing or not self._is_adopter(gone):
            return False
        for strike in missing:
            seconds_left = self.quarantine.find_seconds_left(strike, now)
            self._report(self._state_lifetime(strike, now), now + seconds_left)
        log.bind(node=gone, strikes=len(missing)).info("strikes of another node listed")
        return True

    def _lasts(self, strike: Strike, now: float) -> bool:
        """Return whether a strike counts long enough to be listed by another node."""
        seconds_left = min(
            self.quarantine.find_seconds_left(strike, now),
            self._find_seconds_left(strike),
        )
        return seconds_left >= self.settings.min_adoption.total_seconds()

    def _is_adopter(self, gone: str) -> bool:
        """Return whether this node lists the strikes of one that is gone."""
        return self.node in choose_by_ring(gone, self.list_members(), ADOPTERS)

    def _find_old_lifetime(self, strike: Strike) -> float:
        """Return how long a strike lasts that may be old, in seconds."""
        min_seconds = self.settings.min_lifetime.total_seconds()
        return max(min_seconds, self._find_seconds_left(strike))

    def _find_seconds_left(self, strike: Strike) -> float:
        """Return the time until a strike expires by the time of day, in seconds."""
        if not strike.expires_ms:
            return float("inf")
        return (strike.expires_ms - self._unix_ms()) / MS_PER_SECOND

    def _find_age(self, strike: Strike) -> float:
        """Return how long ago the crash of a strike was by the time of day, in seconds.

        Without an expiry, from a node of an earlier release, it counts as just now.
        """
        if not strike.expires_ms:
            return 0.0
        return self.quarantine.strike_lifetime - self._find_seconds_left(strike)

    def _state_lifetime(self, strike: Strike, now: float) -> Strike:
        """Return a known strike with the time that is left of it."""
        seconds_left = self.quarantine.find_seconds_left(strike, now)
        lifetime_ms = round(seconds_left * MS_PER_SECOND)
        expires_ms = strike.expires_ms or self._unix_ms() + lifetime_ms
        return msgspec.structs.replace(
            strike, expires_ms=expires_ms, lifetime_ms=lifetime_ms
        )

    def _unix_ms(self) -> int:
        return round(self.clock.now().timestamp() * MS_PER_SECOND)


def merge_lost(lost: Iterable[LostRequest]) -> dict[Fingerprint, bool]:
    """Return the requests that a crash has lost, and whether each was a repeat."""
    merged: dict[Fingerprint, bool] = {}
    for fingerprint, is_repeat in lost:
        merged[fingerprint] = is_repeat or merged.get(fingerprint, False)
    return merged


def find_new_lifetime(strike: Strike) -> float:
    """Return how long a strike lasts that a record has just listed, in seconds."""
    if not strike.lifetime_ms:
        return float("inf")
    return strike.lifetime_ms / MS_PER_SECOND
