"""The compressed configuration that readers publish for the rest of the fleet."""

import zlib

import msgspec

from daisylink.errors import VersionError

COMPRESSED_VERSION_KEY = "daisylink/version"
# Names and addresses are random; higher levels take longer and save few bytes.
ZLIB_LEVEL = 6
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class CompressedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version with its compressed configuration.

    :param number: version number.
    :param packed: the compressed configuration, as the operator wrote it.
    """

    number: int
    packed: bytes

    @classmethod
    def from_document(cls, number: int, document: bytes) -> "CompressedVersion":
        """Compress a configuration."""
        return cls(number, zlib.compress(document, ZLIB_LEVEL))

    @classmethod
    def from_bytes(cls, data: bytes) -> "CompressedVersion":
        """Decode a compressed version.

        :raises VersionError: if it cannot be decoded.
        """
        try:
            return msgspec.msgpack.decode(data, type=cls)
        except msgspec.MsgspecError as error:
            raise VersionError(f"edition: {error}") from error

    def to_bytes(self) -> bytes:
        """Encode the compressed version."""
        return msgspec.msgpack.encode(self)

    def decompress(self) -> bytes:
        """Return the decompressed configuration.

        :raises VersionError: if it is damaged or too large.
        """
        decompressor = zlib.decompressobj()
        try:
            document = decompressor.decompress(self.packed, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            raise VersionError(f"edition {self.number}: {error}") from error
        if not decompressor.eof:
            raise VersionError(f"edition {self.number} is cut short or too large")
        return document
