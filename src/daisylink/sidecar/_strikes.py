"""Publishing of strikes, which count backend-server crashes against requests."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from daisylink.request import Fingerprint
from daisylink.serving import Quarantine, QuarantineSettings, Strike

# Suspects run beside other requests: most requests in flight at a crash did not
# cause it, and a request may crash at most three servers.
SIDECAR_QUARANTINE_SETTINGS = QuarantineSettings(crash_limit=3, isolates_suspects=False)
# All slots of a server at two crashes; the oldest strikes are dropped first.
MAX_REPORTED = 32


class StrikeReporterSettings(NamedTuple):
    """Settings of a :class:`StrikeReporter`.

    :param retention: how long a strike stays in the record, several times what a change
        of a record takes to reach the fleet.
    """

    retention: timedelta = timedelta(seconds=10)


class StrikeReporter:
    """The strikes in this node's record, and the pardons that withdraw strikes.

    :param node: name of this node.
    :param quarantine: the strikes known to this node.
    """

    def __init__(
        self, settings: StrikeReporterSettings, node: str, quarantine: Quarantine
    ):
        self.retention_seconds = settings.retention.total_seconds()
        self.node = node
        self.quarantine = quarantine
        self.reported: dict[tuple[bytes, str], tuple[float, Strike]] = {}

    def record_crash(self, lost: Iterable[Fingerprint], now: float) -> None:
        """Record a strike for each request that was in flight at a crash."""
        crash = f"{self.node}/{now:.3f}"
        strikes = [Strike(item.head, item.whole, crash) for item in dict.fromkeys(lost)]
        self._report(strikes, now)

    def record_answered(self, fingerprint: Fingerprint, now: float) -> None:
        """Withdraw the strikes of a request that was answered.

        Another request crashed the server.
        """
        self._report(self.quarantine.make_pardons(fingerprint), now)

    def list_current(self, now: float) -> tuple[Strike, ...]:
        """Return the strikes and pardons that this node's record should contain."""
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
