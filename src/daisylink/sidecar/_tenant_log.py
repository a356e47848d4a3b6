"""Logs what is wrong with the tenants of a version; no line contains a key."""

from daisylink.logs import get_logger
from daisylink.version import Version

# A line names at most this many tenants and states how many there are.
MAX_NAMED = 20

log = get_logger("knowledge")


def log_tenant_faults(version: Version) -> None:
    """Log the tenants that a version leaves out and those that share a key."""
    tenants = version.tenants
    for event, names in (
        ("tenant entries cannot be read; their keys are unknown", tenants.damaged),
        (
            "tenants share a key, which is unknown",
            sorted(tenants.names_with_shared_key),
        ),
    ):
        if names:
            log.bind(
                version=version.number,
                tenants=list(names[:MAX_NAMED]),
                count=len(names),
            ).warning(event)
