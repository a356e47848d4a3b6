"""How many requests the servers of an unjudged version may run, in all and each.

What is granted counts, whether it is used or not. Grants are made out of a ceiling that
the store holds, so that a controller that takes over counts all of it as granted and
need not hear from every node.
"""

import math
from typing import NamedTuple


class ExposureSettings(NamedTuple):
    """Bounds on the requests that an unjudged version gets.

    :param share: of the service's requests since the order.
    :param slack: requests beyond that share.
    :param margin: requests of the slack that are not granted, as some are in flight
        when the version is judged.
    :param chunk: requests by which the ceiling is raised, about those of a second.
    :param min_raise: smallest raise, as each is a write to the store.
    """

    share: float = 0.1
    slack: int = 50
    margin: int = 8
    chunk: int = 42
    min_raise: int = 16


class Exposure:
    """Grants requests to servers, as totals since the order.

    :param ceiling: what the store holds as granted, all of which may have been.
    """

    def __init__(self, settings: ExposureSettings, ceiling: int):
        self.settings = settings
        self.ceiling = ceiling
        self.granted = ceiling
        self.limits: dict[str, int] = {}

    def learn(self, server: str, limit: int) -> None:
        """Note what a server was granted by an earlier controller."""
        self.limits[server] = max(limit, self.limits.get(server, 0))

    def find_ceiling(self, requests: float) -> int:
        """Return the ceiling that is due: the present one or a higher one.

        :param requests: the service's requests since the order.
        """
        settings = self.settings
        if self.ceiling - self.granted > settings.chunk // 2:
            return self.ceiling
        bound = settings.share * requests + settings.slack - settings.margin
        ceiling = min(math.floor(bound), self.granted + settings.chunk)
        is_worth_a_write = ceiling >= self.ceiling + settings.min_raise
        return ceiling if is_worth_a_write else self.ceiling

    def grant(self, server: str, admitted: int, wanted: int) -> int:
        """Return how many requests a server may run in all.

        :param admitted: how many it has run.
        :param wanted: how many more it should be able to run until its next report.
        """
        limit = self.limits.get(server, 0)
        unused = max(0, limit - admitted)
        more = min(wanted - unused, self.ceiling - self.granted)
        if more > 0:
            self.granted += more
            limit += more
        self.limits[server] = limit
        return limit
