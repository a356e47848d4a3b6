"""Result codes and exceptions.

Every failure that an operator or a caller can see carries a :class:`ResultCode`. The
table in ``docs/CODES.md`` is generated from this module.
"""

from enum import IntEnum

from daisylink._configuration_codes import CONFIGURATION_CODES, CodeInfo


class ResultCode(IntEnum):
    """Result codes: 10xx sheet, 11xx configuration, 2xxx acceptance, 3xxx platform,
    4xxx settings, 5xxx requests, 6xxx nodes.
    """  # noqa: D205

    OK = 0

    SHEET_EMPTY = 1001
    SHEET_NOT_UTF8 = 1002
    SHEET_HEADER = 1003
    SHEET_TRUNCATED = 1004
    SHEET_ROW_SHAPE = 1005
    SHEET_KIND = 1006
    SHEET_VALUE = 1007
    SHEET_DUPLICATE = 1008
    SHEET_DANGLING = 1009
    SHEET_TOO_LARGE = 1010
    SHEET_UNREADABLE = 1011

    CONFIG_UNREADABLE = 1101
    CONFIG_ENTRY = 1102
    CONFIG_DANGLING = 1103
    CONFIG_DUPLICATE = 1104
    CONFIG_NEVER_USED = 1105
    CONFIG_NO_SERVER = 1106
    CONFIG_NO_KEY = 1107
    CONFIG_SHARED_KEY = 1108
    CONFIG_LIMITS = 1109
    CONFIG_NOT_NEWER = 1110

    ACCEPT_CONFLICT = 2001
    ACCEPT_UNSETTLED = 2002
    ACCEPT_UNCHANGED = 2003
    VERSION_UNKNOWN = 2004
    VERSION_CORRUPT = 2005
    VERSION_NOT_CLOSED = 2006
    VERSION_NOT_NEWER = 2007
    VERSION_BASE_MISMATCH = 2008
    WAIT_TIMEOUT = 2009

    PLATFORM_UNAVAILABLE = 3001
    PLATFORM_ANSWER_LOST = 3002
    PLATFORM_LIMITED = 3003
    PLATFORM_VALUE_TOO_LARGE = 3004
    PLATFORM_HISTORY_GONE = 3005
    PLATFORM_LEASE_ENDED = 3006
    PLATFORM_CONFLICT = 3007
    PLATFORM_ERA_INVALID = 3008

    SETTING_INVALID = 4001
    SETTING_ADDRESS_IN_USE = 4002

    REQUEST_MALFORMED = 5001
    REQUEST_HEAD_TOO_LARGE = 5002
    REQUEST_BODY_TOO_LARGE = 5003
    REQUEST_CALLER_TOO_SLOW = 5004
    REQUEST_NO_ROUTE = 5005
    REQUEST_METHOD = 5006
    REQUEST_NOT_READY = 5007
    REQUEST_NO_SERVER = 5008
    REQUEST_OVERLOADED = 5009
    REQUEST_DRAINING = 5010
    REQUEST_DEADLINE_NOT_RUN = 5011
    REQUEST_DEADLINE_UNKNOWN = 5012
    REQUEST_ANSWER_LOST = 5013
    REQUEST_CONNECT_FAILED = 5014
    REQUEST_SHED_BY_SERVER = 5015
    REQUEST_STOPPING = 5016
    REQUEST_WRONG_NODE = 5017
    REQUEST_TOO_DEEP = 5018
    REQUEST_KEY_UNSETTLED = 5019
    REQUEST_KEY_RUNNING = 5020
    REQUEST_KEY_DONE = 5021
    REQUEST_QUARANTINED = 5022
    REQUEST_RATE_LIMITED = 5023
    REQUEST_NO_FREE_SLOT = 5024
    REQUEST_API_KEY_MISSING = 5025
    REQUEST_API_KEY_UNKNOWN = 5026
    REQUEST_OVER_QUOTA = 5027
    REQUEST_VERSION_HELD = 5028

    NODE_NOT_READY = 6001
    NODE_BUSY = 6002
    NODE_UNREACHABLE = 6003
    ANNOUNCE_INVALID = 6004
    ADMIN_NOT_FOUND = 6005
    LEAVE_NOT_STORED = 6006


CODE_TABLE: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo("Done.", "None."),
    ResultCode.SHEET_EMPTY: CodeInfo("The sheet holds no row.", "Export it again."),
    ResultCode.SHEET_NOT_UTF8: CodeInfo(
        "The sheet is not UTF-8 text.", "Export it as UTF-8."
    ),
    ResultCode.SHEET_HEADER: CodeInfo(
        "A column is missing, unknown or named twice.", "Compare with `examples/`."
    ),
    ResultCode.SHEET_TRUNCATED: CodeInfo(
        "The `end` row is missing or its count differs.", "Export it again, whole."
    ),
    ResultCode.SHEET_ROW_SHAPE: CodeInfo(
        "A row has too few or too many cells, or text after the `end` row.",
        "Mend the row.",
    ),
    ResultCode.SHEET_KIND: CodeInfo("A row's kind is unknown.", "Mend the cell."),
    ResultCode.SHEET_VALUE: CodeInfo(
        "A cell's value is not allowed.", "Mend the cell."
    ),
    ResultCode.SHEET_DUPLICATE: CodeInfo(
        "A name, or a route's host and prefix, stands twice.", "Remove one row."
    ),
    ResultCode.SHEET_DANGLING: CodeInfo(
        "A route or service names something the sheet lacks.",
        "Add it or mend the name.",
    ),
    ResultCode.SHEET_TOO_LARGE: CodeInfo(
        "The version would pass the size limit.", "Split the deployment."
    ),
    ResultCode.SHEET_UNREADABLE: CodeInfo(
        "The file cannot be read.", "Check the path."
    ),
    **{ResultCode(number): info for number, info in CONFIGURATION_CODES.items()},
    ResultCode.ACCEPT_CONFLICT: CodeInfo(
        "Another version was accepted meanwhile; nothing was changed.",
        "Look at the changes printed, then accept again.",
    ),
    ResultCode.ACCEPT_UNSETTLED: CodeInfo(
        "The platform cannot be read, so the outcome is not known yet.",
        "Run `daisylinkctl history`; accepting again is safe.",
    ),
    ResultCode.ACCEPT_UNCHANGED: CodeInfo(
        "The sheet equals the version in force; no new version was made.", "None."
    ),
    ResultCode.VERSION_UNKNOWN: CodeInfo(
        "No such version is kept.", "See `daisylinkctl history`."
    ),
    ResultCode.VERSION_CORRUPT: CodeInfo(
        "A version's bytes do not match its digest; it was not installed.",
        "The node asks another source by itself.",
    ),
    ResultCode.VERSION_NOT_CLOSED: CodeInfo(
        "A version's routes point at something it lacks; it was not installed.",
        "Accept a whole sheet.",
    ),
    ResultCode.VERSION_NOT_NEWER: CodeInfo(
        "A version is not newer than the one in force; it was ignored.", "None."
    ),
    ResultCode.VERSION_BASE_MISMATCH: CodeInfo(
        "A delta's base differs from the version in force.",
        "The node fetches a snapshot by itself.",
    ),
    ResultCode.WAIT_TIMEOUT: CodeInfo(
        "Not every live node routes by the version yet.", "See `daisylinkctl status`."
    ),
    ResultCode.PLATFORM_UNAVAILABLE: CodeInfo(
        "The platform's key-value service cannot be reached.",
        "Calls go on by the version in force; try again later.",
    ),
    ResultCode.PLATFORM_ANSWER_LOST: CodeInfo(
        "The platform's answer was lost; the write may have taken effect.",
        "Settled by reading.",
    ),
    ResultCode.PLATFORM_LIMITED: CodeInfo(
        "The platform refused a call over its rate limit.", "Retried with a delay."
    ),
    ResultCode.PLATFORM_VALUE_TOO_LARGE: CodeInfo(
        "A value passes the platform's limit.", "Report it: versions are split."
    ),
    ResultCode.PLATFORM_HISTORY_GONE: CodeInfo(
        "The platform no longer keeps the changes asked for.", "All keys are read anew."
    ),
    ResultCode.PLATFORM_LEASE_ENDED: CodeInfo(
        "The lease has ended, and its keys with it.", "A new lease is taken by itself."
    ),
    ResultCode.PLATFORM_CONFLICT: CodeInfo(
        "A key was changed by another writer; nothing was written.", "Read and decide."
    ),
    ResultCode.PLATFORM_ERA_INVALID: CodeInfo(
        "A response of the platform states no era, or an older one; it was not used.",
        "Asked again by itself; look at the platform if it goes on.",
    ),
    ResultCode.SETTING_INVALID: CodeInfo(
        "A flag or environment variable is not valid.", "Mend the named setting."
    ),
    ResultCode.SETTING_ADDRESS_IN_USE: CodeInfo(
        "A listening address cannot be bound.", "Choose another address."
    ),
    ResultCode.REQUEST_MALFORMED: CodeInfo(
        "The request is not well-formed HTTP/1.1, or its length is ambiguous.",
        "Mend the caller.",
    ),
    ResultCode.REQUEST_HEAD_TOO_LARGE: CodeInfo(
        "The request's head passes the limit.", "Send fewer or shorter headers."
    ),
    ResultCode.REQUEST_BODY_TOO_LARGE: CodeInfo(
        "The request's body passes the route's limit.", "Send less, or raise the limit."
    ),
    ResultCode.REQUEST_CALLER_TOO_SLOW: CodeInfo(
        "The caller sent its request too slowly.", "Send it again."
    ),
    ResultCode.REQUEST_NO_ROUTE: CodeInfo(
        "No route of the version matches host and path.", "Check the sheet."
    ),
    ResultCode.REQUEST_METHOD: CodeInfo(
        "The route does not allow the method.", "Check the sheet."
    ),
    ResultCode.REQUEST_NOT_READY: CodeInfo(
        "The node has no version yet.", "Come back after the stated time."
    ),
    ResultCode.REQUEST_NO_SERVER: CodeInfo(
        "No backend server of the pool takes work.", "Come back after the stated time."
    ),
    ResultCode.REQUEST_OVERLOADED: CodeInfo(
        "Slots and queue are full.", "Come back after the stated time."
    ),
    ResultCode.REQUEST_DRAINING: CodeInfo(
        "The backend server is leaving.", "Tried elsewhere by the entry node."
    ),
    ResultCode.REQUEST_DEADLINE_NOT_RUN: CodeInfo(
        "The deadline could not be met before the request reached a backend server.",
        "Safe to send again.",
    ),
    ResultCode.REQUEST_DEADLINE_UNKNOWN: CodeInfo(
        "The deadline passed while a backend server may have been running it.",
        "Find out before sending a non-idempotent request again.",
    ),
    ResultCode.REQUEST_ANSWER_LOST: CodeInfo(
        "The next hop went away after it may have begun the request.",
        "Find out before sending a non-idempotent request again.",
    ),
    ResultCode.REQUEST_CONNECT_FAILED: CodeInfo(
        "No connection to the next hop could be opened.", "Safe to send again."
    ),
    ResultCode.REQUEST_SHED_BY_SERVER: CodeInfo(
        "The backend server refused the request unrun.", "Safe to send again."
    ),
    ResultCode.REQUEST_STOPPING: CodeInfo(
        "The node is stopping.", "Send it to another node."
    ),
    ResultCode.REQUEST_WRONG_NODE: CodeInfo(
        "The node's own backend server is not of the pool asked for.",
        "Tried elsewhere by the entry node.",
    ),
    ResultCode.REQUEST_TOO_DEEP: CodeInfo(
        "The request passed through too many calls.", "Look for a loop of services."
    ),
    ResultCode.REQUEST_KEY_UNSETTLED: CodeInfo(
        "No majority of the key's keepers answered, so the request was not run.",
        "Come back after the stated time with the same key.",
    ),
    ResultCode.REQUEST_KEY_RUNNING: CodeInfo(
        "A request with this key was begun before; its answer is not known yet.",
        "Come back after the stated time with the same key; it is never run twice.",
    ),
    ResultCode.REQUEST_KEY_DONE: CodeInfo(
        "A request with this key ran and was answered; the answer is no longer kept.",
        "Do not send it again.",
    ),
    ResultCode.REQUEST_QUARANTINED: CodeInfo(
        "This very request was in flight when two or more backend servers crashed.",
        "Look at the request; it is refused until the stated time.",
    ),
    ResultCode.REQUEST_RATE_LIMITED: CodeInfo(
        "The backend server limits its rate, and no turn comes in time.",
        "Come back after the stated time.",
    ),
    ResultCode.REQUEST_NO_FREE_SLOT: CodeInfo(
        "No slot is free at the backend server, and the request goes elsewhere.",
        "Nothing to do; seen between nodes and in the trail of a request.",
    ),
    ResultCode.REQUEST_API_KEY_MISSING: CodeInfo(
        "The route needs an API key, and the request carries none.",
        "Send `Authorization: Bearer KEY`.",
    ),
    ResultCode.REQUEST_API_KEY_UNKNOWN: CodeInfo(
        "The request's API key is malformed, or no tenant of the version holds it.",
        "Check the key; a new one is valid once its version is in force.",
    ),
    ResultCode.REQUEST_OVER_QUOTA: CodeInfo(
        "The tenant's requests exceed its quota.",
        "Come back after the stated time, or raise the tenant's quota.",
    ),
    ResultCode.REQUEST_VERSION_HELD: CodeInfo(
        "The server's version gets no more requests at this step of a rollout.",
        "Nothing to do; seen between nodes and in the trail of a request.",
    ),
    ResultCode.NODE_NOT_READY: CodeInfo(
        "The node has not caught up with its peers.", "Wait."
    ),
    ResultCode.NODE_BUSY: CodeInfo(
        "The node rations snapshots.", "Retried after the stated time."
    ),
    ResultCode.NODE_UNREACHABLE: CodeInfo(
        "No node answers on the control address.", "Check `--node` or the platform."
    ),
    ResultCode.ANNOUNCE_INVALID: CodeInfo(
        "A backend server's announcement is not valid.", "Mend the named field."
    ),
    ResultCode.ADMIN_NOT_FOUND: CodeInfo(
        "The admin listener has no such path.", "See `docs/OPERATIONS.md`."
    ),
    ResultCode.LEAVE_NOT_STORED: CodeInfo(
        "The platform has not stored in time that a backend server leaves; it gets no "
        "new requests.",
        "The server asks again by itself; look at the platform.",
    ),
}


class DaisylinkError(Exception):
    """Base of all errors raised by daisylink.

    :param message: one short sentence.
    :param code: result code; that of the class by default.
    """

    code = ResultCode.OK

    def __init__(self, message: str, code: ResultCode | None = None):
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __str__(self) -> str:
        return f"[{int(self.code)}] {self.message}"


class SheetError(DaisylinkError):
    """A sheet is not valid."""

    code = ResultCode.SHEET_VALUE


class VersionError(DaisylinkError):
    """A version cannot be built, decoded or installed."""

    code = ResultCode.VERSION_CORRUPT


class AcceptanceError(DaisylinkError):
    """A version was not accepted, or the outcome of its acceptance is unknown."""

    code = ResultCode.ACCEPT_CONFLICT


class PlatformError(DaisylinkError):
    """A call to the platform's key-value service failed."""

    code = ResultCode.PLATFORM_UNAVAILABLE


class SettingError(DaisylinkError):
    """A setting is not valid."""

    code = ResultCode.SETTING_INVALID


class RequestError(DaisylinkError):
    """A caller's request cannot be served."""

    code = ResultCode.REQUEST_MALFORMED


class NodeError(DaisylinkError):
    """A node refused a control message or did not respond to it."""

    code = ResultCode.NODE_UNREACHABLE


class CallError(DaisylinkError):
    """A call to another process got no response.

    :param was_sent: whether the request may have been sent, and so carried out.
    """

    code = ResultCode.NODE_UNREACHABLE

    def __init__(self, message: str, was_sent: bool):
        super().__init__(message)
        self.was_sent = was_sent


def format_code_table() -> str:
    """Return the table of result codes in Markdown."""
    lines = ["| code | name | meaning | what to do |", "| --- | --- | --- | --- |"]
    for code, info in CODE_TABLE.items():
        lines.append(
            f"| {int(code)} | `{code.name}` | {info.meaning} | {info.advice} |"
        )
    return "\n".join(lines)
