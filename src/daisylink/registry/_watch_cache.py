"""Keeps a local copy of the store's keys by list and watch calls, without I/O.

The keys of a prefix are listed first, then watched from the listing's revision. When
the store no longer has the history since that revision, they are listed again, so that
no change is missed. One call is pending at a time.

No news is good news only if the store says so: a watch waits for a short time, and one
that is not answered soon after is overdue, as its connection may have gone silent. The
next call then does not wait at all, so that its source is known to answer.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.registry._apply_budget import ApplyBudget
from daisylink.registry._backoff import MAX_DOUBLINGS, Backoff, BackoffSettings
from daisylink.registry._store import (
    NO_REVISION,
    Changes,
    Item,
    Listing,
    StoreRevision,
)

# Age of keys that were never confirmed.
MAX_AGE_SECONDS = 3600.0


class WatchCacheSettings(NamedTuple):
    """Delays and timeouts of a :class:`WatchCache`.

    :param batch_delay_per_key: delay between changes and the next watch, for each
        key in the cache; changes in the meantime are returned together. Because it
        grows with the number of keys, a fleet of any size makes about eighty calls a
        second while its members change.
    :param min_batch_delay: shortest such delay.
    :param max_batch_delay: longest such delay.
    :param max_reader_batch_delay: longest such delay of a reader, because other nodes
        wait for its changes.
    :param watch_timeout: how long a watch waits at the store for a change.
    :param small_fleet_watch_timeout: the same where no node waits for another.
    :param response_timeout: how long the store may take beyond that; doubles with each
        failure in a row, as it may be slow.
    :param max_response_timeout: longest such time.
    :param list_timeout_ratio: how much longer the first bytes of a listing may take.
    :param max_age: how long keys that the store has not confirmed are passed on; a
        response of which nothing arrives for so long is overdue.
    """

    watch_timeout: timedelta = timedelta(seconds=1)
    small_fleet_watch_timeout: timedelta = timedelta(milliseconds=1375)
    response_timeout: timedelta = timedelta(milliseconds=400)
    max_response_timeout: timedelta = timedelta(seconds=3.5)
    list_timeout_ratio: float = 2.0
    max_age: timedelta = timedelta(milliseconds=1850)
    batch_delay_per_key: timedelta = timedelta(milliseconds=12)
    min_batch_delay: timedelta = timedelta(milliseconds=40)
    max_batch_delay: timedelta = timedelta(seconds=1)
    max_reader_batch_delay: timedelta = timedelta(milliseconds=300)
    backoff: BackoffSettings = BackoffSettings()

    @classmethod
    def from_budget(cls, budget: ApplyBudget) -> "WatchCacheSettings":
        """Return the settings that keep the operator's bound."""
        return cls(
            watch_timeout=budget.watch_wait,
            small_fleet_watch_timeout=budget.small_fleet_watch_wait,
            response_timeout=budget.store_response,
            max_age=budget.max_view_age,
            max_batch_delay=budget.follower_batch,
            max_reader_batch_delay=budget.reader_batch,
        )


@dataclass(frozen=True)
class ListKeys:
    """A call that lists all keys of a prefix."""

    prefix: str = ""


@dataclass(frozen=True)
class WatchKeys:
    """A call that waits for changes of a prefix after a revision.

    :param wait: how long the store, or a reader, waits for a change; zero if it is to
        answer at once.
    """

    revision: StoreRevision
    wait: timedelta
    prefix: str = ""


ReadCall = ListKeys | WatchKeys


class WatchCache:
    """A local copy of the store's keys under a prefix.

    :param on_item: called with each new, changed or deleted key.
    :param on_listing: called after each listing.
    :param on_older_item: called with a peer's key that is not newer than the known one.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        settings: WatchCacheSettings,
        on_item: Callable[[Item], None],
        on_listing: Callable[[], None],
        on_older_item: Callable[[Item], None],
        rng: random.Random,
    ):
        self.settings = settings
        self.on_item = on_item
        self.on_listing = on_listing
        self.on_older_item = on_older_item
        self.backoff = Backoff(settings.backoff, rng)
        self.revisions: dict[str, StoreRevision] = {}
        self.values: dict[str, bytes] = {}
        # Changes applied so far, which tells a copy of the keys from an older one.
        self.change_count = 0
        self.prefix = ""
        self.max_batch_delay = settings.max_batch_delay
        self.watch_timeout = settings.watch_timeout
        self.revision = NO_REVISION
        self.first_revision = NO_REVISION
        self.is_listed = False
        self.read_at = 0.0
        # When the store last answered with all changes until then, to this node or to
        # the reader that it asked.
        self.confirmed_at = float("-inf")
        self.pending: ReadCall | None = None
        self.started_at = 0.0
        # Whether the source of the next call has yet to show that it answers.
        self.is_unproven = False

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds."""
        if self.pending is not None:
            return float("inf")
        return max(self.read_at, self.backoff.retry_at)

    @property
    def has_listed(self) -> bool:
        """Return whether the keys were listed at least once."""
        return self.first_revision != NO_REVISION

    def tick(self, now: float) -> ReadCall | None:
        """Return the call to make now, if any."""
        if now < self.wake_at:
            return None
        self.started_at = now
        if self.is_listed:
            wait = timedelta() if self.is_unproven else self.watch_timeout
            self.pending = WatchKeys(self.revision, wait, self.prefix)
        else:
            self.pending = ListKeys(self.prefix)
        return self.pending

    def overdue_at(self, received_at: float) -> float:
        """Return when the pending call of the store counts as unresponsive.

        :param received_at: when bytes of its response last arrived, in monotonic
            seconds.
        """
        if self.pending is None:
            return float("inf")
        settings = self.settings
        doublings = min(self.backoff.failures, MAX_DOUBLINGS)
        allowed = min(
            settings.response_timeout * 2**doublings, settings.max_response_timeout
        )
        if isinstance(self.pending, WatchKeys):
            allowed += self.pending.wait
        else:
            allowed *= settings.list_timeout_ratio
        stalled_at = received_at + settings.max_age.total_seconds()
        return max(self.started_at + allowed.total_seconds(), stalled_at)

    def set_small_fleet(self, is_small: bool) -> None:
        """Set whether all nodes watch the store, so that none waits for another."""
        settings = self.settings
        self.watch_timeout = (
            settings.small_fleet_watch_timeout if is_small else settings.watch_timeout
        )

    def set_prefix(self, prefix: str, is_reader: bool = False) -> bool:
        """Set the prefix of the cached keys; return whether it changed.

        Keys outside the prefix are dropped. Unless the prefix lies within the previous
        one, its keys are listed again.

        :param is_reader: whether this node is a reader, whose changes others wait for.
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

    @property
    def stale_at(self) -> float:
        """Return until when the keys are passed on unless the store confirms them."""
        return self.confirmed_at + self.settings.max_age.total_seconds()

    def count_age(self, now: float) -> float:
        """Return for how many seconds the store has not confirmed these keys."""
        return min(now - self.confirmed_at, MAX_AGE_SECONDS)

    def delay_first_list(self, seconds: float, now: float) -> None:
        """List the keys only after a while, when the other nodes' are there too.

        :param now: seconds of the monotonic clock.
        """
        self.read_at = now + seconds

    def restart_watch(self) -> None:
        """Start a new watch at the next tick, from the last known revision.

        The pending call may be on an unresponsive connection; whoever made it has to
        cancel it.
        """
        self.pending = None
        self.is_unproven = True
        self.read_at = 0.0
        self.backoff.retry_at = 0.0

    def handle_overdue(self, now: float) -> None:
        """Handle a pending call that was cancelled because no answer came in time."""
        self.handle_failure(ResultCode.PLATFORM_ANSWER_LOST, now)
        self.read_at = now
        self.backoff.retry_at = now

    def handle_listing(self, listing: Listing, now: float, age: float = 0.0) -> None:
        """Apply a listing; cached keys that it lacks count as deleted.

        :param age: seconds since the store answered, if another node did the listing.
        """
        self._record_reply(now - age)
        self.is_listed = True
        if listing.revision.era != self.first_revision.era or not self.has_listed:
            self.first_revision = listing.revision
        self.revision = listing.revision
        found = {item.key for item in listing.items}
        for key in [key for key in self.values if key not in found]:
            self._apply(Item(key, None, listing.revision))
        for item in listing.items:
            self._apply(item)
        self.on_listing()

    def handle_changes(
        self,
        changes: Changes,
        now: float,
        is_from_store: bool = True,
        age: float = 0.0,
    ) -> None:
        """Apply the changes that a watch returned.

        :param is_from_store: whether they come from the store, whose calls are priced,
            rather than from a reader.
        :param age: seconds since the store answered the reader.
        """
        call = self.pending
        self._record_reply(now - age)
        self.revision = max(self.revision, changes.revision)
        delay = self._batch_delay() if is_from_store else self.settings.min_batch_delay
        has_waited = now - self.started_at >= call.wait.total_seconds()
        if call.wait and not (has_waited and not changes.items):
            self.read_at = now + delay.total_seconds()
        newest = {item.key: item for item in changes.items}
        for item in newest.values():
            self._apply(item)

    def handle_failure(self, code: ResultCode, now: float) -> None:
        """Handle the failure of the pending call."""
        self.pending = None
        self.is_unproven = True
        if code is ResultCode.PLATFORM_HISTORY_GONE:
            self.is_listed = False
            return
        self.backoff.record_failure(now)

    def _batch_delay(self) -> timedelta:
        settings = self.settings
        delay = settings.batch_delay_per_key * len(self.values)
        return min(max(delay, settings.min_batch_delay), self.max_batch_delay)

    def latest_revision(self, prefix: str) -> StoreRevision:
        """Return the revision of the last known change under a prefix."""
        return max(
            (rev for key, rev in self.revisions.items() if key.startswith(prefix)),
            default=NO_REVISION,
        )

    def list_revisions(self, prefix: str) -> dict[str, StoreRevision]:
        """Return the revisions of the existing keys of a prefix, by key."""
        return {
            key: self.revisions[key] for key in self.values if key.startswith(prefix)
        }

    def list_changes_after(self, revision: StoreRevision, prefix: str) -> list[Item]:
        """Return the keys of a prefix that changed after a revision.

        Deletions are included from ``first_revision`` on, the first listing's revision.
        """
        return [
            Item(key, self.values.get(key), changed)
            for key, changed in self.revisions.items()
            if changed > revision and key.startswith(prefix)
        ]

    def _record_reply(self, confirmed_at: float) -> None:
        self.pending = None
        self.is_unproven = False
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.backoff.record_success()

    def handle_updates(self, items: list[Item]) -> None:
        """Apply keys that a peer sent, where they are newer."""
        for item in items:
            if not self._apply(item):
                self.on_older_item(item)

    def _apply(self, item: Item) -> bool:
        """Store a key and report it, unless its known revision is at least as new.

        The revision of a deleted key is kept, so that a late update cannot restore
        the key.

        :returns: whether the key was stored.
        """
        if item.revision <= self.revisions.get(item.key, NO_REVISION):
            return False
        self.revisions[item.key] = item.revision
        self.change_count += 1
        if item.value is None:
            self.values.pop(item.key, None)
        else:
            self.values[item.key] = item.value
        self.on_item(item)
        return True
