"""Keeps requests that crash backend servers from running again and again.

The requests in flight when a server crashes get a strike, which spreads with the news
of members. A request with a strike may be kept from running beside another such one, so
that the next crash tells the culprit from the innocents; with strikes from some crashes
it is refused for a while. A request that is answered is pardoned
everywhere: it was another one that crashed the server.
"""

from datetime import timedelta
from typing import NamedTuple

import msgspec

from daisylink.request import Fingerprint, QuarantineStatus

MAX_FINGERPRINTS = 1000
MS_PER_SECOND = 1000


class Strike(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in flight when a backend server crashed.

    :param crash: names the crash.
    :param pardoned: whether the request was answered since, so it was another one.
    """

    head: bytes
    whole: bytes
    crash: str
    pardoned: bool = False


class QuarantineSettings(NamedTuple):
    """Times and limits of the quarantine.

    :param life: how long a strike lasts.
    :param crash_limit: crashes after which a request is refused.
    :param isolates_suspects: whether requests with a strike run one at a time.
    """

    life: timedelta = timedelta(seconds=60)
    crash_limit: int = 2
    isolates_suspects: bool = True


class HeldStrike(NamedTuple):
    """When a strike ends, and whether it was pardoned."""

    ends: float
    pardoned: bool


class Quarantine:
    """Strikes by fingerprint, as far as this node has heard of them."""

    def __init__(self, settings: QuarantineSettings):
        self.life = settings.life.total_seconds()
        self.crash_limit = settings.crash_limit
        self.isolates_suspects = settings.isolates_suspects
        self.strikes: dict[bytes, dict[str, HeldStrike]] = {}
        self.heads: dict[bytes, set[bytes]] = {}
        self.running: set[bytes] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is held against any request."""
        return not self.strikes

    def has_strike_on_head(self, head: bytes) -> bool:
        """Return whether a request with this head has a strike."""
        return head in self.heads

    def merge_strikes(self, strikes: tuple[Strike, ...], now: float) -> list[Strike]:
        """Take strikes and pardons; return those that were new.

        A pardon ends the strike of its crash for ever, also one that comes after it.
        """
        fresh = []
        for strike in strikes:
            crashes = self.strikes.setdefault(strike.whole, {})
            held = crashes.get(strike.crash)
            if held is not None and held.pardoned >= strike.pardoned:
                continue
            crashes[strike.crash] = HeldStrike(now + self.life, strike.pardoned)
            self.heads.setdefault(strike.head, set()).add(strike.whole)
            fresh.append(strike)
        while len(self.strikes) > MAX_FINGERPRINTS:
            self._forget(next(iter(self.strikes)))
        return fresh

    def make_pardons(self, fingerprint: Fingerprint) -> tuple[Strike, ...]:
        """Return the pardons of a request that was answered."""
        return tuple(
            Strike(fingerprint.head, fingerprint.whole, crash, True)
            for crash, held in self.strikes.get(fingerprint.whole, {}).items()
            if not held.pardoned
        )

    def find_status(self, fingerprint: Fingerprint, now: float) -> QuarantineStatus:
        """Return what is held against a request."""
        crashes = self.strikes.get(fingerprint.whole, {})
        live = sum(held.ends > now and not held.pardoned for held in crashes.values())
        if live >= self.crash_limit:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT if live else QuarantineStatus.CLEAR

    def retry_ms(self, fingerprint: Fingerprint, now: float) -> int:
        """Return when a quarantined request may come back."""
        crashes = self.strikes.get(fingerprint.whole, {})
        ends = max((held.ends for held in crashes.values()), default=now)
        return max(1, round((ends - now) * MS_PER_SECOND))

    def begin(self, fingerprint: Fingerprint) -> bool:
        """Note that a suspect is to run; return whether it may run now."""
        if self.running and self.isolates_suspects:
            return False
        self.running.add(fingerprint.whole)
        return True

    def end(self, fingerprint: Fingerprint) -> None:
        """Note that a suspect no longer runs."""
        self.running.discard(fingerprint.whole)

    def purge(self, now: float) -> None:
        """Forget strikes past their life."""
        for whole, crashes in list(self.strikes.items()):
            if all(held.ends <= now for held in crashes.values()):
                self._forget(whole)

    def _forget(self, whole: bytes) -> None:
        self.strikes.pop(whole, None)
        for head, wholes in list(self.heads.items()):
            wholes.discard(whole)
            if not wholes:
                del self.heads[head]
