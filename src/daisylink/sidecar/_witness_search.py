"""Waits for a peer that knows departures which the store may have lost."""

from daisylink.registry import LostDepartures
from daisylink.sidecar._announcement_handler import AnnouncementHandler

# How long a server that may have left waits for such a peer.
TIMEOUT_SECONDS = 1.2


class WitnessSearch:
    """The search of a process that starts, whose backend server may have left.

    :param node: name of this node.
    """

    def __init__(
        self,
        announcement_handler: AnnouncementHandler,
        lost_departures: LostDepartures,
        node: str,
    ):
        self.announcement_handler = announcement_handler
        self.lost_departures = lost_departures
        self.node = node

    @property
    def is_active(self) -> bool:
        """Return whether the backend server waits for the outcome."""
        return self.announcement_handler.awaits_witness

    def list_witnesses(self) -> list[str]:
        """Return the nodes to ask first."""
        if not self.is_active:
            return []
        return self.lost_departures.choose_keepers(self.node)

    def tick(self, now: float, began_at: float, witnessed_at: float) -> None:
        """End the search if it is time.

        :param now: seconds of the monotonic clock.
        :param began_at: when it began.
        :param witnessed_at: when a peer last answered that had listed the store's keys
            in an earlier era.
        """
        if not self.is_active:
            return
        has_witness = witnessed_at >= began_at
        if has_witness or now >= began_at + TIMEOUT_SECONDS:
            self.announcement_handler.end_witness_wait(has_witness)
