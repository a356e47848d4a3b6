"""Exchange of the store's keys with peers, for nodes that cannot reach the store."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

from daisylink.errors import CallError
from daisylink.http_client import HttpClient
from daisylink.http_server import WebRequest, WebResponse
from daisylink.logs import get_logger
from daisylink.registry import MemberTable, WatchCache
from daisylink.sidecar._change_feed import CHANGES_PATH, ChangeFeed, KeyUpdates

CALL_SECONDS = 0.5
INTERVAL_SECONDS = 0.5
UPDATES_PATH = "/v1/news"
MEMBERS_PATH = "/v1/members"

log = get_logger("peers")


class PeerExchange:
    """Fetches keys from peers while the store is unavailable, and serves keys to them.

    :param change_feed: serves peers that do not watch the store.
    :param spawn: starts a task.
    :param on_updates: called after each fetch, also after a failed one.
    """

    def __init__(
        self,
        watch_cache: WatchCache,
        members: MemberTable,
        change_feed: ChangeFeed,
        rng: random.Random,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
        on_updates: Callable[[], None],
    ):
        self.watch_cache = watch_cache
        self.members = members
        self.change_feed = change_feed
        self.rng = rng
        self.spawn = spawn
        self.on_updates = on_updates
        self.revision = 0
        self.next_fetch_at = float("inf")
        self.is_fetching = False

    def tick(self, now: float, is_store_unavailable: bool) -> None:
        """Fetch updates if the store is unavailable and a fetch is due."""
        if not is_store_unavailable:
            self.next_fetch_at = float("inf")
        elif self.next_fetch_at == float("inf"):
            self.next_fetch_at = now
        if now >= self.next_fetch_at:
            self.next_fetch_at = now + INTERVAL_SECONDS
            self.fetch_updates()

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
        text = request.query.get("after", "0")
        after = int(text) if text.isdigit() else 0
        watch_cache = self.watch_cache
        items = [
            tuple(item) for item in watch_cache.list_changes_after(after, prefix="")
        ]
        updates = KeyUpdates(max(watch_cache.revision, self.revision), items)
        return WebResponse(body=updates.to_bytes())

    def fetch_updates(self) -> None:
        """Fetch the keys that this node lacks from a random peer."""
        own_node = self.members.own_record.node
        peers = [node for node in self.members.records if node != own_node]
        if peers and not self.is_fetching:
            self.is_fetching = True
            self.spawn(self._fetch(self.rng.choice(peers)))

    async def _fetch(self, peer: str) -> None:
        client = HttpClient(peer)
        known = self.watch_cache.revision if self.watch_cache.is_listed else 0
        target = f"{UPDATES_PATH}?after={max(self.revision, known)}"
        try:
            response = await client.call("GET", target, CALL_SECONDS)
            updates = KeyUpdates.from_bytes(response.body)
        except CallError as error:
            log.bind(peer=peer).debug("no updates from peer: {}", error)
        else:
            self.revision = max(self.revision, updates.revision)
            self.watch_cache.handle_updates(updates.list_items())
        finally:
            client.close()
            self.is_fetching = False
        self.on_updates()
