"""Keeps the version in force, installs newer ones and serves them to other nodes."""

from collections import deque
from enum import Enum

from daisylink.errors import ResultCode, VersionError
from daisylink.process._messages import VersionNews
from daisylink.version import (
    Version,
    pack_content,
    version_from_delta,
    version_from_snapshot,
)

KEPT_DELTAS = 64


class Offer(Enum):
    """What came of news of a version."""

    INSTALLED = "installed"
    KNOWN = "known"
    GAP = "gap"
    REFUSED = "refused"


class Installer:
    """The version in force, replaced by one assignment and never by an older one."""

    def __init__(self):
        self.current: Version | None = None
        self.chain: deque[VersionNews] = deque(maxlen=KEPT_DELTAS)
        self.waiting: dict[int, VersionNews] = {}
        self.packed: tuple[int, bytes] = (0, b"")
        self.refused = 0

    @property
    def number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.current.number if self.current is not None else 0

    def offer(self, news: VersionNews) -> Offer:
        """Install a version from its delta, if it is the next one.

        A delta that came too early is kept and applied after the one before it.
        """
        if news.number <= self.number:
            return Offer.KNOWN
        if news.number != self.number + 1 or self.current is None:
            if news.delta is not None and news.number <= self.number + KEPT_DELTAS:
                self.waiting[news.number] = news
            return Offer.GAP
        if news.delta is None:
            return Offer.GAP
        try:
            version = version_from_delta(self.current, news.stamp, news.delta)
        except VersionError:
            self.refused += 1
            return Offer.REFUSED
        self.install(version)
        self.chain.append(news)
        self._offer_waiting()
        return Offer.INSTALLED

    def offer_snapshot(self, news: VersionNews, packed: bytes) -> Offer:
        """Install a version from its packed content."""
        if news.number <= self.number:
            return Offer.KNOWN
        try:
            version = version_from_snapshot(news.stamp, packed)
        except VersionError:
            self.refused += 1
            return Offer.REFUSED
        self.install(version)
        self.chain.clear()
        self.packed = (news.number, packed)
        self._offer_waiting()
        return Offer.INSTALLED

    def install(self, version: Version) -> None:
        """Put a complete, checked version in force.

        :raises VersionError: ``VERSION_NOT_NEWER`` if it is not newer.
        """
        if version.number <= self.number:
            raise VersionError(
                f"version {version.number} is not newer than {self.number}",
                ResultCode.VERSION_NOT_NEWER,
            )
        self.current = version

    def news_since(self, number: int) -> tuple[VersionNews, ...]:
        """Return the deltas that lead from a version to the one in force.

        :returns: news in order; empty if the deltas are no longer kept.
        """
        if number == 0 or number >= self.number:
            return ()
        news = tuple(item for item in self.chain if item.number > number)
        return news if len(news) == self.number - number else ()

    def snapshot(self) -> tuple[VersionNews, bytes] | None:
        """Return the version in force as news and packed content, or None."""
        if self.current is None:
            return None
        if self.packed[0] != self.number:
            _, packed = pack_content(self.current.content)
            self.packed = (self.number, packed)
        stamp = self.current.stamp
        news = VersionNews(stamp.number, stamp.digest, stamp.accepted_at)
        return news, self.packed[1]

    def _offer_waiting(self) -> None:
        """Apply the deltas that came too early."""
        for number in [number for number in self.waiting if number <= self.number]:
            del self.waiting[number]
        news = self.waiting.pop(self.number + 1, None)
        if news is not None:
            self.offer(news)
