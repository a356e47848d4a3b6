"""Request fingerprints, which recognise a request that crashes servers when resent.

A resend has the content of the request before: its method, host and target, the tenant
that sends it, and its body. It may enter at any node and be framed in another way. What
backend servers are told of the calling service is part of the request too, but kept
apart: the same content may crash servers for each caller, or for one of them only.
"""

import hashlib
from typing import NamedTuple

from daisylink.request._head import RequestHead

HEAD_DIGEST_BYTES = 8
WHOLE_DIGEST_BYTES = 16
CALLER_DIGEST_BYTES = 4


class Fingerprint(NamedTuple):
    """Digests of a request.

    :param head: digest of the parts of the head that a resend repeats.
    :param whole: digest of these parts and the body.
    :param caller: digest of the calling service's name, empty if backend servers are
        not told.
    """

    head: bytes
    whole: bytes
    caller: bytes = b""


class LostRequest(NamedTuple):
    """A request whose connection a backend server dropped.

    :param is_repeat: whether the request had lost an attempt before this one.
    """

    fingerprint: Fingerprint
    is_repeat: bool


def digest_head(head: RequestHead, tenant: str) -> bytes:
    """Return the digest of the parts of a head that a resend repeats.

    :param tenant: name of the tenant that sends the request, "" for none.
    """
    names = f"{tenant}\n{head.host}\n".encode()
    content = names + head.method + b" " + head.target
    return hashlib.blake2b(content, digest_size=HEAD_DIGEST_BYTES).digest()


def compute_fingerprint(
    head: RequestHead, tenant: str, body_digest: bytes, caller: str = ""
) -> Fingerprint:
    """Return the fingerprint of a request.

    :param tenant: name of the tenant that sends the request, "" for none.
    :param body_digest: digest of the content of the body.
    :param caller: name of the calling service, "" if backend servers are not told.
    """
    digest = digest_head(head, tenant)
    whole = hashlib.blake2b(digest + body_digest, digest_size=WHOLE_DIGEST_BYTES)
    return Fingerprint(digest, whole.digest(), _digest_caller(caller))


def _digest_caller(name: str) -> bytes:
    if not name:
        return b""
    return hashlib.blake2b(name.encode(), digest_size=CALLER_DIGEST_BYTES).digest()
