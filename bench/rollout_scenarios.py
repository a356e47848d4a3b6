"""Scenarios of :mod:`bench.rollout_drill`: good versions and bad ones."""

from dataclasses import dataclass, replace

# Servers of each version.
SERVERS = 24


@dataclass(frozen=True)
class Scenario:
    """What happens in a run.

    :param bad: ``fail``, ``slow`` or "" for a good version.
    :param onset: seconds after its start at which a server becomes bad.
    :param bad_share: share of its requests that fail or are slow.
    :param bad_kind: the only kind that is bad, "" for all.
    :param only_loaded: whether it is bad only with nearly all slots in use.
    :param grey: what a tenth of the old servers do, ``fail`` or ``slow``.
    :param load: requests, relative to the usual ones.
    :param start_spread: seconds over which the new servers start, one by one.
    :param started: new servers that ever start.
    :param kill_at: seconds after the order at which the controller is killed.
    :param loss: share of the datagrams that is lost.
    :param duration: time limit of the rollout in seconds.
    :param speed_spread: largest ratio of two servers' run times.
    """

    bad: str = ""
    onset: float = 0.0
    bad_share: float = 0.5
    bad_kind: str = ""
    only_loaded: bool = False
    grey: str = ""
    load: float = 1.0
    start_spread: float = 1.0
    started: int = SERVERS
    kill_at: float = float("inf")
    loss: float = 0.0
    duration: float = 12.0
    speed_spread: float = 2.0


GOOD = {
    "calm": Scenario(),
    "16 s": Scenario(duration=16.0),
    "old servers fail": Scenario(grey="fail"),
    "old servers slow": Scenario(grey="slow"),
    "1.5 times capacity": Scenario(load=2.7),
    "speeds differ 3 times": Scenario(speed_spread=3.0),
    "starts over 4 s": Scenario(start_spread=4.0),
    "2 % lost": Scenario(loss=0.02),
    "3 never start": Scenario(started=21),
    "killed at 3 s": Scenario(kill_at=3.0),
    "killed at 5 s": Scenario(kill_at=5.0),
    "killed at 5 s of 16 s": Scenario(kill_at=5.0, duration=16.0),
}
BAD = {}
for _bad in ("fail", "slow"):
    _base = Scenario(bad=_bad)
    BAD |= {
        f"{_bad} at once": _base,
        f"{_bad} after 2 s": replace(_base, onset=2.0),
        f"{_bad} after 5 s": replace(_base, onset=5.0),
        f"{_bad} on kind a": replace(_base, bad_kind="a"),
        f"{_bad} on kind c": replace(_base, bad_kind="c"),
        f"{_bad} on kind d": replace(_base, bad_kind="d"),
        f"{_bad} on kind e": replace(_base, bad_kind="e"),
        f"{_bad} loaded": replace(_base, only_loaded=True),
        f"{_bad}, 2 % lost": replace(_base, loss=0.02),
        f"{_bad}, killed at 2 s": replace(_base, kill_at=2.0),
        f"{_bad} after 2 s, killed at 4 s": replace(_base, onset=2.0, kill_at=4.0),
        f"{_bad}, overload": replace(_base, load=2.7),
    }
