"""Numbered, immutable versions and the record that the head key holds."""

import zlib
from datetime import datetime
from typing import NamedTuple

import msgspec

from daisylink.errors import ResultCode, VersionError
from daisylink.version._content import (
    MAX_CONTENT_BYTES,
    Content,
    Delta,
    apply_delta,
    check_references,
    decode_content,
    encode_content,
    sha256_digest,
)
from daisylink.version._routes import RouteTable
from daisylink.version._rows import CallerLimits
from daisylink.version._tenants import NO_TENANTS, TenantTable

COMPRESSION_LEVEL = 6


class HeadRecord(msgspec.Struct, frozen=True):
    """Value of the head key: the accepted version, its author and its acceptance.

    :param number: version number, incremented by each acceptance.
    :param digest: SHA-256 of the canonical bytes of the content.
    :param acceptance_id: unique identifier of the acceptance.
    :param parts: number of keys that hold the compressed content.
    :param delta: changes since the previous version; None if too large or the first.
    """

    number: int
    digest: bytes
    acceptance_id: str
    accepted_at: datetime
    author: str
    note: str
    parts: int
    delta: Delta | None = None

    @property
    def stamp(self) -> "VersionStamp":
        """Return the identity of the version."""
        return VersionStamp(self.number, self.digest, self.accepted_at)


class VersionStamp(NamedTuple):
    """Identity of a version: its number, digest and time of acceptance."""

    number: int
    digest: bytes
    accepted_at: datetime


class Version(NamedTuple):
    """A complete, verified version with the route table built from it."""

    stamp: VersionStamp
    content: Content
    route_table: RouteTable
    limits: CallerLimits = CallerLimits()
    tenants: TenantTable = NO_TENANTS

    @property
    def number(self) -> int:
        """Return the version's number."""
        return self.stamp.number


def build_version(
    stamp: VersionStamp,
    content: Content,
    limits: CallerLimits | None = None,
    base: Version | None = None,
    tenants: TenantTable = NO_TENANTS,
) -> Version:
    """Build a version from content whose digest is verified.

    :param limits: limits for callers; the defaults if not given.
    :param base: an earlier version; what was built for the rows that both have in
        common is used again.
    :param tenants: tenants whose requests need an API key.
    :raises VersionError: ``VERSION_NOT_CLOSED`` if a pool or service is missing.
    """
    check_references(content)
    base_table = base.route_table if base is not None else None
    table = RouteTable.from_content(content, base_table)
    return Version(stamp, content, table, limits or CallerLimits(), tenants)


def version_from_snapshot(stamp: VersionStamp, packed: bytes) -> Version:
    """Build a version from compressed content, verifying its digest.

    :param packed: compressed canonical bytes from :func:`pack_content`.
    :raises VersionError: if the content is corrupt, too large or lacks a row that
        it refers to.
    """
    return build_version(stamp, unpack_content(packed, stamp.digest))


def version_from_delta(base: Version, stamp: VersionStamp, delta: Delta) -> Version:
    """Build a version by applying a delta to the previous one.

    :raises VersionError: ``VERSION_BASE_MISMATCH`` if ``base`` is not the previous
        version, ``VERSION_CORRUPT`` if the result does not match its digest,
        ``VERSION_NOT_CLOSED`` if a pool or service is missing.
    """
    if stamp.number != base.number + 1:
        raise VersionError(
            f"delta to version {stamp.number} does not apply to {base.number}",
            ResultCode.VERSION_BASE_MISMATCH,
        )
    return build_version(stamp, apply_delta(base.content, delta, stamp.digest))


def pack_content(content: Content) -> tuple[bytes, bytes]:
    """Return the SHA-256 digest and the compressed canonical bytes of a content.

    :raises VersionError: ``SHEET_TOO_LARGE`` if it exceeds the size limit.
    """
    data = encode_content(content)
    if len(data) > MAX_CONTENT_BYTES:
        raise VersionError(
            f"version has {len(data)} bytes, limit is {MAX_CONTENT_BYTES}",
            ResultCode.SHEET_TOO_LARGE,
        )
    return sha256_digest(data), zlib.compress(data, COMPRESSION_LEVEL)


def unpack_content(packed: bytes, digest: bytes) -> Content:
    """Decompress a content and verify its digest.

    :raises VersionError: ``VERSION_CORRUPT`` if it does not decompress, is too large or
        does not match its digest.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_CONTENT_BYTES + 1)
    except zlib.error as error:
        raise VersionError("content does not decompress") from error
    if len(data) > MAX_CONTENT_BYTES:
        raise VersionError("content exceeds the size limit")
    return decode_content(data, digest)
