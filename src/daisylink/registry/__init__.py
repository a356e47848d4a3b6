"""Membership and configuration through a key-value store with leases and watches.

The classes are decision objects, which do no I/O: :class:`Registration` keeps this
node's record in the store, :class:`WatchCache` keeps a local copy of the store's keys,
:class:`MemberTable` holds the nodes that serve, :class:`DepartureLog` keeps in the
store which starts of the local server have left, :class:`LostDepartures` which ones of
other nodes the store has lost, and :class:`Publisher` decides when a
version is published in compressed form for the nodes that are not readers.
"""

from daisylink.registry._apply_budget import ApplyBudget
from daisylink.registry._backoff import BackoffSettings
from daisylink.registry._departure_sweeper import (
    DeleteDepartures,
    DepartureSweeper,
    DepartureSweeperSettings,
)
from daisylink.registry._departures import (
    DepartureLog,
    WriteDepartures,
    decode_departures,
    encode_departures,
    list_uncovered,
)
from daisylink.registry._era import EraTracker
from daisylink.registry._lost_departures import (
    LostDepartures,
    LostDeparturesSettings,
    RestoreDepartures,
)
from daisylink.registry._members import MemberSettings, MemberTable
from daisylink.registry._readers import (
    Publish,
    Publisher,
    PublisherSettings,
    ReaderSettings,
    rank_readers,
    rank_standbys,
)
from daisylink.registry._registration import (
    EndLease,
    GrantLease,
    Registration,
    RegistrationCall,
    RegistrationSettings,
    RenewLease,
    WriteRecord,
)
from daisylink.registry._role import ReaderRole
from daisylink.registry._source_selector import SourceSelector, SourceSelectorSettings
from daisylink.registry._store import (
    NO_REVISION,
    Changes,
    Item,
    Lease,
    LeaseStore,
    Listing,
    Put,
    StoreRevision,
)
from daisylink.registry._watch_cache import (
    ListKeys,
    ReadCall,
    WatchCache,
    WatchCacheSettings,
    WatchKeys,
)

__all__ = [
    "NO_REVISION",
    "ApplyBudget",
    "BackoffSettings",
    "Changes",
    "DeleteDepartures",
    "DepartureLog",
    "DepartureSweeper",
    "DepartureSweeperSettings",
    "EndLease",
    "EraTracker",
    "GrantLease",
    "Item",
    "Lease",
    "LeaseStore",
    "ListKeys",
    "Listing",
    "LostDepartures",
    "LostDeparturesSettings",
    "MemberSettings",
    "MemberTable",
    "Publish",
    "Publisher",
    "PublisherSettings",
    "Put",
    "ReadCall",
    "ReaderRole",
    "ReaderSettings",
    "Registration",
    "RegistrationCall",
    "RegistrationSettings",
    "RenewLease",
    "RestoreDepartures",
    "SourceSelector",
    "SourceSelectorSettings",
    "StoreRevision",
    "WatchCache",
    "WatchCacheSettings",
    "WatchKeys",
    "WriteDepartures",
    "WriteRecord",
    "decode_departures",
    "encode_departures",
    "list_uncovered",
    "rank_readers",
    "rank_standbys",
]
