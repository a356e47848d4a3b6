"""Versions that peers have and this node lacks, by the numbers in their requests."""

import asyncio
from collections.abc import Callable

# A peer with a newer version may only have received it a moment earlier.
GRACE_SECONDS = 1.0


class PeerVersions:
    """Notes the version numbers of peers and asks for one that stays missing.

    :param loop: runs the checks.
    :param get_own_number: returns the number of the version in force here.
    :param get_version: called while a version is missing, with whether it is the first
        time for this one; returns whether to check again.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        get_own_number: Callable[[], int],
        get_version: Callable[[bool], bool],
    ):
        self.loop = loop
        self.get_own_number = get_own_number
        self.get_version = get_version
        self.newest_number = 0
        # IP address of the peer that last had it.
        self.newest_host = ""
        self.missed_number = 0

    @property
    def is_behind(self) -> bool:
        """Return whether a version is missing that peers have had for a while."""
        return self.missed_number > self.get_own_number()

    def handle_number(self, number: int, host: str) -> None:
        """Schedule a check for a version that a peer has and this node lacks.

        :param host: IP address of the peer.
        """
        if number <= self.get_own_number() or number < self.newest_number:
            return
        self.newest_host = host
        if number == self.newest_number:
            return
        self.newest_number = number
        self.loop.call_later(GRACE_SECONDS, self._check, number, True)

    def _check(self, number: int, is_first: bool) -> None:
        if number <= self.get_own_number():
            return
        self.missed_number = number
        if self.get_version(is_first):
            self.loop.call_later(GRACE_SECONDS, self._check, number, False)
