"""The tenants of a configuration.

An entry that cannot be read is left out, and the rest of the configuration is used: one
tenant's requests get 401 instead of every request the routes of an old version.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from daisylink.platform._units import rank_priority
from daisylink.version import NO_TENANTS, Tenant, TenantTable

TENANTS_TYPE = "tenants"


class _Kind(msgspec.Struct):
    resource_type: str


class _Meta(msgspec.Struct):
    name: str


class _Entry(msgspec.Struct):
    metadata: _Meta
    spec: msgspec.Raw


class _Spec(msgspec.Struct):
    """A tenant.

    :param api_keys: keys, as callers send them after ``Bearer``.
    :param priority: rank, 0 the most urgent; it goes before the route's.
    :param rate_per_s: requests a second, 0 for no limit.
    :param burst: requests beyond the rate at one moment.
    """

    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class TenantDecoder:
    """Decodes the tenants of successive configurations.

    The digests of 10,000 keys take about 8 ms, so the table is built anew
    only if an entry has changed.
    """

    def __init__(self):
        self.table = NO_TENANTS
        self.digest = b""

    def decode(self, rows: Iterable[bytes]) -> TenantTable:
        """Return the table of the tenants' entries.

        :param rows: bytes of the entries that :func:`is_tenant_row` selects.
        """
        rows = tuple(rows)
        # Not the bytes themselves, which contain the keys.
        digest = hashlib.sha256(b"\n".join(rows)).digest() if rows else b""
        if digest != self.digest:
            self.table = _make_table(rows)
            self.digest = digest
        return self.table


def is_tenant_row(row: bytes) -> bool:
    """Return whether an entry of a configuration is a tenant, even if damaged."""
    try:
        return msgspec.json.decode(row, type=_Kind).resource_type == TENANTS_TYPE
    except msgspec.MsgspecError:
        return False


def read_tenant(row: bytes) -> tuple[Tenant, list[str]]:
    """Return a tenant and its API keys.

    :raises ValueError: if the entry is damaged. The message contains no key.
    """
    entry = msgspec.json.decode(row, type=_Entry)
    spec = msgspec.json.decode(entry.spec, type=_Spec)
    name = entry.metadata.name
    # The name is sent as the value of a header.
    if not name or not name.isprintable() or name != name.strip():
        raise ValueError("the name is empty or is no value of a header")
    rate, burst = spec.rate_per_s or 0.0, spec.burst or 0.0
    if rate < 0 or burst < 0:
        raise ValueError("rate_per_s or burst is below 0")
    priority = None if spec.priority is None else rank_priority(spec.priority)
    return Tenant(name, priority, rate, burst), spec.api_keys


def name_row(row: bytes) -> str:
    """Return the name of an entry, "" if it states none."""
    try:
        document = msgspec.json.decode(row)
    except msgspec.MsgspecError:
        return ""
    metadata = document.get("metadata") if isinstance(document, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _make_table(rows: tuple[bytes, ...]) -> TenantTable:
    tenants = []
    damaged = []
    for row in rows:
        try:
            tenants.append(read_tenant(row))
        except ValueError:
            damaged.append(name_row(row))
    return TenantTable.from_keys(tenants, damaged)
