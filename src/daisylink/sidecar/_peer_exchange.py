"""News from peers: the store's keys, for a node that cannot reach the store."""

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
from daisylink.sidecar._change_feed import CHANGES_PATH, ChangeFeed, News

CALL_SECONDS = 0.5
INTERVAL_SECONDS = 0.5
NEWS_PATH = "/v1/news"
MEMBERS_PATH = "/v1/members"

log = get_logger("peers")


class PeerExchange:
    """Asks peers while the store does not answer, and answers theirs.

    :param feed: answers peers that do not watch the store.
    :param spawn: starts a task.
    :param on_news: told after each answer, and after each call without one.
    """

    def __init__(
        self,
        follower: WatchCache,
        members: MemberTable,
        feed: ChangeFeed,
        rng: random.Random,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
        on_news: Callable[[], None],
    ):
        self.follower = follower
        self.members = members
        self.feed = feed
        self.rng = rng
        self.spawn = spawn
        self.on_news = on_news
        self.revision = 0
        self.next_fetch_at = float("inf")
        self.is_asking = False

    def tick(self, now: float, is_store_away: bool) -> None:
        """Ask a peer if the store does not answer and it is time."""
        if not is_store_away:
            self.next_fetch_at = float("inf")
        elif self.next_fetch_at == float("inf"):
            self.next_fetch_at = now
        if now >= self.next_fetch_at:
            self.next_fetch_at = now + INTERVAL_SECONDS
            self.ask()

    def answer(self, request: WebRequest) -> WebResponse | asyncio.Future[WebResponse]:
        """Answer a peer, or an operator who asks for the members."""
        if request.path == MEMBERS_PATH:
            return WebResponse.from_object(list(self.members.records.values()))
        if request.path == CHANGES_PATH:
            return self.feed.answer(request)
        if request.path != NEWS_PATH:
            return WebResponse(HTTPStatus.NOT_FOUND)
        text = request.query.get("after", "0")
        after = int(text) if text.isdigit() else 0
        follower = self.follower
        items = [tuple(item) for item in follower.list_changes_after(after, prefix="")]
        news = News(max(follower.revision, self.revision), items)
        return WebResponse(body=news.to_bytes())

    def ask(self) -> None:
        """Ask a peer at random for the keys that this node lacks."""
        own = self.members.own_record.node
        peers = [node for node in self.members.records if node != own]
        if peers and not self.is_asking:
            self.is_asking = True
            self.spawn(self._fetch(self.rng.choice(peers)))

    async def _fetch(self, peer: str) -> None:
        client = HttpClient(peer)
        known = self.follower.revision if self.follower.is_listed else 0
        target = f"{NEWS_PATH}?after={max(self.revision, known)}"
        try:
            answer = await client.call("GET", target, CALL_SECONDS)
            news = News.from_bytes(answer.body)
        except CallError as error:
            log.bind(peer=peer).debug("no news from peer: {}", error)
        else:
            self.revision = max(self.revision, news.revision)
            self.follower.handle_updates(news.list_items())
        finally:
            client.close()
            self.is_asking = False
        self.on_news()
