"""Keeps the departures of the local server in the store, without I/O.

A departure must not be acknowledged before the store holds it: the process may be
killed at any moment, and the next one at this address has no other memory. The key has
no lease, as the store may end leases, so :class:`DepartureSweeper` deletes the keys of
nodes that are gone.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from daisylink.registry._backoff import Backoff, BackoffSettings
from daisylink.registry._store import NO_REVISION, Item, StoreRevision
from daisylink.serving import ServerStart


def encode_departures(starts: Iterable[ServerStart]) -> bytes:
    """Return the value of a key that holds departures."""
    return msgspec.msgpack.encode(tuple(starts))


def decode_departures(value: bytes | None) -> tuple[ServerStart, ...]:
    """Return the departures that a key holds, none if it does not exist.

    :raises msgspec.MsgspecError: if they cannot be decoded.
    """
    if value is None:
        return ()
    return msgspec.msgpack.decode(value, type=tuple[ServerStart, ...])


def list_uncovered(
    starts: Iterable[ServerStart], known: Iterable[ServerStart]
) -> tuple[ServerStart, ...]:
    """Return the starts that known departures do not include.

    The departure of a start includes those of earlier starts of the same name.
    """
    last_born = dict(sorted(known))
    return tuple(
        sorted(
            start for start in starts if start.born > last_born.get(start.instance, -1)
        )
    )


@dataclass(frozen=True)
class WriteDepartures:
    """A call that writes the departures if their key is unchanged.

    :param revision: last known revision of the key, with number 0 if it does not exist.
    """

    value: bytes
    departures: tuple[ServerStart, ...]
    revision: StoreRevision


class DepartureLog:
    """The departures that this node must not forget, and those that the store holds.

    :param rng: source of jitter.
    """

    def __init__(self, settings: BackoffSettings, rng: random.Random):
        self.backoff = Backoff(settings, rng)
        self.departures: tuple[ServerStart, ...] = ()
        self.stored: frozenset[ServerStart] = frozenset()
        self.revision = NO_REVISION
        self.is_listed = False
        self.pending: WriteDepartures | None = None

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds."""
        if self.pending is not None or self.is_complete or not self.is_listed:
            return float("inf")
        return self.backoff.retry_at

    @property
    def is_complete(self) -> bool:
        """Return whether the store holds all departures."""
        return self.stored.issuperset(self.departures)

    def set_departures(self, departures: Iterable[ServerStart]) -> None:
        """Set the departures that the store should hold."""
        self.departures = tuple(departures)

    def is_stored(self, start: ServerStart) -> bool:
        """Return whether the store holds a departure."""
        return start in self.stored

    def tick(self, now: float) -> WriteDepartures | None:
        """Return the call to make now, if any."""
        if now < self.wake_at:
            return None
        value = encode_departures(self.departures)
        self.pending = WriteDepartures(value, self.departures, self.revision)
        return self.pending

    def handle_success(self, revision: StoreRevision) -> None:
        """Handle the success of the pending call.

        :param revision: the key's new revision.
        """
        call, self.pending = self.pending, None
        self.backoff.record_success()
        self._record_stored(call.departures, revision)

    def handle_failure(self, now: float) -> None:
        """Handle the failure of the pending call, which is repeated.

        After a conflict, or if an earlier call took effect without a response, the
        key's new content arrives like any other change.
        """
        self.pending = None
        self.backoff.record_failure(now)

    def begin_era(self) -> None:
        """Doubt what the store holds until its keys are listed again."""
        self.stored = frozenset()
        self.is_listed = False

    def handle_listing(self, revision: StoreRevision, has_key: bool) -> None:
        """Handle a listing of the store's keys, after :meth:`handle_item`.

        :param revision: the store's revision at the listing.
        :param has_key: whether it has the key of the departures.
        """
        self.is_listed = True
        if not has_key and revision >= self.revision:
            self._record_stored((), revision._replace(number=0))

    def handle_item(self, item: Item) -> tuple[ServerStart, ...]:
        """Handle the key as the store holds it; return the departures in it.

        :raises msgspec.MsgspecError: if it cannot be decoded.
        """
        if item.value is None:
            self._record_stored((), item.revision._replace(number=0))
            return ()
        found = decode_departures(item.value)
        self._record_stored(found, item.revision)
        return found

    def _record_stored(
        self, found: Iterable[ServerStart], revision: StoreRevision
    ) -> None:
        self.stored = frozenset(found)
        self.revision = revision
