"""Content of a version: rows, encoding, digest, reference check and deltas."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple, TypeVar

import msgspec

from daisylink.errors import ResultCode, VersionError
from daisylink.version._rows import Pool, Route, Service

MAX_CONTENT_BYTES = 8 * 1024 * 1024

Row = TypeVar("Row", Pool, Service, Route)


class Content(NamedTuple):
    """All pools, services and routes of one version, each sorted by name."""

    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()

    @classmethod
    def from_rows(
        cls,
        pools: Iterable[Pool],
        services: Iterable[Service],
        routes: Iterable[Route],
    ) -> "Content":
        """Return the content with its rows in canonical order."""
        return cls(
            tuple(sorted(pools)),
            tuple(sorted(services)),
            tuple(sorted(routes)),
        )


class DanglingReference(NamedTuple):
    """A reference to a row that the content lacks.

    :param kind: kind of the referring row, ``service`` or ``route``.
    :param name: name of the referring row.
    :param column: kind of the missing row, ``pool`` or ``service``.
    :param missing: name of the missing row.
    """

    kind: str
    name: str
    column: str
    missing: str


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Changes from the content of one version to that of the next number.

    The content of a version number never changes, so a delta needs no digest of its
    base.
    """

    removed_pools: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()


_decoder = msgspec.json.Decoder(Content)


def encode_content(content: Content) -> bytes:
    """Return the canonical bytes of a content."""
    return msgspec.json.encode(content)


def decode_content(data: bytes, digest: bytes) -> Content:
    """Decode a content and verify its digest.

    :param data: canonical bytes.
    :param digest: SHA-256 of ``data``.
    :raises VersionError: ``VERSION_CORRUPT`` if the bytes do not match the digest
        or do not decode.
    """
    if sha256_digest(data) != digest:
        raise VersionError("content does not match its digest")
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise VersionError(f"content does not decode: {error}") from error


def sha256_digest(data: bytes) -> bytes:
    """Return the SHA-256 of the bytes."""
    return hashlib.sha256(data).digest()


def compute_content_digest(content: Content) -> bytes:
    """Return the digest of a content's canonical bytes."""
    return sha256_digest(encode_content(content))


def find_dangling_references(content: Content) -> list[DanglingReference]:
    """Return every reference to a missing pool or service."""
    pools = {pool.name for pool in content.pools}
    services = {service.name for service in content.services}
    found = [
        DanglingReference("service", service.name, "pool", service.pool)
        for service in content.services
        if service.pool not in pools
    ]
    found += [
        DanglingReference("route", route.name, "service", name)
        for route in content.routes
        if route.split or route.service not in services
        for name in (route.service, *(share.service for share in route.split))
        if name not in services
    ]
    return found


def check_references(content: Content) -> None:
    """Check that every pool and service referred to is in the content.

    :raises VersionError: ``VERSION_NOT_CLOSED`` naming the first missing row.
    """
    dangling = find_dangling_references(content)
    if dangling:
        first = dangling[0]
        raise VersionError(
            f"{first.kind} {first.name} refers to missing "
            f"{first.column} {first.missing}",
            ResultCode.VERSION_NOT_CLOSED,
        )


def compute_delta(base: Content, target: Content) -> Delta:
    """Return the delta from ``base`` to ``target``."""
    pools, removed_pools = _find_changed_rows(base.pools, target.pools)
    services, removed_services = _find_changed_rows(base.services, target.services)
    routes, removed_routes = _find_changed_rows(base.routes, target.routes)
    return Delta(
        removed_pools=removed_pools,
        removed_services=removed_services,
        removed_routes=removed_routes,
        pools=pools,
        services=services,
        routes=routes,
    )


def apply_delta(base: Content, delta: Delta, digest: bytes) -> Content:
    """Apply a delta to ``base`` and return the resulting content.

    :param digest: SHA-256 of the result.
    :raises VersionError: ``VERSION_CORRUPT`` if the result does not match it.
    """
    content = Content.from_rows(
        _merge_rows(base.pools, delta.pools, delta.removed_pools),
        _merge_rows(base.services, delta.services, delta.removed_services),
        _merge_rows(base.routes, delta.routes, delta.removed_routes),
    )
    if compute_content_digest(content) != digest:
        raise VersionError("result of the delta does not match its digest")
    return content


def describe_delta(delta: Delta) -> list[str]:
    """Return one short line for each row that a delta sets or removes."""
    lines = []
    for kind, rows, removed in (
        ("pool", delta.pools, delta.removed_pools),
        ("service", delta.services, delta.removed_services),
        ("route", delta.routes, delta.removed_routes),
    ):
        lines += [f"set {kind} {row.name}" for row in rows]
        lines += [f"remove {kind} {name}" for name in removed]
    return lines


def _find_changed_rows(
    base: tuple[Row, ...], target: tuple[Row, ...]
) -> tuple[tuple[Row, ...], tuple[str, ...]]:
    """Return the added or changed rows and the names of the removed ones."""
    known = {row.name: row for row in base}
    changed = tuple(row for row in target if known.get(row.name) != row)
    kept = {row.name for row in target}
    removed = tuple(name for name in known if name not in kept)
    return changed, removed


def _merge_rows(
    base: tuple[Row, ...], changed: tuple[Row, ...], removed: tuple[str, ...]
) -> list[Row]:
    """Return the rows of ``base`` with changes and removals applied."""
    rows = {row.name: row for row in base}
    rows.update((row.name, row) for row in changed)
    for name in removed:
        rows.pop(name, None)
    return list(rows.values())
