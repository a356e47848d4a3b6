"""A numbered, immutable version, and the record of the head that names it."""

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

COMPRESSION_LEVEL = 6


class HeadRecord(msgspec.Struct, frozen=True):
    """The value of the head key: which version is accepted, and by whom.

    :param number: grows by one with each acceptance.
    :param parts: how many keys hold the compressed content.
    :param delta: what changed since the version before, if it is small.
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
        """Return number, digest and time of acceptance."""
        return VersionStamp(self.number, self.digest, self.accepted_at)


class VersionStamp(NamedTuple):
    """What tells one version from every other."""

    number: int
    digest: bytes
    accepted_at: datetime


class Version(NamedTuple):
    """A complete, checked version that a proxy can route by."""

    stamp: VersionStamp
    content: Content
    route_table: RouteTable
    limits: CallerLimits = CallerLimits()

    @property
    def number(self) -> int:
        """Return the version's number."""
        return self.stamp.number


def build_version(
    stamp: VersionStamp, content: Content, limits: CallerLimits | None = None
) -> Version:
    """Build a version from content whose digest was checked.

    :param limits: what callers may send; the defaults if not given.

    :raises VersionError: ``VERSION_NOT_CLOSED`` if a route points at nothing.
    """
    check_references(content)
    table = RouteTable.from_content(content)
    return Version(stamp, content, table, limits or CallerLimits())


def version_from_snapshot(stamp: VersionStamp, packed: bytes) -> Version:
    """Unpack, check and build a version.

    :param packed: compressed canonical bytes, as :func:`pack_content` makes them.
    :raises VersionError: if the bytes are damaged, too large or not closed.
    """
    return build_version(stamp, unpack_content(packed, stamp.digest))


def version_from_delta(base: Version, stamp: VersionStamp, delta: Delta) -> Version:
    """Build the version that a delta makes of the one before it.

    :raises VersionError: ``VERSION_BASE_MISMATCH`` if ``base`` is not the version
        before, or if the result does not match its digest or is not closed.
    """
    if stamp.number != base.number + 1:
        raise VersionError(
            f"delta of version {stamp.number} does not fit {base.number}",
            ResultCode.VERSION_BASE_MISMATCH,
        )
    return build_version(stamp, apply_delta(base.content, delta, stamp.digest))


def pack_content(content: Content) -> tuple[bytes, bytes]:
    """Return the digest and the compressed canonical bytes of a content.

    :raises VersionError: ``SHEET_TOO_LARGE`` past the size limit.
    """
    data = encode_content(content)
    if len(data) > MAX_CONTENT_BYTES:
        raise VersionError(
            f"version has {len(data)} bytes, limit is {MAX_CONTENT_BYTES}",
            ResultCode.SHEET_TOO_LARGE,
        )
    return sha256_digest(data), zlib.compress(data, COMPRESSION_LEVEL)


def unpack_content(packed: bytes, digest: bytes) -> Content:
    """Decompress and check a content.

    :raises VersionError: ``VERSION_CORRUPT`` if it does not match its digest.
    """
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(packed, MAX_CONTENT_BYTES + 1)
    except zlib.error as error:
        raise VersionError("content does not decompress") from error
    if len(data) > MAX_CONTENT_BYTES:
        raise VersionError("content is larger than any version may be")
    return decode_content(data, digest)
