"""Revisions of the store for tests."""

from daisylink.registry import StoreRevision


def at(number, era=1):
    """Return a revision of an era."""
    return StoreRevision(era, number)
