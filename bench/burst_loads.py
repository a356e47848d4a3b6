"""Loads of :mod:`bench.burst`."""

from typing import NamedTuple

from daisylink.version import Priority

# Seconds since the start of the simulation, except the duration.
BURST_FROM = 10.0
BURST_SECONDS = 5.0
END = 30.0


class Kind(NamedTuple):
    """A kind of request.

    :param per_second: arrivals a second before the burst.
    :param seconds: mean work in a slot.
    :param spread: standard deviation of the work, relative to its mean.
    :param limit: seconds that callers state on a first attempt.
    :param timeout: the route's, in seconds.
    :param objective: the route's, in seconds.
    :param burst: factor of the arrivals during the burst.
    :param calls: kind of the call that the request makes after its own work, "" for
        none; its slot is held until the call has ended.
    """

    name: str
    pool: str
    per_second: float
    seconds: float
    spread: float
    limit: float
    timeout: float
    objective: float
    priority: Priority
    burst: float = 1.0
    calls: str = ""


class Load(NamedTuple):
    """Kinds of requests, and the pools that serve them.

    :param pools: by pool, the number of servers and the slots of each.
    """

    kinds: tuple[Kind, ...]
    pools: dict[str, tuple[int, int]]


LOADS = {
    "returning": Load(
        (
            Kind(
                "view", "p", 256.0, 0.1, 0.5, 4.0, 2.0, 1.0, Priority.NORMAL, burst=2.5
            ),
        ),
        {"p": (8, 4)},
    ),
    "feed": Load(
        (
            Kind(
                "page",
                "a",
                125.0,
                0.1,
                0.5,
                4.0,
                2.0,
                1.0,
                Priority.URGENT,
                calls="lookup",
            ),
            Kind("feed", "b", 17.2, 0.8, 0.5, 8.0, 6.0, 4.0, Priority.BULK, burst=2.6),
            Kind("lookup", "b", 0.0, 0.08, 0.5, 2.0, 1.0, 0.3, Priority.NORMAL),
        ),
        {"a": (12, 4), "b": (10, 3)},
    ),
}
