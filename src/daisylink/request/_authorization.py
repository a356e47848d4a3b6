"""Finds the tenant of a request by its API key, and removes the key from its head."""

from collections.abc import Iterable
from dataclasses import dataclass

from daisylink.request._head import Header, RequestHead
from daisylink.version import Tenant, TenantTable, Version

AUTHORIZATION_HEADER = b"authorization"
SCHEME = b"bearer"
HEADERS_INDEX = RequestHead._fields.index("headers")
NEXT_INDEX = HEADERS_INDEX + 1


@dataclass(frozen=True)
class NoKey:
    """The request has no Authorization header."""


@dataclass(frozen=True)
class UnknownKey:
    """No tenant holds the request's key, or the header does not state exactly one."""


# A tenant stands for a key that it holds.
Authorization = NoKey | UnknownKey | Tenant
NO_KEY = NoKey()
UNKNOWN_KEY = UnknownKey()


def authorize(headers: Iterable[Header], tenants: TenantTable) -> Authorization:
    """Return whose API key a request carries.

    :param headers: pairs of lower-case name and value.
    """
    key = None
    for name, value in headers:
        if name == AUTHORIZATION_HEADER:
            if key is not None:
                return UNKNOWN_KEY
            key = read_bearer_key(value)
    if key is None:
        return NO_KEY
    tenant = tenants.find(key) if key else None
    return UNKNOWN_KEY if tenant is None else tenant


def read_bearer_key(value: bytes) -> bytes:
    """Return the key in the value of an Authorization header, empty if malformed."""
    words = value.split()
    if len(words) != 2 or words[0].lower() != SCHEME:
        return b""
    return words[1]


def remove_credentials(head: RequestHead, version: Version | None) -> RequestHead:
    """Return the head without its API key if the version in force has tenants.

    The node beside the server removes it as well: an entry node of an earlier release,
    or one that has no tenants in force yet, forwards the header.
    """
    if version is None or version.tenants.is_empty:
        return head
    kept = [item for item in head.headers if item[0] != AUTHORIZATION_HEADER]
    if len(kept) == len(head.headers):
        return head
    # Runs for each request with a key, for which _replace is too slow.
    return RequestHead._make((*head[:HEADERS_INDEX], tuple(kept), *head[NEXT_INDEX:]))
