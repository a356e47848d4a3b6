"""Keeps a copy of the store's keys by one watch, without I/O.

The keys of a prefix are listed first, then watched from the listing's revision. When
the store has dropped the history they are listed again, so that no change is missed.
One call is under way at a time.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.registry._store import Changes, Item, Listing


class WatchCacheSettings(NamedTuple):
    """Times of a follower.

    :param batch_delay_per_key: time between an answer and the next watch, in which
        changes gather, for each key that is followed: whatever its size, a fleet makes
        some eighty calls a second while its members change.
    :param min_batch_delay: shortest such time.
    :param max_batch_delay: longest such time, half of what a configuration may take.
    :param max_reader_batch_delay: longest such time where others wait for what is read
        here.
    :param watch_timeout: how long a watch waits at the store. A connection that fell
        silent is noticed sooner, by a renewal of the lease or by a peer's newer
        version.
    :param base_retry_delay: delay after the first failed call; doubles with each
        further one.
    :param max_retry_delay: longest delay between calls while the store is away.
    """

    watch_timeout: timedelta = timedelta(seconds=6)
    batch_delay_per_key: timedelta = timedelta(milliseconds=12)
    min_batch_delay: timedelta = timedelta(milliseconds=40)
    max_batch_delay: timedelta = timedelta(seconds=1)
    max_reader_batch_delay: timedelta = timedelta(milliseconds=300)
    base_retry_delay: timedelta = timedelta(milliseconds=100)
    max_retry_delay: timedelta = timedelta(milliseconds=800)


@dataclass(frozen=True)
class ListKeys:
    """Call: read all keys of a prefix."""

    prefix: str = ""


@dataclass(frozen=True)
class WatchKeys:
    """Call: wait for changes of a prefix after a revision."""

    revision: int
    wait: timedelta
    prefix: str = ""


ReadCall = ListKeys | WatchKeys


class WatchCache:
    """A copy of the store's keys.

    :param on_item: told each key that is new or changed, or deleted.
    :param on_listing: told the end of each listing.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        settings: WatchCacheSettings,
        on_item: Callable[[Item], None],
        on_listing: Callable[[], None],
        rng: random.Random,
    ):
        self.settings = settings
        self.on_item = on_item
        self.on_listing = on_listing
        self.rng = rng
        self.revisions: dict[str, int] = {}
        self.values: dict[str, bytes] = {}
        self.prefix = ""
        self.max_batch_delay = settings.max_batch_delay
        self.revision = 0
        self.first_revision = 0
        self.is_listed = False
        self.failures = 0
        self.retry_at = 0.0
        self.pending: ReadCall | None = None

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due."""
        return self.retry_at if self.pending is None else float("inf")

    def tick(self, now: float) -> ReadCall | None:
        """Return the call to make now, if any."""
        if self.pending is not None or now < self.retry_at:
            return None
        if self.is_listed:
            self.pending = WatchKeys(
                self.revision, self.settings.watch_timeout, self.prefix
            )
        else:
            self.pending = ListKeys(self.prefix)
        return self.pending

    def set_prefix(self, prefix: str, is_reader: bool = False) -> bool:
        """Follow the keys of another prefix; return whether that is a change.

        Keys that are followed no more are forgotten; new ones have to be listed.

        :param is_reader: whether others wait for what is read here.
        """
        settings = self.settings
        self.max_batch_delay = (
            settings.max_reader_batch_delay if is_reader else settings.max_batch_delay
        )
        if prefix == self.prefix:
            return False
        if not prefix.startswith(self.prefix):
            self.is_listed = False
        self.prefix = prefix
        for key in [key for key in self.revisions if not key.startswith(prefix)]:
            del self.revisions[key]
            self.values.pop(key, None)
        return True

    def restart_watch(self) -> None:
        """Watch by a new call at the next tick, from the revision that is known.

        The one under way may have fallen silent; whoever made it ends it.
        """
        self.pending = None
        self.retry_at = 0.0

    def handle_listing(self, listing: Listing) -> None:
        """Take all keys."""
        self._record_reply()
        self.is_listed = True
        self.first_revision = self.first_revision or listing.revision
        self.revision = listing.revision
        found = {item.key for item in listing.items}
        for key in [key for key in self.values if key not in found]:
            self._apply(Item(key, None, listing.revision))
        for item in listing.items:
            self._apply(item)
        self.on_listing()

    def handle_changes(
        self, changes: Changes, now: float, is_from_store: bool = True
    ) -> None:
        """Take the changes that a watch brought.

        :param is_from_store: whether the store was asked, rather than a reader.
        """
        self._record_reply()
        self.revision = max(self.revision, changes.revision)
        delay = self._batch_delay() if is_from_store else self.settings.min_batch_delay
        self.retry_at = now + delay.total_seconds()
        newest = {item.key: item for item in changes.items}
        for item in newest.values():
            self._apply(item)

    def handle_failure(self, code: ResultCode, now: float) -> None:
        """Take the failure of the call under way."""
        self.pending = None
        if code is ResultCode.PLATFORM_HISTORY_GONE:
            self.is_listed = False
            return
        self.failures += 1
        backoff = self.settings.base_retry_delay.total_seconds() * 2 ** (
            self.failures - 1
        )
        delay = min(backoff, self.settings.max_retry_delay.total_seconds())
        self.retry_at = now + self.rng.uniform(delay / 2, delay)

    def _batch_delay(self) -> timedelta:
        settings = self.settings
        delay = settings.batch_delay_per_key * len(self.values)
        return min(max(delay, settings.min_batch_delay), self.max_batch_delay)

    def latest_revision(self, prefix: str) -> int:
        """Return the revision of the last change of a prefix that is known."""
        return max(
            (rev for key, rev in self.revisions.items() if key.startswith(prefix)),
            default=0,
        )

    def list_changes_after(self, revision: int, prefix: str) -> list[Item]:
        """Return the keys of a prefix that changed after a revision.

        Deletions from ``first_revision`` on are among them.
        """
        return [
            Item(key, self.values.get(key), changed)
            for key, changed in self.revisions.items()
            if changed > revision and key.startswith(prefix)
        ]

    def _record_reply(self) -> None:
        self.pending = None
        self.failures = 0

    def handle_updates(self, items: list[Item]) -> None:
        """Take keys that a peer read, where they are newer."""
        for item in items:
            self._apply(item)

    def _apply(self, item: Item) -> None:
        """Pass a key on, unless it is not newer than what is known of it.

        The revision of a deleted key is kept, so that old news cannot bring it back.
        """
        if item.revision <= self.revisions.get(item.key, 0):
            return
        self.revisions[item.key] = item.revision
        if item.value is None:
            self.values.pop(item.key, None)
        else:
            self.values[item.key] = item.value
        self.on_item(item)
