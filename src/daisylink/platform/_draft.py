"""Decodes each entry of a configuration on its own, to report all faults.

Uses the functions of the decoder, which stops at the first fault.
"""

import msgspec

from daisylink.errors import ResultCode, VersionError
from daisylink.platform._configuration import (
    SLO_PERCENT,
    CallerLimitsSpec,
    ConfigurationDocument,
    ConfigurationEntry,
    convert_limits,
    convert_route,
    decode_configuration,
    decode_entry,
    decode_services,
    find_limits,
)
from daisylink.platform._tenants import is_tenant_row, name_row, read_tenant
from daisylink.version import Draft, Finding, Service, Severity

KINDS = {"routes": "route", "services": "service", "limits": "limits"}


def read_draft(data: bytes) -> Draft:
    """Return the entries of a configuration, and the faults of damaged ones."""
    try:
        document = msgspec.json.decode(data, type=ConfigurationDocument)
    except (msgspec.MsgspecError, UnicodeError) as error:
        return Draft(
            findings=(_make_error(ResultCode.CONFIG_UNREADABLE, "", "", error),)
        )
    reader = _Reader()
    for row in document.resources:
        reader.add(bytes(row))
    version = None
    try:
        version = decode_configuration(data)
    except VersionError as error:
        if not reader.findings and error.code is not ResultCode.VERSION_NOT_CLOSED:
            code = ResultCode.CONFIG_UNREADABLE
            reader.findings.append(_make_error(code, "", "", error.message))
    return Draft(
        tuple(reader.routes),
        tuple(reader.services),
        tuple(reader.tenants),
        tuple(reader.findings),
        version,
    )


class _Reader:
    """Collects the entries of one configuration, and their faults."""

    def __init__(self):
        self.routes = []
        self.services = []
        self.tenants = []
        self.findings: list[Finding] = []

    def add(self, row: bytes) -> None:
        """Add an entry, or its fault."""
        kind = "tenant" if is_tenant_row(row) else "entry"
        try:
            if kind == "tenant":
                self.tenants.append(read_tenant(row))
                return
            resource = decode_entry(row)
            kind = KINDS.get(resource.resource_type, kind)
            self._convert(kind, resource)
        except ValueError as error:
            code = ResultCode.CONFIG_ENTRY
            self.findings.append(_make_error(code, kind, name_row(row), error))

    def _convert(self, kind: str, resource: ConfigurationEntry) -> None:
        match kind:
            case "route":
                # The limits do not matter to the findings.
                limits = CallerLimitsSpec()
                self.routes.append(convert_route(resource, limits))
            case "service":
                ((name, _),) = decode_services([resource])
                percent = SLO_PERCENT
                self.services.append(Service(name, name, 0, 0, percent))
            case "limits":
                limits = find_limits([resource])
                convert_limits(limits)


def _make_error(code: ResultCode, kind: str, name: str, error: object) -> Finding:
    return Finding(Severity.ERROR, code, kind, name, str(error))
