"""Carries any text in the headers that nodes and backend servers get.

The names of a configuration may contain spaces, line ends and letters of any alphabet,
which a field of a header cannot. Most names need no encoding and are sent as they are,
as all were by earlier releases.
"""

import re
from functools import lru_cache
from urllib.parse import quote, unquote

EMPTY = "-"
# Begins a text that is percent-encoded.
ENCODED_MARK = "="
PLAIN_FIELD = re.compile(r"[!-<>-~][!-~]*")
CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f]")
MAX_CACHED_TEXTS = 4096


@lru_cache(maxsize=MAX_CACHED_TEXTS)
def encode_field(text: str) -> str:
    """Return a text as a field without spaces, in visible ASCII characters.

    :func:`decode_field` returns the text.
    """
    if not text:
        return EMPTY
    if text != EMPTY and PLAIN_FIELD.fullmatch(text):
        return text
    return ENCODED_MARK + quote(text, safe="")


def decode_field(field: str) -> str:
    """Return the text of a field.

    :raises ValueError: if it is malformed.
    """
    if field == EMPTY:
        return ""
    if not field.startswith(ENCODED_MARK):
        return field
    return unquote(field.removeprefix(ENCODED_MARK), errors="strict")


@lru_cache(maxsize=MAX_CACHED_TEXTS)
def encode_value(text: str) -> bytes:
    """Return a text as the value of a header for backend servers.

    They decode nothing, so only what no value may contain is percent-encoded: control
    characters, which could end the header.
    """
    return CONTROL_CHARACTERS.sub(lambda match: quote(match[0]), text).encode()
