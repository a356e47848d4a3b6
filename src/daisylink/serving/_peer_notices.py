"""What backend servers beside other nodes have said of themselves to this node.

A node that starts again knows nothing of what its server has said. The nodes that have
passed it on are bound by it all the same, so they remember it and tell the new process.
"""

from daisylink.request import NO_NOTICE, ServerNotice
from daisylink.serving._records import MemberRecord, ServerStart

# More than the nodes of a large fleet with their servers' recent starts.
MAX_NODES = 10_000


class PeerNotices:
    """The last notice of each node's backend server, for its present start."""

    def __init__(self):
        self.starts: dict[str, ServerStart] = {}
        self.notices: dict[str, ServerNotice] = {}

    def record(self, record: MemberRecord, notice: ServerNotice) -> bool:
        """Record the notice of a response; return whether it says something new.

        A server that has said that it leaves never takes that back.

        :param record: record of the node when the request was sent to it.
        """
        previous = self._find(record)
        if notice == previous:
            return False
        limit = notice.limit
        if notice.is_malformed and limit is None:
            limit = previous.limit
        is_leaving = notice.is_leaving or previous.is_leaving
        updated = ServerNotice(limit, is_leaving)
        if updated == previous:
            return False
        self._store(record, updated)
        return True

    def get_limit(self, record: MemberRecord) -> float | None:
        """Return the limit of a node's server, None if none is known."""
        return self._find(record).limit

    def is_leaving(self, record: MemberRecord) -> bool:
        """Return whether a node's server has said that it leaves."""
        return self._find(record).is_leaving

    def _find(self, record: MemberRecord) -> ServerNotice:
        if self.starts.get(record.node) != record.server_start:
            return NO_NOTICE
        return self.notices[record.node]

    def _store(self, record: MemberRecord, notice: ServerNotice) -> None:
        node = record.node
        self.starts.pop(node, None)
        self.notices.pop(node, None)
        if len(self.starts) >= MAX_NODES:
            oldest = next(iter(self.starts))
            del self.starts[oldest], self.notices[oldest]
        self.starts[node] = record.server_start
        self.notices[node] = notice
