"""Keeps what a sidecar knows of the fleet in step with the store and with its peers.

The decision objects of :mod:`daisylink.registry` say what is due: which keys to read
and from whom, what to write, which peer to ask. This module connects them.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from daisylink.logs import get_logger
from daisylink.registry import (
    ApplyBudget,
    DepartureLog,
    DepartureSweeper,
    DepartureSweeperSettings,
    Item,
    LostDepartures,
    LostDeparturesSettings,
    MemberTable,
    Publisher,
    PublisherSettings,
    ReaderRole,
    ReaderSettings,
    Registration,
    RegistrationSettings,
    SourceSelector,
    SourceSelectorSettings,
    StoreRevision,
    WatchCache,
    WatchCacheSettings,
)
from daisylink.serving import Strike
from daisylink.settings import SidecarSettings
from daisylink.sidecar._announcement_handler import AnnouncementHandler
from daisylink.sidecar._change_feed import ChangeFeed
from daisylink.sidecar._compressed_version import COMPRESSED_VERSION_KEY
from daisylink.sidecar._datagrams import Datagrams
from daisylink.sidecar._departure_driver import DepartureDriver
from daisylink.sidecar._era_recovery import EraRecovery
from daisylink.sidecar._fleet_state import (
    DEPARTURE_PREFIX,
    FLEET_PREFIX,
    FleetListeners,
    FleetState,
    departure_key,
    ignore_item,
    member_key,
)
from daisylink.sidecar._peer_exchange import PeerExchange
from daisylink.sidecar._peer_versions import PeerVersions
from daisylink.sidecar._platform_adapter import PlatformAdapter
from daisylink.sidecar._store_driver import StoreDriver
from daisylink.sidecar._witness_search import WitnessSearch
from daisylink.version import Version

# When all nodes start at once, each lists the store's keys so long after its start, so
# that it finds the others and need not watch them come one by one.
FIRST_LIST_SECONDS = (1.2, 1.8)
MS_PER_SECOND = 1000

log = get_logger("sidecar")


class SyncListeners(NamedTuple):
    """Who is told of changes.

    :param on_version: called with each version that comes into force.
    :param on_members: called after members have changed.
    :param on_strikes: called with each other node whose record was read and the strikes
        that the record lists.
    :param on_member_removed: called with each node that is no longer a member.
    :param on_era: called when this node's record has to state another era.
    :param on_due: called when :meth:`FleetSync.tick` may be due.
    :param on_fleet_size: called with the key of the fleet's size.
    :param on_rollout_item: called with the keys of rollouts.
    """

    on_version: Callable[[Version], None]
    on_members: Callable[[], None]
    on_strikes: Callable[[str, tuple[Strike, ...]], None]
    on_member_removed: Callable[[str], None]
    on_era: Callable[[], None]
    on_due: Callable[[], None]
    on_fleet_size: Callable[[Item], None] = lambda _item: None
    on_rollout_item: Callable[[Item], None] = ignore_item


class FleetSync:
    """The members and the version in force, as the store and the peers tell them.

    :param members: the known members.
    :param datagrams: tells other nodes of departures.
    :param announcement_handler: learns which departures the store holds.
    :param rng: source of jitter and of random choices.
    :param now: returns the monotonic time in seconds.
    :param spawn: starts a task.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        platform_adapter: PlatformAdapter,
        members: MemberTable,
        departure_log: DepartureLog,
        datagrams: Datagrams,
        announcement_handler: AnnouncementHandler,
        listeners: SyncListeners,
        rng: random.Random,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
    ):
        self.members = members
        self.announcement_handler = announcement_handler
        self.listeners = listeners
        self.now = now
        self.loop = asyncio.get_running_loop()
        self.is_stopping = False
        node = members.own_record.node
        budget = ApplyBudget(settings.apply_within)
        self.publisher = Publisher(PublisherSettings.from_budget(budget))
        self.era_tracker = platform_adapter.store.era_tracker
        self.era_tracker.on_rise = self._handle_era
        self.lost_departures = LostDepartures(
            LostDeparturesSettings(), node, members.list_current
        )
        self.witness_search = WitnessSearch(
            announcement_handler, self.lost_departures, node
        )
        self.departure_driver = DepartureDriver(
            platform_adapter.store,
            departure_log,
            DepartureSweeper(
                DepartureSweeperSettings(), members, self._list_departures
            ),
            self.lost_departures,
            datagrams,
            node,
            now,
            spawn,
            listeners.on_due,
        )
        self.fleet_state = FleetState(
            members,
            platform_adapter.config_key,
            platform_adapter.decode_configuration,
            self.publisher,
            self.era_tracker,
            now,
            FleetListeners(
                listeners.on_version,
                listeners.on_members,
                listeners.on_strikes,
                listeners.on_member_removed,
                announcement_handler.handle_stored_departures,
                announcement_handler.handle_told_departures,
                self.departure_driver.handle_item,
                listeners.on_fleet_size,
                listeners.on_rollout_item,
            ),
        )
        ttl = max(settings.min_lease_ttl, RegistrationSettings().ttl)
        self.registration = Registration(RegistrationSettings(ttl=ttl), rng)
        self.watch_cache = WatchCache(
            WatchCacheSettings.from_budget(budget),
            self.fleet_state.handle_item,
            self._handle_listing,
            self.fleet_state.handle_older_item,
            rng,
        )
        if settings.is_first_start:
            delay = rng.uniform(*FIRST_LIST_SECONDS)
            self.watch_cache.delay_first_list(delay, now())
        self.era_recovery = EraRecovery(
            self.era_tracker,
            self.registration,
            departure_log,
            members,
            settings.store_writes_per_s,
            now,
        )
        self.source_selector = SourceSelector(
            SourceSelectorSettings(), node, settings.zone
        )
        self.role = ReaderRole(
            ReaderSettings(), members, self.source_selector, FLEET_PREFIX
        )
        self.store_driver = StoreDriver(
            platform_adapter.store,
            platform_adapter.config_key,
            budget,
            self.registration,
            self.watch_cache,
            self.publisher,
            self.source_selector,
            node,
            now,
            spawn,
            listeners.on_due,
        )
        self.change_feed = ChangeFeed(
            self.watch_cache, FLEET_PREFIX, lambda: self.can_serve_feed, now
        )
        self.peer_exchange = PeerExchange(
            self.watch_cache,
            members,
            self.fleet_state,
            self.era_tracker,
            self.change_feed,
            self.lost_departures,
            rng,
            now,
            spawn,
            listeners.on_due,
        )
        self.peer_versions = PeerVersions(
            self.loop, lambda: self.fleet_state.version_number, self._get_missed_version
        )

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due, in monotonic seconds."""
        return min(
            self.registration.wake_at,
            self.watch_cache.wake_at,
            self.store_driver.wake_at,
            self.lost_departures.wake_at,
            self.change_feed.wake_at,
            self.era_recovery.wake_at,
            self.peer_exchange.next_fetch_at,
            self.publisher.wake_at(self.role.publish_rank),
        )

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the last calls to the store failed."""
        return bool(
            self.watch_cache.backoff.failures or self.registration.backoff.failures
        )

    @property
    def _needs_peers(self) -> bool:
        """Return whether peers may know what this node cannot read from the store."""
        return (
            self.is_store_unavailable
            or self.fleet_state.is_deferring
            or self.witness_search.is_active
        )

    @property
    def can_serve_feed(self) -> bool:
        """Return whether other nodes may get key changes from this one."""
        if self.peer_versions.is_behind or self.is_stopping:
            return False
        return self.role.is_reader and self.now() < self.watch_cache.stale_at

    def tick(self, now: float) -> None:
        """Do what is due: drop members, select readers, call the store and peers."""
        self.fleet_state.tick(now)
        self._continue_recovery(now)
        self._check_own_record()
        self._update_rank()
        self._update_prefix(now)
        self.store_driver.tick(now, self.role.publish_rank)
        self.departure_driver.tick(now)
        witnesses = self.witness_search.list_witnesses()
        self.peer_exchange.tick(now, self._needs_peers, witnesses)
        self.change_feed.notify_waiters()

    def handle_peer_version(self, number: int, host: str = "") -> None:
        """Handle the number of the version in force at another node.

        :param host: IP address of that node.
        """
        self.peer_versions.handle_number(number, host)

    def _check_own_record(self) -> None:
        """Write this node's record again if the store holds something else."""
        stored = self.fleet_state.stored_own_record
        if stored is None or self.registration.pending is not None:
            return
        self.fleet_state.stored_own_record = None
        if self.registration.handle_stored_record(stored):
            log.bind(revision=stored.revision, is_missing=stored.value is None).info(
                "own record is not as written"
            )

    def _update_rank(self) -> None:
        """Select the readers again, once for all changes of a batch."""
        if not self.role.is_outdated:
            return
        previous = self.role.rank
        self.role.update_rank()
        if self.role.rank != previous:
            log.bind(
                rank=self.role.rank,
                previous=previous,
                members=len(self.members.records),
                expired=len(self.members.expired),
                lapse=self.members.is_lapse,
            ).info("reader rank changed")

    def _update_prefix(self, now: float) -> None:
        """Watch all keys on a reader, otherwise only those that the fleet writes."""
        was_listed = self.role.is_fleet_listed
        self.watch_cache.set_small_fleet(self.role.is_small_fleet)
        prefix = self.role.choose_prefix(self.fleet_state.version is not None, now)
        is_changed = self.watch_cache.set_prefix(
            prefix, is_reader=self.role.reads_configuration
        )
        if is_changed and was_listed:
            log.bind(
                prefix=prefix, rank=self.role.rank, standby=self.role.is_acting
            ).info("key prefix changed")
            self.store_driver.restart_watch("key prefix changed", is_urgent=True)

    def _handle_listing(self) -> None:
        if not self.fleet_state.has_listed and not self.era_tracker.current:
            log.info("the store states no era")
        self.role.handle_listing()
        if not self.role.is_reader:
            self.fleet_state.accept_compressed_versions()
        key = member_key(self.members.own_record.node)
        cache = self.watch_cache
        if key not in cache.values:
            self.registration.mark_unwritten()
        has_key = departure_key(self.members.own_record.node) in cache.values
        is_deferring = self.fleet_state.is_deferring
        self.announcement_handler.handle_listing(
            cache.revision, has_key, is_complete=not is_deferring
        )
        has_compressed = COMPRESSED_VERSION_KEY in cache.values
        self.fleet_state.handle_listing(cache.revision, has_compressed)
        self.lost_departures.handle_listing(cache.revision, self.now())
        if is_deferring:
            self.era_recovery.settle()

    def _handle_era(self, previous: int) -> None:
        """Write again what the store may have lost, and list its keys again.

        :param previous: the era before, 0 if this is the first one.
        """
        if previous:
            self.era_recovery.begin(previous)
            self.loop.call_soon(self.store_driver.end_outdated_watch)
        if self.registration.desired_record is not None:
            self.loop.call_soon(self.listeners.on_era)

    def _continue_recovery(self, now: float) -> None:
        has_settled = self.era_recovery.tick(now)
        if has_settled:
            self.listeners.on_members()
        has_answer = self.peer_exchange.answered_at >= self.era_recovery.began_at
        if self.fleet_state.is_deferring and (has_answer or has_settled):
            self.fleet_state.end_deferral()
        began_at = self.era_recovery.began_at
        self.witness_search.tick(now, began_at, self.peer_exchange.witnessed_at)

    def _list_departures(self) -> dict[str, StoreRevision]:
        """Return the revisions of all nodes' departures, by node."""
        revisions = self.watch_cache.list_revisions(DEPARTURE_PREFIX)
        return {
            key.removeprefix(DEPARTURE_PREFIX): revision
            for key, revision in revisions.items()
        }

    def _get_missed_version(self, is_first: bool) -> bool:
        """Get a version that peers have had for a while and this node lacks.

        The watch may be full of other keys, so a peer is asked beside it.

        :param is_first: whether this is the first attempt, which restarts the watch.
        :returns: whether to try again later.
        """
        if self.is_stopping:
            return False
        self.source_selector.avoid_readers(self.now())
        host = self.peer_versions.newest_host
        log.bind(
            version=self.peer_versions.missed_number,
            host=host,
            in_force=self.fleet_state.version_number,
            age_ms=round(self.watch_cache.count_age(self.now()) * MS_PER_SECOND),
        ).info("peers have had a newer version for a while")
        if is_first:
            self.store_driver.restart_watch("a peer has a newer version")
        self.peer_exchange.fetch_from_host(host)
        self.loop.call_soon(self.listeners.on_due)
        return True
