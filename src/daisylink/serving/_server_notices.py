"""Acts on what backend servers say of themselves in their responses.

Only the node beside a server speaks to it, so that node holds the server's whole limit
and ends its service when it leaves. Each node that has passed on a response is bound by
what it said too, whatever the other node forgets.
"""

from collections.abc import Callable

from daisylink.request import ServerNotice, ToldLimit
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.serving._local_server import LocalServer
from daisylink.serving._metrics import Metrics
from daisylink.serving._own_server_notice import OwnServerNotice
from daisylink.serving._records import MemberRecord, ServerStart


class ServerNotices:
    """Notices of the local backend server and of those beside other nodes.

    :param on_limit: called with a new limit of the local server, None if it ended.
    :param on_leaving: called after the local server has said that it leaves.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        local_server: LocalServer,
        metrics: Metrics,
        on_limit: Callable[[float | None], None],
        on_leaving: Callable[[], None],
    ):
        self.balancer = balancer
        self.local_server = local_server
        self.own = OwnServerNotice(metrics)
        self.on_limit = on_limit
        self.on_leaving = on_leaving

    @property
    def own_start(self) -> ServerStart:
        """Return the present start of the local backend server."""
        return self.balancer.directory.own_record.server_start

    def update_own_start(self) -> None:
        """Forget what an earlier start of the local server has said."""
        if self.own.expect(self.own_start):
            self.on_limit(self.own.limit)

    def record_own(self, record: MemberRecord, notice: ServerNotice) -> None:
        """Record what the local backend server says of itself.

        :param record: this node's record when the request was sent.
        """
        start = record.server_start
        if notice.is_leaving and self.local_server.handle_leaving_response(start):
            self.on_leaving()
        if start == self.own_start and self.own.handle(start, notice):
            self.on_limit(self.own.limit)

    def record_told_limit(self, told: ToldLimit) -> None:
        """Record what another node knows of the local backend server's limit."""
        if ServerStart(told.instance, told.born) != self.own_start:
            return
        if self.own.handle_told_limit(told.rate):
            self.on_limit(self.own.limit)

    def record_peer(self, record: MemberRecord, notice: ServerNotice) -> None:
        """Record what another node's backend server says of itself.

        :param record: record of the node when the request was sent to it.
        """
        if self.balancer.peer_notices.record(record, notice):
            self.balancer.invalidate_candidates()

    def find_told_limit(self, record: MemberRecord) -> ToldLimit | None:
        """Return the limit of a node's server that its responses told this node."""
        limit = self.balancer.peer_notices.get_limit(record)
        return None if limit is None else ToldLimit(limit, *record.server_start)
