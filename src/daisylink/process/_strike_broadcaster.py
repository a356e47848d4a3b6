"""Tells the fleet of requests that were in flight when a backend server crashed."""

from daisylink.process._broadcaster import Broadcaster, PushPayload
from daisylink.process._events import Action
from daisylink.request import Fingerprint
from daisylink.serving._quarantine import Quarantine, Strike

MAX_STRIKES = 16


class StrikeBroadcaster:
    """Records strikes and pardons, and broadcasts those that are new.

    :param node: name of this node.
    """

    def __init__(self, quarantine: Quarantine, broadcaster: Broadcaster, node: str):
        self.quarantine = quarantine
        self.broadcaster = broadcaster
        self.node = node

    def record_crash(
        self, fingerprints: tuple[Fingerprint, ...], now: float
    ) -> list[Action]:
        """Record and broadcast a strike for each request in flight at a crash."""
        crash = f"{self.node}/{now:.3f}"
        strikes = tuple(
            Strike.from_fingerprint(item, crash) for item in dict.fromkeys(fingerprints)
        )
        return self._broadcast(strikes[:MAX_STRIKES], now)

    def pardon(self, fingerprint: Fingerprint, now: float) -> list[Action]:
        """Withdraw a request's strikes: a server has answered it."""
        return self._broadcast(self.quarantine.make_pardons(fingerprint), now)

    def _broadcast(self, strikes: tuple[Strike, ...], now: float) -> list[Action]:
        if not self.quarantine.merge_strikes(strikes, now):
            return []
        return list(self.broadcaster.broadcast(PushPayload(strikes=strikes), now))
