"""Tenants of a configuration: their API keys, priority and quota.

Keys are held as keyed digests, so that finding one takes a time that tells nothing of
the keys that are known.
"""

import hashlib
import os
from collections.abc import Iterable
from typing import NamedTuple

from daisylink.version._rows import Priority

DIGEST_BYTES = 16
# Its key is random for each process, so a digest tells nothing to another one. It is
# copied for each API key, which is faster than making a new hash object.
KEYED_HASH = hashlib.blake2b(digest_size=DIGEST_BYTES, key=os.urandom(DIGEST_BYTES))


class Tenant(NamedTuple):
    """A tenant, whose requests carry one of its API keys.

    :param priority: goes before the route's, None to use the route's.
    :param rate: requests a second that all nodes together admit, 0 for no limit.
    :param burst: requests that they admit beyond the rate at one moment.
    """

    name: str
    priority: Priority | None = None
    rate: float = 0.0
    burst: float = 0.0


class TenantTable:
    """Finds a tenant by API key or by name.

    A key that two tenants hold finds neither: each would get the other's data.

    :ivar by_digest: tenants by the keyed digest of an API key, without shared keys.
    :ivar damaged: names of tenants whose entries cannot be read.
    :ivar names_with_shared_key: names of tenants that hold a key of another one.
    """

    def __init__(self):
        self.by_name: dict[str, Tenant] = {}
        self.by_digest: dict[bytes, Tenant] = {}
        self.damaged: tuple[str, ...] = ()
        self.names_with_shared_key: frozenset[str] = frozenset()

    @classmethod
    def from_keys(
        cls,
        tenants: Iterable[tuple[Tenant, Iterable[str]]],
        damaged: Iterable[str] = (),
    ) -> "TenantTable":
        """Build the table.

        :param tenants: each tenant with its API keys. Of several entries of one name,
            the last one's priority and quota count, and the keys of all.
        :param damaged: names of tenants whose entries cannot be read.
        """
        table = cls()
        table.damaged = tuple(damaged)
        names_by_digest: dict[bytes, str] = {}
        shared: dict[bytes, set[str]] = {}
        for tenant, keys in tenants:
            table.by_name[tenant.name] = tenant
            for key in keys:
                digest = digest_key(key.encode())
                first = names_by_digest.setdefault(digest, tenant.name)
                if first != tenant.name:
                    shared.setdefault(digest, {first}).add(tenant.name)
        table.by_digest = {
            digest: table.by_name[name]
            for digest, name in names_by_digest.items()
            if digest not in shared
        }
        table.names_with_shared_key = frozenset().union(*shared.values())
        return table

    @property
    def is_empty(self) -> bool:
        """Return whether the configuration has no tenants, so needs no keys.

        A damaged entry counts: otherwise it would open the routes to every caller.
        """
        return not self.by_name and not self.damaged

    def find(self, key: bytes) -> Tenant | None:
        """Return the tenant that holds an API key, if any."""
        return self.by_digest.get(digest_key(key))

    def get(self, name: str) -> Tenant | None:
        """Return a tenant by its name, if it exists."""
        return self.by_name.get(name)


def digest_key(key: bytes) -> bytes:
    """Return the keyed digest of an API key."""
    keyed_hash = KEYED_HASH.copy()
    keyed_hash.update(key)
    return keyed_hash.digest()


NO_TENANTS = TenantTable()
