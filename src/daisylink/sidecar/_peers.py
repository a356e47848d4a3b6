"""News from peers: the store's keys, for a node that cannot reach the store."""

import asyncio
import random
import zlib
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

import msgspec

from daisylink.errors import CallError
from daisylink.http_client import HttpClient
from daisylink.http_server import WebReply, WebRequest
from daisylink.logs import get_logger
from daisylink.registry import Follower, Item, Members

CALL_SECONDS = 0.5
INTERVAL_SECONDS = 0.5
NEWS_PATH = "/v1/news"
# A whole configuration, uncompressed, and the members of a large fleet.
MAX_NEWS_BYTES = 32 * 1024 * 1024
MEMBERS_PATH = "/v1/members"

log = get_logger("peers")


class News(msgspec.Struct, array_like=True):
    """What a node tells a peer, compressed on its way.

    :param revision: the store's revision up to which the keys are complete.
    :param items: key, value or None, and revision of each key that is newer.
    """

    revision: int
    items: list[tuple[str, bytes | None, int]]


class Peers:
    """Asks peers while the store does not answer, and answers theirs.

    :param spawn: starts a task.
    :param on_news: told after each answer, and after each call without one.
    """

    def __init__(
        self,
        follower: Follower,
        members: Members,
        rng: random.Random,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
        on_news: Callable[[], None],
    ):
        self.follower = follower
        self.members = members
        self.rng = rng
        self.spawn = spawn
        self.on_news = on_news
        self.revision = 0
        self.ask_at = float("inf")
        self.is_asking = False

    def tick(self, now: float, is_store_away: bool) -> None:
        """Ask a peer if the store does not answer and it is time."""
        if not is_store_away:
            self.ask_at = float("inf")
        elif self.ask_at == float("inf"):
            self.ask_at = now
        if now >= self.ask_at:
            self.ask_at = now + INTERVAL_SECONDS
            self.ask()

    def answer(self, request: WebRequest) -> WebReply:
        """Answer a peer, or an operator who asks for the members."""
        if request.path == MEMBERS_PATH:
            return WebReply.from_object(list(self.members.records.values()))
        if request.path != NEWS_PATH:
            return WebReply(HTTPStatus.NOT_FOUND)
        text = request.query.get("after", "0")
        after = int(text) if text.isdigit() else 0
        follower = self.follower
        items = [
            (key, follower.values.get(key), revision)
            for key, revision in follower.revisions.items()
            if revision > after
        ]
        news = News(max(follower.revision, self.revision), items)
        return WebReply(body=zlib.compress(msgspec.msgpack.encode(news)))

    def ask(self) -> None:
        """Ask a peer at random for the keys that this node lacks."""
        own = self.members.own.node
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
            news = _decode(answer.body)
        except (CallError, msgspec.MsgspecError, zlib.error) as error:
            log.bind(peer=peer).debug("no news from peer: {}", error)
        else:
            self.revision = max(self.revision, news.revision)
            self.follower.take_news([Item(*item) for item in news.items])
        finally:
            client.close()
            self.is_asking = False
        self.on_news()


def _decode(data: bytes) -> News:
    body = zlib.decompressobj().decompress(data, MAX_NEWS_BYTES)
    return msgspec.msgpack.decode(body, type=News)
