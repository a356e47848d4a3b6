"""The platform's key-value service, as daisylink sees it."""

from daisylink.platform._acceptance import (
    fetch_content,
    read_head,
    read_record,
    run_steps,
)
from daisylink.platform._http import HttpStore
from daisylink.platform._store import Entry, KeyValueStore

__all__ = [
    "Entry",
    "HttpStore",
    "KeyValueStore",
    "fetch_content",
    "read_head",
    "read_record",
    "run_steps",
]
