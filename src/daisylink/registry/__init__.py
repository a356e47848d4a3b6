"""Members and configuration through a store of keys with leases and watches.

The decision objects do no I/O: :class:`Registration` keeps the own record in the store,
:class:`Follower` keeps a copy of the store's keys, :class:`Members` says which nodes
serve.
"""

from daisylink.registry._follower import (
    FollowCall,
    Follower,
    FollowerSettings,
    ListKeys,
    WatchKeys,
)
from daisylink.registry._members import Members, MemberSettings
from daisylink.registry._registration import (
    EndLease,
    GrantLease,
    Registration,
    RegistrationCall,
    RegistrationSettings,
    RenewLease,
    WriteRecord,
)
from daisylink.registry._store import (
    Changes,
    Item,
    Lease,
    LeaseStore,
    Listing,
)

__all__ = [
    "Changes",
    "EndLease",
    "FollowCall",
    "Follower",
    "FollowerSettings",
    "GrantLease",
    "Item",
    "Lease",
    "LeaseStore",
    "ListKeys",
    "Listing",
    "MemberSettings",
    "Members",
    "Registration",
    "RegistrationCall",
    "RegistrationSettings",
    "RenewLease",
    "WatchKeys",
    "WriteRecord",
]
