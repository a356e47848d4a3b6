"""Bounds the label values of the metrics by tenant."""

from daisylink.errors import ResultCode

# Each label value has up to six series. The specification has 82 tenants.
MAX_TENANT_LABELS = 128
NO_TENANT_LABEL = ""
OTHER_LABEL = "_other"
REFUSED = "refused"
UNAUTHORIZED = "unauthorized"
ENDED = frozenset({"ok", "error", "cancelled", "cut"})
UNAUTHORIZED_CODES = frozenset(
    str(int(code))
    for code in (
        ResultCode.REQUEST_API_KEY_MISSING,
        ResultCode.REQUEST_API_KEY_UNKNOWN,
    )
)


class TenantLabels:
    """Label values of tenants: the names seen first, then one for all others.

    A tenant with more requests is seen earlier, so that the largest have their own.

    :param max_labels: maximum number of names with a value of their own.
    """

    def __init__(self, max_labels: int = MAX_TENANT_LABELS):
        self.max_labels = max_labels
        self.names: set[str] = set()

    def find(self, name: str) -> str:
        """Return the label value of a tenant.

        :param name: name of the tenant, "" for none.
        """
        if not name or name in self.names:
            return name
        if len(self.names) >= self.max_labels:
            return OTHER_LABEL
        self.names.add(name)
        return name


def classify_outcome(code: str) -> str:
    """Return the label value of an outcome.

    :param code: ``ok``, ``error``, ``cancelled``, ``cut`` or a result code.
    """
    if code in ENDED:
        return code
    return UNAUTHORIZED if code in UNAUTHORIZED_CODES else REFUSED
