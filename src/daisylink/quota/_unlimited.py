"""The quota of a node without tenants."""

from collections.abc import Callable
from typing import Any

from daisylink.quota._node_quota import Admitted, Decision


class UnlimitedQuota:
    """Admits every request."""

    def check(self, _tenant: str, _on_decision: Callable[[Decision], Any]) -> Decision:
        """Admit a request."""
        return Admitted()
