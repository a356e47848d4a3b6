"""Reading of HTTP/1.1 messages by the stand-ins."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response; ``first`` is its first line."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body, which has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return body
        body += piece[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message."""
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers))


def encode(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
