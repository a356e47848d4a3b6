"""Changes of the fleet's keys from a reader to nodes that do not watch the store."""

import asyncio
import zlib
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from daisylink.errors import CallError
from daisylink.http_client import HttpClient
from daisylink.http_server import WebRequest, WebResponse
from daisylink.registry import Changes, Item, Listing, WatchCache

CHANGES_PATH = "/v1/changes"
# Such calls cost no call to the store, so they are short: a reader that fell silent is
# noticed well within the time that a configuration may take.
WAIT_SECONDS = 1.0
ANSWER_SECONDS = 0.5
# A whole configuration, uncompressed, and the members of a large fleet.
MAX_NEWS_BYTES = 32 * 1024 * 1024


class News(msgspec.Struct, array_like=True):
    """What a node tells another, compressed on its way.

    :param revision: the store's revision up to which the keys are complete.
    :param items: key, value or None, and revision of each key that is newer.
    :param is_whole: whether these are all keys, because the teller cannot know which
        ones were deleted since the revision asked for.
    """

    revision: int
    items: list[tuple[str, bytes | None, int]]
    is_whole: bool = False

    @classmethod
    def from_bytes(cls, data: bytes) -> "News":
        """Decode news.

        :raises CallError: if they are damaged.
        """
        try:
            body = zlib.decompressobj().decompress(data, MAX_NEWS_BYTES)
            return msgspec.msgpack.decode(body, type=cls)
        except (msgspec.MsgspecError, zlib.error) as error:
            raise CallError(f"news: {error}", was_sent=True) from error

    def to_bytes(self) -> bytes:
        """Encode the news."""
        return zlib.compress(msgspec.msgpack.encode(self))

    def list_items(self) -> list[Item]:
        """Return the keys."""
        return [Item(*item) for item in self.items]


class ChangeFeed:
    """Tells other nodes of changes, as soon as there are any.

    :param prefix: keys that are told of.
    :param may_serve: whether this node watches the store, and the store answers.
    """

    def __init__(
        self, follower: WatchCache, prefix: str, may_serve: Callable[[], bool]
    ):
        self.follower = follower
        self.prefix = prefix
        self.may_serve = may_serve
        self.loop = asyncio.get_running_loop()
        self.waiting: list[tuple[int, asyncio.Future[WebResponse]]] = []
        self.told_revision = 0

    def answer(self, request: WebRequest) -> WebResponse | asyncio.Future[WebResponse]:
        """Answer a node, at once or when there are changes."""
        text = request.query.get("after", "0")
        after = int(text) if text.isdigit() else 0
        if not self.may_serve():
            return WebResponse(HTTPStatus.SERVICE_UNAVAILABLE)
        if self.follower.newest(self.prefix) > after:
            return self._tell(after)
        reply = self.loop.create_future()
        self.waiting.append((after, reply))
        self.loop.call_later(WAIT_SECONDS, self._end_wait, after, reply)
        return reply

    def notify_waiters(self) -> None:
        """Answer the nodes for which there are changes."""
        if not self.waiting or self.follower.revision == self.told_revision:
            return
        self.told_revision = self.follower.revision
        newest = self.follower.newest(self.prefix)
        for after, reply in self.waiting:
            if newest > after and not reply.done():
                reply.set_result(self._tell(after))
        self.waiting = [item for item in self.waiting if not item[1].done()]

    def _end_wait(self, after: int, reply: asyncio.Future[WebResponse]) -> None:
        if not reply.done():
            reply.set_result(self._tell(after))
        self.waiting = [item for item in self.waiting if item[1] is not reply]

    def _tell(self, after: int) -> WebResponse:
        follower = self.follower
        is_whole = after < follower.first_revision
        items = follower.list_changes_after(0 if is_whole else after, self.prefix)
        if is_whole:
            items = [item for item in items if item.value is not None]
        news = News(follower.revision, [tuple(item) for item in items], is_whole)
        return WebResponse(body=news.to_bytes())


class ChangeFeedClient:
    """Asks one reader at a time for changes."""

    def __init__(self):
        self.client: HttpClient | None = None

    async def watch(self, reader: str, after: int) -> Changes | Listing:
        """Return the changes after a revision, or all keys.

        :raises CallError: if the reader does not answer, or is none.
        """
        if self.client is None or self.client.address != reader:
            self.close()
            self.client = HttpClient(reader)
        target = f"{CHANGES_PATH}?after={after}"
        answer = await self.client.call("GET", target, WAIT_SECONDS + ANSWER_SECONDS)
        if answer.status != HTTPStatus.OK:
            raise CallError(f"status {answer.status}", was_sent=True)
        news = News.from_bytes(answer.body)
        if news.is_whole:
            return Listing(news.list_items(), news.revision)
        return Changes(news.list_items(), news.revision)

    def close(self) -> None:
        """Close the connection."""
        if self.client is not None:
            self.client.close()
