"""Client of the platform's key-value service."""

from daisylink.store._acceptance import (
    fetch_content,
    read_head,
    read_version_record,
    run_steps,
)
from daisylink.store._consul import ConsulStore
from daisylink.store._store import Entry, KeyValueStore

__all__ = [
    "ConsulStore",
    "Entry",
    "KeyValueStore",
    "fetch_content",
    "read_head",
    "read_version_record",
    "run_steps",
]
