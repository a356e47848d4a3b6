"""Performs the store calls that the decision objects request."""

from daisylink.process._events import (
    AcquireKey,
    CompareAndSwapKey,
    GrantLease,
    ReadKey,
    RenewLease,
    RevokeLease,
    StoreCall,
    WatchKey,
)
from daisylink.store import Entry, KeyValueStore


async def perform_call(store: KeyValueStore, call: StoreCall) -> Entry | str | bool:
    """Perform one call.

    :returns: an entry, a lease identifier, or whether the call took effect.
    :raises PlatformError: if the platform rejected the call, or its reply was lost.
    """
    match call:
        case ReadKey(key):
            return await store.get(key)
        case WatchKey(key, watch_index, wait):
            return await store.watch(key, watch_index, wait)
        case GrantLease(duration):
            return await store.grant_lease(duration)
        case RenewLease(lease_id):
            return await store.renew_lease(lease_id)
        case RevokeLease(lease_id):
            await store.revoke_lease(lease_id)
            return True
        case AcquireKey(key, value, lease_id):
            return await store.acquire(key, value, lease_id)
        case CompareAndSwapKey(key, value, index):
            return await store.put(key, value, index)
