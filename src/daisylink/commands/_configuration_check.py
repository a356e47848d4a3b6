"""``daisylinkctl check`` for a configuration in the format of the store."""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from daisylink.errors import CallError, NodeError, ResultCode, VersionError
from daisylink.http_client import HttpClient
from daisylink.registry import LeaseStore
from daisylink.serving import MemberRecord
from daisylink.version import Draft, Review, ReviewContext, Version, review_draft

MEMBERS_PATH = "/v1/members"
CALL_TIMEOUT_SECONDS = 2.0


class ConfigurationFormat(NamedTuple):
    """How configurations are stored; the program passes the platform's functions.

    :param key: key of the configuration in the store.
    :param read_draft: reads a configuration entry by entry.
    """

    key: str
    read_draft: Callable[[bytes], Draft]


def is_configuration(data: bytes) -> bool:
    """Return whether a file is a configuration, not a sheet."""
    return data.lstrip()[:1] == b"{"


async def check_configuration(
    data: bytes,
    configuration_format: ConfigurationFormat,
    base: bytes | None = None,
    store: LeaseStore | None = None,
    node: str = "",
) -> Review:
    """Review a configuration against what is in force.

    :param base: the configuration in force, None to read it from the store.
    :param store: the store that holds the configuration in force, None for none.
    :param node: address of a node's ``peers`` listener, which lists the servers; ""
        if servers are not to be checked.
    :raises PlatformError: if the store cannot be read.
    :raises NodeError: if the node cannot be read.
    :raises VersionError: if the configuration in force cannot be decoded.
    """
    if base is None and store is not None:
        listing = await store.list(configuration_format.key)
        values = {item.key: item.value for item in listing.items}
        base = values.get(configuration_format.key)
    in_force = _decode_base(base, configuration_format) if base is not None else None
    servers = await _count_servers(node) if node else None
    draft = configuration_format.read_draft(data)
    return review_draft(draft, ReviewContext(in_force, servers))


def describe_review(review: Review) -> dict[str, Any]:
    """Return a review as an object for JSON."""
    findings = [
        {
            "severity": item.severity.value,
            "code": int(item.code),
            "name": item.code.name,
            "kind": item.kind,
            "entry": item.name,
            "message": item.message,
        }
        for item in review.findings
    ]
    changes = list(review.changes)
    return {"ok": not review.has_errors, "findings": findings, "changes": changes}


def format_review(review: Review) -> str:
    """Return a review as text: findings, changes and a summary."""
    lines = [str(item) for item in review.findings]
    lines += [f"change: {line}" for line in review.changes]
    errors = sum(item.severity.value == "error" for item in review.findings)
    warnings = len(review.findings) - errors
    verdict = "not ok" if errors else "ok"
    lines.append(f"{verdict}: {errors} errors, {warnings} warnings")
    return "\n".join(lines)


def _decode_base(data: bytes, configuration_format: ConfigurationFormat) -> Version:
    version = configuration_format.read_draft(data).version
    if version is None:
        message = "the configuration to compare with cannot be decoded"
        raise VersionError(message, ResultCode.VERSION_CORRUPT)
    return version


async def _count_servers(node: str) -> dict[str, int]:
    """Return the number of serving backend servers by service, as a node knows them."""
    client = HttpClient(node)
    try:
        response = await client.call("GET", MEMBERS_PATH, CALL_TIMEOUT_SECONDS)
        records = msgspec.json.decode(response.body, type=list[MemberRecord])
    except (CallError, msgspec.MsgspecError) as error:
        raise NodeError(f"{node}: {error}") from error
    finally:
        client.close()
    return dict(Counter(record.pool for record in records if record.is_serving))
