"""Which shard a tenant belongs to, and which node coordinates a shard."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

SHARDS = 4
HASH_BYTES = 8
MAX_CACHED_NAMES = 16_384


@lru_cache(MAX_CACHED_NAMES)
def find_shard(tenant: str) -> int:
    """Return the shard of a tenant."""
    return _hash(tenant) % SHARDS


def rank_coordinators(nodes: Iterable[str], shard: int) -> list[str]:
    """Return nodes by their rank for a shard: the first that responds coordinates it.

    Each node has a weight that is a hash of its name and the shard (rendezvous
    hashing), so that a member that comes or goes moves only its own shards.
    """
    return sorted(nodes, key=lambda node: _find_weight(node, shard), reverse=True)


@lru_cache(MAX_CACHED_NAMES)
def _find_weight(node: str, shard: int) -> int:
    return _hash(f"{node}/{shard}")


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)
