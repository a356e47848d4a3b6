"""Stand-ins of requesters."""

import asyncio
import secrets
import time
from typing import NamedTuple

from review.rig._http import read_message

HOST = "a.example"


class Answer(NamedTuple):
    """What a requester got.

    :param status: 0 if the connection ended without a complete answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    seconds: float


NO_ANSWER = Answer(0, {}, b"", 0.0)


def new_id() -> str:
    """Return a fresh request id."""
    return secrets.token_hex(8)


def make_request(
    name: str, path: str, limit_ms: int, method: str = "GET", body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Daisylink-Request-Id: {name}",
        f"X-Daisylink-Deadline-Ms: {limit_ms}",
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Connection:
    """A requester's connection to its machine's node.

    :param address: the node's ``outbound`` address.
    """

    def __init__(self, address: str):
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the node has not closed it."""
        return self.writer is not None and not (
            self.writer.is_closing() or self.reader.at_eof()
        )

    async def open(self) -> None:
        """Open it."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    async def receive(self, limit: float) -> Answer:
        """Return the next answer; status 0 if the connection ends, -1 after a limit."""
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(limit):
                message = await read_message(self.reader)
        except TimeoutError:
            return NO_ANSWER._replace(status=-1)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.close()
            return NO_ANSWER
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        seconds = time.monotonic() - started_at
        status = int(message.first.split(" ")[1])
        return Answer(status, message.headers, message.body, seconds)

    async def call(self, data: bytes, limit: float) -> Answer:
        """Send one request, on a new connection if need be; return its answer."""
        try:
            if not self.is_open:
                await self.open()
            self.send(data)
        except OSError:
            return NO_ANSWER
        return await self.receive(limit)

    def close(self) -> None:
        """Close it."""
        if self.writer is not None:
            self.writer.close()

    def reset(self) -> None:
        """Abort it."""
        if self.writer is not None:
            self.writer.transport.abort()
