"""Documentation of the result codes 11xx: what a check of a configuration finds."""

from typing import NamedTuple


class CodeInfo(NamedTuple):
    """Documentation of a result code.

    :param meaning: what happened.
    :param advice: what to do about it.
    """

    meaning: str
    advice: str


# Keyed by number: ResultCode is defined in daisylink.errors, which imports this module.
CONFIGURATION_CODES: dict[int, CodeInfo] = {
    1101: CodeInfo(
        "The configuration cannot be decoded; nodes would keep the version in force.",
        "Correct the JSON, its version or its list of entries.",
    ),
    1102: CodeInfo(
        "An entry cannot be decoded.",
        "Correct it. A tenant is left out; any other refuses the configuration.",
    ),
    1103: CodeInfo(
        "A route names a service that the configuration lacks; it would be refused.",
        "Add the service or correct the name.",
    ),
    1104: CodeInfo(
        "Two entries have one name, or two routes one host and prefix.",
        "Remove one; only one of them would be used.",
    ),
    1105: CodeInfo(
        "No request can match the entry, or its weight is 0.",
        "Remove it or correct it.",
    ),
    1106: CodeInfo(
        "No backend server announces the service now.",
        "Start its servers first, or check the name.",
    ),
    1107: CodeInfo("A tenant has no usable API key.", "Add one, or remove the tenant."),
    1108: CodeInfo(
        "Two tenants hold the same API key, which then identifies neither.",
        "Give each its own.",
    ),
    1109: CodeInfo(
        "Two limits contradict each other, or a limit admits no request.",
        "Correct the named limits.",
    ),
    1110: CodeInfo(
        "The version is not above the one in force; nodes would ignore it.",
        "Raise the version.",
    ),
}
