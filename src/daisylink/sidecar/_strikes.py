"""Requests that crash backend servers: what this node tells the fleet of them."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from daisylink.request import Fingerprint
from daisylink.serving import Quarantine, QuarantineSettings, Strike

# Such requests run beside others: most of what was in flight at a crash is innocent,
# and the users allow a request to crash three servers.
SIDECAR_QUARANTINE_SETTINGS = QuarantineSettings(crash_limit=3, isolates_suspects=False)
# All slots of a server at two crashes; the oldest go first.
MAX_REPORTED = 32


class StrikeReporterSettings(NamedTuple):
    """Times of a node's news of strikes.

    :param retention: how long news stays in the own record, several times what a change
        of a record takes to reach the fleet.
    """

    retention: timedelta = timedelta(seconds=10)


class StrikeReporter:
    """Strikes and pardons in the own record.

    :param node: name of this node.
    :param quarantine: what is held against requests here.
    """

    def __init__(
        self, settings: StrikeReporterSettings, node: str, quarantine: Quarantine
    ):
        self.retention_seconds = settings.retention.total_seconds()
        self.node = node
        self.quarantine = quarantine
        self.reported: dict[tuple[bytes, str], tuple[float, Strike]] = {}

    def record_crash(self, lost: Iterable[Fingerprint], now: float) -> None:
        """Hold a crash against the requests that were in flight."""
        crash = f"{self.node}/{now:.3f}"
        strikes = [Strike(item.head, item.whole, crash) for item in dict.fromkeys(lost)]
        self._report(strikes, now)

    def record_answered(self, fingerprint: Fingerprint, now: float) -> None:
        """Pardon a request that was answered: another one crashed the server."""
        self._report(self.quarantine.make_pardons(fingerprint), now)

    def list_current(self, now: float) -> tuple[Strike, ...]:
        """Return what the own record is to tell."""
        for key in [key for key, (ends, _) in self.reported.items() if ends <= now]:
            del self.reported[key]
        return tuple(strike for _, strike in self.reported.values())

    def _report(self, strikes: Iterable[Strike], now: float) -> None:
        for strike in self.quarantine.merge_strikes(tuple(strikes), now):
            key = (strike.whole, strike.crash)
            self.reported.pop(key, None)
            self.reported[key] = (now + self.retention_seconds, strike)
        while len(self.reported) > MAX_REPORTED:
            del self.reported[next(iter(self.reported))]
