"""Exchange of the store's keys with peers, for nodes that cannot reach the store."""

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine
from http import HTTPStatus
from typing import Any

from daisylink.errors import CallError
from daisylink.http_client import HttpClient, Transfer
from daisylink.http_server import WebRequest, WebResponse
from daisylink.logs import get_logger
from daisylink.registry import (
    NO_REVISION,
    EraTracker,
    LostDepartures,
    MemberTable,
    WatchCache,
    encode_departures,
)
from daisylink.sidecar._change_feed import (
    CHANGES_PATH,
    ChangeFeed,
    KeyUpdates,
    format_revision,
    parse_count,
    parse_revision,
)
from daisylink.sidecar._compressed_version import COMPRESSED_VERSION_KEY
from daisylink.sidecar._fleet_state import FleetState, departure_key

# A peer's answer may wait for other traffic of its link.
CALL_SECONDS = 2.0
STALL_SECONDS = 1.0
INTERVAL_SECONDS = 0.5
# Peers asked at the same time, as one that does not answer must not hold up the rest.
MAX_FETCHES = 3
UPDATES_PATH = "/v1/news"
MEMBERS_PATH = "/v1/members"

log = get_logger("peers")


class PeerExchange:
    """Fetches keys from peers while the store is unavailable, and serves keys to them.

    :param fleet_state: has the version in force.
    :param era_tracker: learns the era of the store from peers.
    :param change_feed: serves peers that do not watch the store.
    :param lost_departures: departures that peers cannot read from the store.
    :param now: returns the monotonic time in seconds.
    :param spawn: starts a task.
    :param on_updates: called after each fetch, also after a failed one.
    """

    def __init__(
        self,
        watch_cache: WatchCache,
        members: MemberTable,
        fleet_state: FleetState,
        era_tracker: EraTracker,
        change_feed: ChangeFeed,
        lost_departures: LostDepartures,
        rng: random.Random,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
        on_updates: Callable[[], None],
    ):
        self.watch_cache = watch_cache
        self.members = members
        self.fleet_state = fleet_state
        self.era_tracker = era_tracker
        self.change_feed = change_feed
        self.lost_departures = lost_departures
        self.rng = rng
        self.now = now
        self.spawn = spawn
        self.on_updates = on_updates
        self.revision = NO_REVISION
        self.next_fetch_at = float("inf")
        # When a peer with a version in force last responded.
        self.answered_at = float("-inf")
        # When a peer last responded that knew the fleet in an earlier era.
        self.witnessed_at = float("-inf")
        self.transfers: dict[str, Transfer] = {}

    def tick(
        self, now: float, needs_peers: bool, witnesses: Collection[str] = ()
    ) -> None:
        """Fetch updates if a fetch is due.

        :param needs_peers: whether the store is unavailable, or may be behind the
            fleet.
        :param witnesses: nodes to ask first, if any.
        """
        if not needs_peers:
            self.next_fetch_at = float("inf")
        elif self.next_fetch_at == float("inf"):
            self.next_fetch_at = now
        if now >= self.next_fetch_at:
            self.next_fetch_at = now + INTERVAL_SECONDS
            self.fetch_updates(witnesses)

    def handle_request(
        self, request: WebRequest
    ) -> WebResponse | asyncio.Future[WebResponse]:
        """Handle a request of a peer, or of an operator for the members."""
        if request.path == MEMBERS_PATH:
            return WebResponse.from_object(list(self.members.records.values()))
        if request.path == CHANGES_PATH:
            return self.change_feed.handle_request(request)
        if request.path != UPDATES_PATH:
            return WebResponse(HTTPStatus.NOT_FOUND)
        after = parse_revision(request.query.get("after", ""))
        known = parse_count(request.query.get("version", "")) or 0
        watch_cache = self.watch_cache
        version_keys = (self.fleet_state.config_key, COMPRESSED_VERSION_KEY)
        items = [
            tuple(item)
            for item in watch_cache.list_changes_after(after, prefix="")
            if item.key not in version_keys
        ]
        node = request.query.get("node", "")
        updates = KeyUpdates(
            max(watch_cache.revision, self.revision),
            items
            + self._list_missing_version(known)
            + self._list_lost_departures(node, after.era),
            version=self.fleet_state.version_number,
            first_era=self.lost_departures.first_era,
        )
        return WebResponse(body=updates.to_bytes())

    def _list_missing_version(self, known: int) -> list[tuple]:
        """Return the version in force, compressed, for a peer that lacks it.

        :param known: number of the version that the peer has in force.
        """
        if self.fleet_state.version_number <= known:
            return []
        value = self.fleet_state.compress_version()
        return [(COMPRESSED_VERSION_KEY, value, NO_REVISION)]

    def _list_lost_departures(self, node: str, era: int) -> list[tuple]:
        """Return the departures of a peer that it cannot have read from the store.

        :param node: name of the peer, "" if it is of an earlier release.
        :param era: the newest era that the peer knows of.
        """
        starts = self.lost_departures.list_unknown(node, era)
        if not starts:
            return []
        return [(departure_key(node), encode_departures(starts), NO_REVISION)]

    def fetch_from_host(self, host: str) -> None:
        """Fetch the keys that this node lacks from a peer that has them.

        :param host: IP address of the peer.
        """
        nodes = self.members.records
        self.fetch_updates([node for node in nodes if node.rpartition(":")[0] == host])

    def fetch_updates(self, preferred: Collection[str] = ()) -> None:
        """Fetch the keys that this node lacks from a peer.

        No other peer is asked while one's answer arrives.

        :param preferred: nodes of which one is asked if there is one; any other may
            lack the keys too.
        """
        asked = self.transfers
        if len(asked) >= MAX_FETCHES or any(t.received_bytes for t in asked.values()):
            return
        own_node = self.members.own_record.node
        peers = [
            node
            for node in self.members.records
            if node != own_node and node not in asked
        ]
        if not peers:
            return
        peer = self.rng.choice([node for node in peers if node in preferred] or peers)
        asked[peer] = Transfer(self.now(), STALL_SECONDS)
        self.spawn(self._fetch(peer, asked[peer]))

    async def _fetch(self, peer: str, transfer: Transfer) -> None:
        client = HttpClient(peer)
        known = self.watch_cache.revision if self.watch_cache.is_listed else NO_REVISION
        after = format_revision(max(self.revision, known))
        number = self.fleet_state.version_number
        own_node = self.members.own_record.node
        target = f"{UPDATES_PATH}?after={after}&version={number}&node={own_node}"
        bound_log = log.bind(peer=peer, in_force=number)
        try:
            response = await client.call("GET", target, CALL_SECONDS, transfer=transfer)
            updates = KeyUpdates.from_bytes(response.body)
        except CallError as error:
            bound_log.bind(received_bytes=transfer.received_bytes).info(
                "no updates from peer: {}", error
            )
        else:
            if updates.version > number:
                bound_log.bind(version=updates.version).info("peer has a newer version")
            if updates.version:
                self.answered_at = self.now()
            self.era_tracker.learn(updates.revision.era)
            self.revision = max(self.revision, updates.revision)
            self.watch_cache.handle_updates(updates.list_items())
            if 0 < updates.first_era < self.era_tracker.current:
                self.witnessed_at = self.now()
        finally:
            client.close()
            del self.transfers[peer]
        self.on_updates()
