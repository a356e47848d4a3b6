"""Fingerprints of requests, by which one that crashes servers is known again."""

import hashlib
from typing import NamedTuple

from daisylink.request._head import RequestHead

HEAD_DIGEST_BYTES = 8
BODY_DIGEST_BYTES = 16


class Fingerprint(NamedTuple):
    """Digest of the head's lasting parts, and of the whole with the body."""

    head: bytes
    whole: bytes


def digest_head(head: RequestHead, pool: str) -> bytes:
    """Return the digest of what a resend has in common with the first sending."""
    length = -1 if head.length is None else head.length
    text = f"{pool}\n{head.host}\n{length}\n".encode() + head.method + head.target
    return hashlib.blake2b(text, digest_size=HEAD_DIGEST_BYTES).digest()


def compute_fingerprint(head: RequestHead, pool: str, body: list[bytes]) -> Fingerprint:
    """Return the fingerprint of a request.

    :param body: the body's pieces, as far as they are kept.
    """
    digest = digest_head(head, pool)
    whole = hashlib.blake2b(digest, digest_size=BODY_DIGEST_BYTES)
    for piece in body:
        whole.update(piece)
    return Fingerprint(digest, whole.digest())
