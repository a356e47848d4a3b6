"""Quarantines requests that crash backend servers.

Each request in flight when a server crashes gets a strike, which is broadcast with
membership updates. Requests with a strike may be run one at a time, so that the next
crash shows which one causes it. A request with strikes from several crashes is refused
for a while. Once a request is answered, its strikes are withdrawn at all nodes (a
pardon), because another request must have crashed the server.

A strike counts against requests of the same content from all callers, until one from
another caller is answered: then backend servers tell the callers apart, and the strike
counts against its own caller only.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, Self

import msgspec
from msgspec.structs import replace

from daisylink.request import Fingerprint, QuarantineStatus

MAX_FINGERPRINTS = 1000
MS_PER_SECOND = 1000
# Time for a trial and for the news of its end.
MIN_RETRY_SECONDS = 1.0


class Strike(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a backend server, counted against a request that was in flight.

    :param head: digest of the request head.
    :param whole: digest of head and body.
    :param crash: identifies the crash.
    :param pardoned: whether the strike is withdrawn because the request was answered
        later, so that another one caused the crash.
    :param expires_ms: when it expires, in milliseconds of Unix time, 0 if not stated.
    :param lifetime_ms: how long it lasted when the record listed it first, in
        milliseconds, 0 for the whole lifetime.
    :param is_repeat: whether the request had lost an attempt before, so that the crash
        says more than one of another server at the same moment.
    :param caller: digest of the calling service's name, empty if it is not known.
    :param is_caller_bound: whether the strike counts only against requests of its own
        caller, because a request of another caller was answered.
    """

    head: bytes
    whole: bytes
    crash: str
    pardoned: bool = False
    expires_ms: int = 0
    lifetime_ms: int = 0
    is_repeat: bool = False
    caller: bytes = b""
    is_caller_bound: bool = False

    @classmethod
    def from_fingerprint(cls, fingerprint: Fingerprint, crash: str, **fields) -> Self:
        """Return a strike against a request.

        :param fields: other fields of the strike, by name.
        """
        head, whole, caller = fingerprint
        return cls(head, whole, crash, caller=caller, **fields)

    @property
    def key(self) -> "StrikeKey":
        """Return what identifies the strike among those of all requests."""
        return StrikeKey(self.whole, self.crash, self.caller)


class StrikeKey(NamedTuple):
    """Identifies a strike: its request, its crash and the caller's digest."""

    whole: bytes
    crash: str
    caller: bytes


class QuarantineSettings(NamedTuple):
    """Times and limits of the quarantine.

    :param strike_lifetime: how long a strike lasts.
    :param crash_limit: number of crashes after which a request is refused.
    :param isolates_suspects: whether requests with a strike run one at a time.
    :param same_moment: time within which crashes of several servers count as one: what
        ends them at once is hardly a request, though it may be in flight at each. With
        none, each crash counts.
    :param trial_delays: times after the last crash at which a refused request is tried
        again, one for each trial that crashed a server too; then no more.
    """

    strike_lifetime: timedelta = timedelta(seconds=60)
    crash_limit: int = 2
    isolates_suspects: bool = True
    same_moment: timedelta = timedelta(0)
    trial_delays: tuple[timedelta, ...] = ()


class KnownStrike(NamedTuple):
    """A strike that this node knows of.

    :param ends: when it expires, in seconds of the monotonic clock.
    :param pardoned: whether it was pardoned.
    :param crashed_at: when the server crashed, in seconds of the monotonic clock.
    :param is_repeat: whether the request had lost an attempt before.
    :param is_caller_bound: whether it counts only against its own caller's requests.
    """

    ends: float
    pardoned: bool
    crashed_at: float
    is_repeat: bool
    is_caller_bound: bool

    def is_at_least(self, strike: Strike) -> bool:
        """Return whether no less of this strike was withdrawn than of another copy."""
        known = (self.pardoned, self.is_caller_bound)
        return known >= (strike.pardoned, strike.is_caller_bound)


class Quarantine:
    """The strikes that this node knows of, by the digest of whole requests."""

    def __init__(self, settings: QuarantineSettings):
        self.strike_lifetime = settings.strike_lifetime.total_seconds()
        self.crash_limit = settings.crash_limit
        self.same_moment = settings.same_moment.total_seconds()
        self.trial_delays = [delay.total_seconds() for delay in settings.trial_delays]
        self.isolates_suspects = settings.isolates_suspects
        self.strikes: dict[bytes, dict[StrikeKey, KnownStrike]] = {}
        self.heads: dict[bytes, set[bytes]] = {}
        self.running: set[bytes] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether no strike is known."""
        return not self.strikes

    def has_strike_on_head(self, head: bytes) -> bool:
        """Return whether a request with this head digest has a strike."""
        return head in self.heads

    def merge_strikes(
        self,
        strikes: tuple[Strike, ...],
        now: float,
        find_lifetime: Callable[[Strike], float] | None = None,
        find_age: Callable[[Strike], float] | None = None,
    ) -> list[Strike]:
        """Merge strikes and what was withdrawn of them.

        A pardon permanently overrides the strike of its crash, even if that strike
        arrives later. So does the news that a strike is bound to its caller.

        :param now: seconds of the monotonic clock.
        :param find_lifetime: returns how long a strike lasts from now, in seconds; by
            default each one lasts for the whole lifetime.
        :param find_age: returns how long ago the crash was, in seconds; 0 by default.
        :returns: those that were new.
        """
        fresh = []
        for strike in strikes:
            known = self.strikes.setdefault(strike.whole, {})
            held = known.get(strike.key)
            if held is not None and held.is_at_least(strike):
                continue
            fresh.append(strike)
            if held is not None and not strike.pardoned:
                known[strike.key] = held._replace(is_caller_bound=True)
                continue
            lifetime = self.strike_lifetime
            if find_lifetime is not None:
                lifetime = min(lifetime, find_lifetime(strike))
            crashed_at = now - find_age(strike) if find_age is not None else now
            known[strike.key] = KnownStrike(
                now + lifetime,
                strike.pardoned,
                crashed_at,
                strike.is_repeat,
                strike.is_caller_bound,
            )
            self.heads.setdefault(strike.head, set()).add(strike.whole)
        while len(self.strikes) > MAX_FINGERPRINTS:
            self._forget(next(iter(self.strikes)))
        return fresh

    def make_pardons(self, fingerprint: Fingerprint) -> tuple[Strike, ...]:
        """Return what the answer to a request withdraws of its strikes.

        Those of its caller, or of an unknown one, are pardoned; the others are bound to
        their callers.
        """
        changed = []
        for key, held in self.strikes.get(fingerprint.whole, {}).items():
            strike = Strike(
                fingerprint.head,
                key.whole,
                key.crash,
                is_repeat=held.is_repeat,
                caller=key.caller,
            )
            if key.caller in (fingerprint.caller, b""):
                strike = replace(strike, pardoned=True)
            else:
                strike = replace(strike, is_caller_bound=True)
            if not held.is_at_least(strike):
                changed.append(strike)
        return tuple(changed)

    def find_seconds_left(self, strike: Strike, now: float) -> float:
        """Return how long a known strike lasts, 0 if it is unknown or pardoned.

        :param now: seconds of the monotonic clock.
        """
        known = self.strikes.get(strike.whole, {})
        if not self._is_live(known, strike.key, now):
            return 0.0
        return known[strike.key].ends - now

    def update_strike(self, strike: Strike) -> Strike:
        """Return a strike as it counts by now."""
        held = self.strikes.get(strike.whole, {}).get(strike.key)
        if held is None or not held.is_caller_bound:
            return strike
        return replace(strike, is_caller_bound=True)

    def find_status(self, fingerprint: Fingerprint, now: float) -> QuarantineStatus:
        """Return whether a request is clear, a suspect or quarantined."""
        live = self._list_crashes(fingerprint, now)
        if not live:
            return QuarantineStatus.CLEAR
        if self._count_evidence(live) >= self.crash_limit:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT

    def count_crashes(self, fingerprint: Fingerprint, now: float) -> int:
        """Return the number of crashes that are known of a content, by any caller."""
        known = self.strikes.get(fingerprint.whole, {})
        return len({key.crash for key in known if self._is_live(known, key, now)})

    def find_trial_at(self, fingerprint: Fingerprint, now: float) -> float:
        """Return when a refused request may be tried again, infinite if it may not.

        The crashes after those that made it refused were trials. A request of another
        caller than the one that all crashes have in common is tried at once.

        :param now: seconds of the monotonic clock.
        """
        live = self._list_crashes(fingerprint, now)
        crashed_at = sorted(held.crashed_at for held in live)
        if len(crashed_at) < self.crash_limit:
            return float("inf")
        if self._is_explained_by_another(fingerprint, now):
            return crashed_at[-1]
        last_moment = crashed_at[self.crash_limit - 1] + self.same_moment
        trials = sum(at > last_moment for at in crashed_at)
        if trials >= len(self.trial_delays):
            return float("inf")
        return crashed_at[-1] + self.trial_delays[trials]

    def retry_ms(self, fingerprint: Fingerprint, now: float) -> int:
        """Return the milliseconds until a refused request may run again."""
        known = self.strikes.get(fingerprint.whole, {})
        ends = max((held.ends for held in known.values()), default=now)
        trial_ends = self.find_trial_at(fingerprint, now) + MIN_RETRY_SECONDS
        earliest = max(now + MIN_RETRY_SECONDS, trial_ends)
        return max(1, round((min(ends, earliest) - now) * MS_PER_SECOND))

    def begin(self, fingerprint: Fingerprint) -> bool:
        """Start the run of a suspect, one at a time if suspects are isolated.

        :returns: whether it may run now.
        """
        if self.running and self.isolates_suspects:
            return False
        self.running.add(fingerprint.whole)
        return True

    def is_running(self, fingerprint: Fingerprint) -> bool:
        """Return whether a suspect with this content runs."""
        return fingerprint.whole in self.running

    def end(self, fingerprint: Fingerprint) -> None:
        """Record that a suspect no longer runs."""
        self.running.discard(fingerprint.whole)

    def purge(self, now: float) -> None:
        """Forget requests whose strikes have all expired."""
        for whole, known in list(self.strikes.items()):
            if all(held.ends <= now for held in known.values()):
                self._forget(whole)

    def _is_live(
        self, known: dict[StrikeKey, KnownStrike], key: StrikeKey, now: float
    ) -> bool:
        """Return whether a strike is in force.

        A node of an earlier release pardons a crash without naming a caller.

        :param known: the strikes against requests of the same content.
        """
        held = known.get(key)
        unnamed = known.get(key._replace(caller=b""), held)
        if held is None or held.pardoned or unnamed.pardoned:
            return False
        return held.ends > now

    def _list_counting(
        self, fingerprint: Fingerprint, now: float
    ) -> dict[StrikeKey, KnownStrike]:
        """Return the strikes in force that count against a request."""
        known = self.strikes.get(fingerprint.whole, {})
        return {
            key: held
            for key, held in known.items()
            if self._is_live(known, key, now)
            and (key.caller == fingerprint.caller or not held.is_caller_bound)
        }

    def _list_crashes(self, fingerprint: Fingerprint, now: float) -> list[KnownStrike]:
        """Return one strike of each crash that counts against a request.

        Requests of several callers may have been in flight at one crash.
        """
        crashes: dict[str, KnownStrike] = {}
        for key, held in self._list_counting(fingerprint, now).items():
            if key.crash not in crashes or held.is_repeat:
                crashes[key.crash] = held
        return list(crashes.values())

    def _is_explained_by_another(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether another caller's requests were in flight at each crash.

        An unknown caller may be the same one.
        """
        crashes: dict[bytes, set[str]] = {}
        for key in self._list_counting(fingerprint, now):
            if key.caller not in (fingerprint.caller, b""):
                crashes.setdefault(key.caller, set()).add(key.crash)
        most = max(map(len, crashes.values()), default=0)
        return most == len(self._list_crashes(fingerprint, now))

    def _count_evidence(self, live: list[KnownStrike]) -> int:
        """Return the number of crashes, of which those of one moment count once.

        Only one moment is left out: a request that crashes servers may come again so
        soon that two crashes of it fall together, but hardly each time.
        """
        if not self.same_moment:
            return len(live)
        times = [held.crashed_at for held in live if not held.is_repeat]
        together = [
            sum(0 <= other - time <= self.same_moment for other in times)
            for time in times
        ]
        return len(live) - max(0, max(together, default=1) - 1)

    def _forget(self, whole: bytes) -> None:
        self.strikes.pop(whole, None)
        for head, wholes in list(self.heads.items()):
            wholes.discard(whole)
            if not wholes:
                del self.heads[head]
