"""Makes the store calls that the decision objects request."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from daisylink.errors import CallError, PlatformError, ResultCode
from daisylink.http_client import Transfer
from daisylink.logs import get_logger
from daisylink.registry import (
    ApplyBudget,
    Changes,
    EndLease,
    GrantLease,
    LeaseStore,
    Listing,
    ListKeys,
    Publish,
    Publisher,
    ReadCall,
    Registration,
    RegistrationCall,
    RenewLease,
    SourceSelector,
    WatchCache,
    WatchKeys,
    WriteRecord,
)
from daisylink.sidecar._change_feed import ChangeFeedClient
from daisylink.sidecar._compressed_version import (
    COMPRESSED_VERSION_KEY,
    CompressedVersion,
)
from daisylink.sidecar._fleet_state import member_key
from daisylink.sidecar._store_log import log_failure, log_unexpected

# Minimum time between restarts of the watch.
REWATCH_INTERVAL_SECONDS = 2.0
# A call that received bytes within this time is not unresponsive: on a narrow link a
# large configuration takes long, and would never arrive if it were begun anew.
RECEIVING_SECONDS = 1.0
MS_PER_SECOND = 1000
# Source of a version in the logs; another one is the name of a reader.
STORE = "store"
# What an error that no call should raise counts as.
UNEXPECTED = ResultCode.PLATFORM_UNAVAILABLE

log = get_logger("store")


class PostponedRestart(NamedTuple):
    """A restart of the watch that came too soon after another, or while it receives.

    :param at: when it is due, in monotonic seconds.
    """

    at: float
    reason: str


class StoreDriver:
    """Makes store calls, one at a time for each decision object.

    :param config_key: store key of the configuration.
    :param budget: how long readers may take.
    :param node: name of this node.
    :param now: returns the monotonic time in seconds.
    :param spawn: starts a task.
    :param on_call_done: called after each call, also after a failed one.
    """

    def __init__(
        self,
        store: LeaseStore,
        config_key: str,
        budget: ApplyBudget,
        registration: Registration,
        watch_cache: WatchCache,
        publisher: Publisher,
        source_selector: SourceSelector,
        node: str,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
        on_call_done: Callable[[], None],
    ):
        self.store = store
        self.config_key = config_key
        self.registration = registration
        self.watch_cache = watch_cache
        self.publisher = publisher
        self.source_selector = source_selector
        self.change_feed_client = ChangeFeedClient(budget)
        self.node = node
        self.now = now
        self.spawn = spawn
        self.on_call_done = on_call_done
        self.watch_task: asyncio.Task | None = None
        # Where the pending read comes from: the store or a reader.
        self.read_source: LeaseStore | ChangeFeedClient = store
        self.watch_restarted_at = float("-inf")
        self.postponed: PostponedRestart | None = None

    def tick(self, now: float, rank: int | None) -> None:
        """Start the calls that are due, and give up those that are overdue.

        :param rank: rank among the readers, None if this node is not a reader.
        """
        if self.postponed is not None and now >= self.postponed.at:
            restart, self.postponed = self.postponed, None
            self.restart_watch(restart.reason)
        self.end_overdue_read(now)
        publish = self.publisher.tick(rank, now)
        if publish is not None:
            self.spawn(self._publish(publish))
        call = self.registration.tick(now)
        if call is not None:
            self.spawn(self._register(call))
        read = self.watch_cache.tick(now)
        if read is not None:
            self.watch_task = self.spawn(self._read(read))

    def restart_watch(self, reason: str, is_urgent: bool = False) -> None:
        """Cancel the pending call, which may be unresponsive, and start a new one.

        A restart that comes too soon is postponed, and not needed any more if the call
        is answered by then.

        :param is_urgent: whether the pending call watches keys that are no longer
            wanted, so that it is cancelled whatever it has received.
        """
        now = self.now()
        transfer = self._get_pending_transfer()
        if not is_urgent:
            allowed_at = self.watch_restarted_at + REWATCH_INTERVAL_SECONDS
            if transfer:
                allowed_at = max(allowed_at, transfer.received_at + RECEIVING_SECONDS)
            if now < allowed_at:
                self._postpone_restart(PostponedRestart(allowed_at, reason))
                return
        self.watch_restarted_at = now
        self._cancel_read(reason)
        self.watch_cache.restart_watch()

    def _postpone_restart(self, restart: PostponedRestart) -> None:
        if self.postponed is not None:
            return
        self.postponed = restart
        transfer = self._get_pending_transfer()
        log.bind(
            reason=restart.reason,
            ms=_count_ms(restart.at - self.now()),
            received_bytes=transfer.received_bytes if transfer else 0,
        ).info("restart of the watch postponed")

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due for the pending read."""
        if self.postponed is None:
            return self.overdue_at
        return min(self.postponed.at, self.overdue_at)

    @property
    def overdue_at(self) -> float:
        """Return when the pending read of the store is due to be given up."""
        if self.read_source is not self.store:
            return float("inf")
        transfer = self._get_pending_transfer()
        received_at = transfer.received_at if transfer else float("-inf")
        return self.watch_cache.overdue_at(received_at)

    def end_overdue_read(self, now: float) -> None:
        """Give up a read of the store that nothing has come of in time."""
        if now < self.overdue_at:
            return
        self._cancel_read("no answer in time")
        self.watch_cache.handle_overdue(now)

    def _cancel_read(self, reason: str) -> None:
        transfer = self._get_pending_transfer()
        log.bind(
            reason=reason,
            revision=self.watch_cache.revision,
            call=type(self.watch_cache.pending).__name__,
            ms=_count_ms(self.now() - transfer.started_at) if transfer else 0,
            received_bytes=transfer.received_bytes if transfer else 0,
        ).info("watch restarted")
        self.postponed = None
        if self.watch_task is not None:
            self.watch_task.cancel()

    def end_outdated_watch(self) -> None:
        """Cancel a watch of the store that was begun in an earlier era.

        It may hear nothing for as long as it waits. A reader's long poll is short.
        """
        call = self.watch_cache.pending
        if not isinstance(call, WatchKeys) or self._choose_reader(call) is not None:
            return
        if call.revision.era < self.store.era_tracker.current:
            self.restart_watch("the store's era rose", is_urgent=True)
            self.on_call_done()

    def _get_pending_transfer(self) -> Transfer | None:
        """Return what has arrived of the pending read, None without one."""
        if self.watch_cache.pending is None:
            return None
        return self.read_source.transfer

    def _choose_reader(self, call: WatchKeys) -> str | None:
        """Return the reader to ask, None for the store."""
        # Readers serve only the fleet's own keys.
        return self.source_selector.choose(self.now()) if call.prefix else None

    async def _register(self, call: RegistrationCall) -> None:
        had_failed = self.registration.backoff.failures > 0
        try:
            result = await self._send(call)
        except PlatformError as error:
            log_failure(call, error, had_failed)
            self.registration.handle_failure(error.code, self.now())
        except Exception:
            log_unexpected(call)
            self.registration.handle_failure(UNEXPECTED, self.now())
        else:
            self.registration.handle_result(result, self.now())
            if had_failed:
                log.bind(call=type(call).__name__).info("store answers again")
                self.restart_watch("store answers again")
        self.on_call_done()

    async def _send(self, call: RegistrationCall):
        match call:
            case GrantLease(ttl):
                return await self.store.grant_lease(ttl)
            case RenewLease(lease_id):
                return await self.store.renew_lease(lease_id)
            case WriteRecord(lease_id, value):
                return await self.store.write(member_key(self.node), value, lease_id)
            case EndLease(lease_id):
                return await self.store.end_lease(lease_id)

    async def _read(self, call: ReadCall) -> None:
        had_failed = self.watch_cache.backoff.failures > 0
        try:
            match call:
                case ListKeys(prefix):
                    self.read_source = self.store
                    listing = await self.store.list(prefix)
                    self._log_versions(listing, STORE)
                    self.watch_cache.handle_listing(listing, self.now())
                case WatchKeys():
                    await self._watch(call)
        except PlatformError as error:
            log_failure(call, error, had_failed)
            self.watch_cache.handle_failure(error.code, self.now())
        except Exception:
            log_unexpected(call)
            self.watch_cache.handle_failure(UNEXPECTED, self.now())
        else:
            self.postponed = None
            if had_failed:
                log.bind(call=type(call).__name__).info("store answers again")
        self.on_call_done()

    async def _watch(self, call: WatchKeys) -> None:
        reader = self._choose_reader(call)
        self.read_source = self.store if reader is None else self.change_feed_client
        if reader is None:
            changes = await self.store.watch(call.prefix, call.revision, call.wait)
            self._log_versions(changes, STORE)
            self.watch_cache.handle_changes(changes, self.now())
            return
        try:
            answer = await self.change_feed_client.watch(
                reader, call.revision, call.wait
            )
        except CallError as error:
            log.bind(reader=reader).info("reader does not answer: {}", error)
            self.source_selector.record_failure(reader, self.now())
            self.watch_cache.restart_watch()
            return
        updates, age = answer
        self.store.era_tracker.learn(updates.revision.era)
        self._log_versions(updates, reader, age)
        if isinstance(updates, Listing):
            self.watch_cache.handle_listing(updates, self.now(), age)
        else:
            self.watch_cache.handle_changes(
                updates, self.now(), is_from_store=False, age=age
            )

    def _log_versions(
        self, updates: Listing | Changes, source: str, age: float = 0.0
    ) -> None:
        """Log where a version was read from; the next lines tell what came of it.

        :param age: seconds since the store confirmed the updates to the source.
        """
        for item in updates.items:
            if item.key in (self.config_key, COMPRESSED_VERSION_KEY):
                log.bind(
                    key=item.key,
                    revision=item.revision,
                    source=source,
                    age_ms=_count_ms(age),
                ).info("version read")

    async def _publish(self, call: Publish) -> None:
        compressed_version = CompressedVersion.from_document(call.number, call.document)
        bound_log = log.bind(version=call.number, known=call.revision)
        try:
            value = compressed_version.to_bytes()
            revision = await self.store.compare_and_swap(
                COMPRESSED_VERSION_KEY, value, call.revision
            )
        except PlatformError as error:
            bound_log.bind(code=int(error.code)).info(
                "version not published: {}", error
            )
            if error.code is ResultCode.PLATFORM_CONFLICT:
                self.publisher.handle_conflict()
            else:
                self.publisher.handle_failure(self.now())
        except Exception:
            log_unexpected(call)
            self.publisher.handle_failure(self.now())
        else:
            bound_log.bind(revision=revision, bytes=len(value)).info(
                "version published"
            )
            self.publisher.handle_success(revision, self.now())
        self.on_call_done()


def _count_ms(seconds: float) -> int:
    return round(seconds * MS_PER_SECOND)
