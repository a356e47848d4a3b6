"""Durations, version numbers and ranks as the platform writes them."""

from datetime import timedelta

from daisylink.version import Priority

# By rank from 0, the most urgent; all higher ranks are bulk.
PRIORITIES = (Priority.URGENT, Priority.NORMAL)


def parse_duration(text: str) -> timedelta:
    """Return a duration written as a number with ``ms`` or ``s``.

    :raises ValueError: if it is not one.
    """
    if text.endswith("ms"):
        return timedelta(milliseconds=float(text[:-2]))
    if text.endswith("s"):
        return timedelta(seconds=float(text[:-1]))
    raise ValueError(f"{text!r} is not a time")


def format_duration(value: timedelta) -> str:
    """Return a duration in whole milliseconds with the unit ``ms``."""
    return f"{round(value.total_seconds() * 1000)}ms"


def parse_version(text: str) -> int:
    """Return the number of a version written as ``r`` and its number.

    :raises ValueError: if it is not one.
    """
    if not text.startswith("r"):
        raise ValueError(f"{text!r} is not a version")
    return int(text[1:])


def rank_priority(rank: int) -> Priority:
    """Return the priority of a rank, 0 the most urgent."""
    rank = max(0, rank)
    return PRIORITIES[rank] if rank < len(PRIORITIES) else Priority.BULK
