"""What the local backend server says of itself in its responses."""

from daisylink.logs import get_logger
from daisylink.request import NO_NOTICE, ServerNotice
from daisylink.serving._metrics import Metrics

log = get_logger("server")


class OwnServerNotice:
    """The last notice of the local backend server, with a log line for each change.

    :param metrics: counts the notices.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.instance = ""
        self.last = NO_NOTICE

    @property
    def limit(self) -> float | None:
        """Return the server's limit in requests a second, None without one."""
        return self.last.limit

    def handle(self, instance: str, notice: ServerNotice) -> bool:
        """Handle the notice of a response; return whether it says something new.

        A limit that cannot be believed says nothing: the last one stays.

        :param instance: name of the server's start.
        """
        if instance != self.instance:
            self.forget()
            self.instance = instance
        if notice == self.last:
            return False
        if notice.is_malformed:
            self.metrics.record_server_notice("malformed")
            log.bind(instance=instance).warning("server's limit cannot be read")
            if notice.limit is None:
                notice = notice._replace(limit=self.last.limit)
            notice = notice._replace(is_malformed=False)
        previous, self.last = self.last, notice
        if notice.limit != previous.limit:
            self._log_limit(notice.limit, previous.limit)
        if notice.is_leaving and not previous.is_leaving:
            self.metrics.record_server_notice("leaving")
            log.bind(instance=instance).info("server says that it leaves")
        return notice != previous

    def forget(self) -> None:
        """Forget the last notice: the server has ended, or another one has started."""
        self.last = NO_NOTICE

    def _log_limit(self, limit: float | None, previous: float | None) -> None:
        self.metrics.record_server_notice("limit")
        bound_log = log.bind(instance=self.instance, limit=limit, previous=previous)
        if limit is None:
            bound_log.info("server names no limit any more")
        else:
            bound_log.info("server names a limit")
