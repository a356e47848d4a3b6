"""Reviews a configuration before it is sent: faults, entries without use, limits.

An error makes nodes refuse the configuration, or leaves out a tenant or a key. A
warning is about an entry that works otherwise than it seems to.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import NamedTuple

from daisylink.errors import ResultCode
from daisylink.version._content import compute_delta, describe_delta
from daisylink.version._rows import Route, Service
from daisylink.version._tenants import Tenant, TenantTable
from daisylink.version._version import Version


class Severity(StrEnum):
    """Whether a finding keeps the configuration from being sent."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """Something wrong with a configuration.

    :param kind: kind of the entry, "" for the whole configuration.
    :param name: name of the entry.
    """

    severity: Severity
    code: ResultCode
    kind: str
    name: str
    message: str

    def __str__(self) -> str:
        where = f" {self.kind} {self.name}" if self.kind else ""
        return f"{self.severity.value} [{int(self.code)}]{where}: {self.message}"


class Draft(NamedTuple):
    """The entries of a configuration that can be read, and the faults of the others.

    :param tenants: each tenant with its API keys.
    :param findings: faults of the entries that cannot be read.
    :param version: what nodes would put in force, None if they would refuse it.
    """

    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    tenants: tuple[tuple[Tenant, list[str]], ...] = ()
    findings: tuple[Finding, ...] = ()
    version: Version | None = None


class ReviewContext(NamedTuple):
    """What a draft is compared with.

    :param in_force: the version in force, None if not known.
    :param servers: number of servers by service, None if not known.
    :param max_attempts: attempts that the retry budget admits for one request.
    """

    in_force: Version | None = None
    servers: dict[str, int] | None = None
    max_attempts: int = 4


class Review(NamedTuple):
    """The findings and the changes against the version in force."""

    findings: tuple[Finding, ...]
    changes: tuple[str, ...]

    @property
    def has_errors(self) -> bool:
        """Return whether the configuration should not be sent."""
        return any(item.severity is Severity.ERROR for item in self.findings)


EMPTY_CONTEXT = ReviewContext()


def review_draft(draft: Draft, context: ReviewContext = EMPTY_CONTEXT) -> Review:
    """Review a draft; errors come first, otherwise in the order of the entries."""
    findings = [
        *draft.findings,
        *_find_duplicates(draft),
        *_find_dangling(draft),
        *_find_unused(draft),
        *_check_servers(draft, context.servers),
        *_check_keys(draft),
        *_check_route_limits(draft, context),
        *_check_quotas(draft),
        *_check_number(draft, context.in_force),
    ]
    findings.sort(key=lambda item: item.severity is not Severity.ERROR)
    changes: list[str] = []
    if draft.version is not None and context.in_force is not None:
        changes = describe_changes(context.in_force, draft.version)
    return Review(tuple(findings), tuple(changes))


def describe_changes(base: Version, target: Version) -> list[str]:
    """Return one line for each entry that differs; keys are counted, not named."""
    lines = describe_delta(compute_delta(base.content, target.content))
    if base.limits != target.limits:
        lines.append("set limits")
    old, new = base.tenants, target.tenants
    old_keys, new_keys = _group_digests(old), _group_digests(new)
    lines += [
        f"remove tenant {name}" for name in old.by_name if name not in new.by_name
    ]
    for name, tenant in new.by_name.items():
        before, after = old_keys.get(name, set()), new_keys.get(name, set())
        if tenant != old.get(name) or before != after:
            added, removed = len(after - before), len(before - after)
            lines.append(f"set tenant {name} (keys: {added} added, {removed} removed)")
    return lines


def _group_digests(table: TenantTable) -> dict[str, set[bytes]]:
    """Return the digests of the keys by tenant."""
    found: dict[str, set[bytes]] = {}
    for digest, tenant in table.by_digest.items():
        found.setdefault(tenant.name, set()).add(digest)
    return found


def _error(code: ResultCode, kind: str, name: str, message: str) -> Finding:
    return Finding(Severity.ERROR, code, kind, name, message)


def _warning(code: ResultCode, kind: str, name: str, message: str) -> Finding:
    return Finding(Severity.WARNING, code, kind, name, message)


def _find_duplicates(draft: Draft) -> Iterator[Finding]:
    code = ResultCode.CONFIG_DUPLICATE
    for kind, names in (
        ("route", [route.name for route in draft.routes]),
        ("service", [service.name for service in draft.services]),
        ("tenant", [tenant.name for tenant, _ in draft.tenants]),
    ):
        for name in _repeated(names):
            yield _error(code, kind, name, "the name is used more than once")
    # Names of routes by host and prefix.
    used_names: dict[tuple[str, str], str] = {}
    # In the order in which a route table is filled: the last one stays.
    for route in sorted(draft.routes, key=lambda route: route.name, reverse=True):
        used = used_names.setdefault((route.host, route.prefix), route.name)
        if used != route.name:
            message = f"route {used} has the same host and prefix and hides it"
            yield _error(code, "route", route.name, message)


def _find_dangling(draft: Draft) -> Iterator[Finding]:
    known = {service.name for service in draft.services}
    for route in draft.routes:
        for name in _list_services(route):
            if name not in known:
                message = f"service {name} is missing"
                yield _error(ResultCode.CONFIG_DANGLING, "route", route.name, message)


def _find_unused(draft: Draft) -> Iterator[Finding]:
    code = ResultCode.CONFIG_NEVER_USED
    for route in draft.routes:
        if not route.prefix.startswith("/"):
            message = f"no path matches prefix {route.prefix!r}: it lacks the first /"
            yield _warning(code, "route", route.name, message)
        if "?" in route.prefix:
            message = f"no path matches prefix {route.prefix!r}: queries are not part"
            yield _warning(code, "route", route.name, message)
        if ":" in route.host or "*" in route.host:
            message = f"no host matches {route.host!r}: ports and patterns are not used"
            yield _warning(code, "route", route.name, message)
        for share in route.split:
            if share.weight <= 0:
                message = f"service {share.service} has weight {share.weight:g}"
                yield _warning(code, "route", route.name, message)
    used = {name for route in draft.routes for name in _list_services(route)}
    for service in draft.services:
        if service.name not in used:
            message = "no route leads to it"
            yield _warning(code, "service", service.name, message)


def _check_servers(draft: Draft, servers: dict[str, int] | None) -> Iterator[Finding]:
    if servers is None:
        return
    for service in draft.services:
        if not servers.get(service.name):
            message = "no server announces it now"
            yield _warning(
                ResultCode.CONFIG_NO_SERVER, "service", service.name, message
            )


def _check_keys(draft: Draft) -> Iterator[Finding]:
    for tenant, keys in draft.tenants:
        usable = [key for key in keys if key and key.split() == [key]]
        if not usable:
            message = "it has no key"
            yield _warning(ResultCode.CONFIG_NO_KEY, "tenant", tenant.name, message)
        if len(usable) < len(keys):
            count = len(keys) - len(usable)
            message = f"{count} keys are empty or contain a space"
            yield _error(ResultCode.CONFIG_NO_KEY, "tenant", tenant.name, message)
    names = sorted(TenantTable.from_keys(draft.tenants).names_with_shared_key)
    for name in names:
        others = ", ".join(other for other in names if other != name)
        message = f"it holds a key that another tenant holds (of: {others})"
        yield _error(ResultCode.CONFIG_SHARED_KEY, "tenant", name, message)


def _check_route_limits(draft: Draft, context: ReviewContext) -> Iterator[Finding]:
    code = ResultCode.CONFIG_LIMITS
    for route in draft.routes:
        if route.deadline_ms <= 0:
            message = f"a timeout of {route.deadline_ms} ms refuses every request"
            yield _warning(code, "route", route.name, message)
        elif route.deadline_ms < route.slo_ms:
            message = (
                f"the timeout of {route.deadline_ms} ms is below the objective of "
                f"{route.slo_ms} ms"
            )
            yield _warning(code, "route", route.name, message)
        attempts = route.max_attempts
        if attempts > context.max_attempts:
            message = f"{attempts} attempts, the budget is {context.max_attempts}"
            yield _warning(code, "route", route.name, message)
        if context.servers is not None:
            servers = context.servers
            count = sum(servers.get(name, 0) for name in _list_services(route))
            if attempts > count > 0:
                message = f"{attempts} attempts, but only {count} servers"
                yield _warning(code, "route", route.name, message)


def _check_quotas(draft: Draft) -> Iterator[Finding]:
    code = ResultCode.CONFIG_LIMITS
    for tenant, _ in draft.tenants:
        rate, burst = tenant.rate, tenant.burst
        message = ""
        if not rate and burst:
            message = (
                f"a rate of 0 is no limit, so the burst of {burst:g} has no effect"
            )
        elif rate and burst < 1:
            message = (
                f"the quota of {rate:g}/s has a burst of {burst:g}, below 1 request"
            )
        if message:
            yield _warning(code, "tenant", tenant.name, message)


def _check_number(draft: Draft, in_force: Version | None) -> Iterator[Finding]:
    if draft.version is None or in_force is None:
        return
    same = draft.version.stamp.digest == in_force.stamp.digest
    if draft.version.number <= in_force.number and not same:
        message = f"version {draft.version.number}, in force is {in_force.number}"
        yield _error(ResultCode.CONFIG_NOT_NEWER, "", "", message)


def _list_services(route: Route) -> tuple[str, ...]:
    return tuple(share.service for share in route.split) or (route.service,)


def _repeated(names: Iterable[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]
