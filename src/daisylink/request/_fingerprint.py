"""Request fingerprints, which recognise a request that crashes servers when resent."""

import hashlib
from typing import NamedTuple

from daisylink.request._head import RequestHead

HEAD_DIGEST_BYTES = 8
BODY_DIGEST_BYTES = 16


class Fingerprint(NamedTuple):
    """Digests of a request.

    :param head: digest of the parts of the head that a resend repeats.
    :param whole: digest of these parts and the body.
    """

    head: bytes
    whole: bytes


def digest_head(head: RequestHead, pool: str) -> bytes:
    """Return the digest of the parts of a head that a resend repeats.

    :param pool: pool that the request goes to.
    """
    length = -1 if head.length is None else head.length
    text = f"{pool}\n{head.host}\n{length}\n".encode() + head.method + head.target
    return hashlib.blake2b(text, digest_size=HEAD_DIGEST_BYTES).digest()


def compute_fingerprint(head: RequestHead, pool: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request.

    :param pool: pool that the request goes to.
    :param body: the buffered part of the body.
    """
    digest = digest_head(head, pool)
    whole = hashlib.blake2b(digest, digest_size=BODY_DIGEST_BYTES)
    whole.update(body)
    return Fingerprint(digest, whole.digest())
