"""Datagrams between the nodes of a service and the controller of rollouts."""

import msgspec

from daisylink.rollout._evidence import KindCounts


class EvidenceReport(msgspec.Struct, array_like=True):
    """What the node beside a server has counted since the order.

    :param order: number of the store's revision of the order.
    :param start: instance and birth of the server, which distinguish its starts.
    :param since: when the node began with this server, by its own clock; tells the
        process from an earlier one, whose counts are lost.
    :param step: step that the node has in force.
    :param sent_at: when the report was sent, by the clock of its node.
    :param running: requests that hold a slot of the server or wait for one.
    :param admitted: requests admitted to a server of the target version.
    :param limit: highest number of them that the node was allowed.
    :param kinds: totals by kind; a report may have those of some kinds only.
    :param is_cold: whether the server is slow because it has just started.
    """

    service: str
    order: int
    node: str
    start: tuple[str, int]
    version: str
    since: float
    step: str
    sent_at: float
    running: int
    admitted: int = 0
    limit: int = 0
    is_cold: bool = False
    kinds: dict[str, KindCounts] = {}

    @property
    def server(self) -> str:
        """Return what identifies the server and the process that counts."""
        return f"{self.node} {self.start[0]} {self.start[1]} {self.since:.3f}"


class EvidenceReply(msgspec.Struct, array_like=True):
    """The controller's reply to a report.

    :param sent_at: time of the report that it answers, by the clock of its node.
    :param limit: how many requests the node may admit to its target server in all, -1
        for any number.
    """

    service: str
    order: int
    start: tuple[str, int]
    step: str
    sent_at: float
    limit: int
