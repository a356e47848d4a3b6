"""What the local backend server says of itself in its responses."""

from daisylink.logs import get_logger
from daisylink.request import NO_NOTICE, ServerNotice
from daisylink.serving._metrics import Metrics
from daisylink.serving._records import ServerStart

NO_START = ServerStart("", 0)

log = get_logger("server")


class OwnServerNotice:
    """The last notice of the local backend server, with a log line for each change.

    :param metrics: counts the notices.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.start = NO_START
        self.last = NO_NOTICE
        # Whether the present start has responded to this process.
        self.is_first_hand = False

    @property
    def limit(self) -> float | None:
        """Return the server's limit in requests a second, None without one."""
        return self.last.limit

    def expect(self, start: ServerStart) -> bool:
        """Note which start runs now; return whether it is another one than before.

        What an earlier one has said does not bind it. One whose announcement has
        lapsed may return.
        """
        if start in (self.start, NO_START):
            return False
        self.start = start
        self.last = NO_NOTICE
        self.is_first_hand = False
        return True

    def handle(self, start: ServerStart, notice: ServerNotice) -> bool:
        """Handle the notice of a response; return whether it says something new.

        A limit that cannot be read says nothing: the last one stays.

        :param start: the start of the server that responded.
        """
        self.expect(start)
        self.is_first_hand = True
        if notice == self.last:
            return False
        if notice.is_malformed:
            notice = self._mend(notice)
        previous, self.last = self.last, notice
        if notice.limit != previous.limit:
            self._log_limit(notice.limit, previous.limit)
        if notice.is_leaving and not previous.is_leaving:
            self.metrics.record_server_notice("leaving")
            log.bind(instance=start.instance).info("server says that it leaves")
        return notice != previous

    def handle_told_limit(self, limit: float) -> bool:
        """Handle a limit that another node knows; return whether it is new here.

        It counts until the server itself responds: a process that has just started
        would pass a burst before that. Of several the lowest counts.
        """
        if self.is_first_hand:
            return False
        if self.limit is not None and self.limit <= limit:
            return False
        previous, self.last = self.last, ServerNotice(limit)
        self._log_limit(limit, previous.limit)
        return True

    def _mend(self, notice: ServerNotice) -> ServerNotice:
        self.metrics.record_server_notice("malformed")
        log.bind(instance=self.start.instance).warning("server's limit cannot be read")
        limit = self.last.limit if notice.limit is None else notice.limit
        return notice._replace(limit=limit, is_malformed=False)

    def _log_limit(self, limit: float | None, previous: float | None) -> None:
        self.metrics.record_server_notice("limit")
        bound_log = log.bind(
            instance=self.start.instance, limit=limit, previous=previous
        )
        if limit is None:
            bound_log.info("server names no limit any more")
        else:
            bound_log.info("server names a limit")
