"""Log lines of store calls that fail."""

from typing import Any

from daisylink.errors import PlatformError
from daisylink.logs import get_logger

log = get_logger("store")


def log_failure(call: Any, error: PlatformError, had_failed: bool) -> None:
    """Log that a call failed, in full only the first of several in a row.

    :param had_failed: whether the call before it failed too.
    """
    bound_log = log.bind(call=type(call).__name__, code=int(error.code))
    if had_failed:
        bound_log.debug("store call failed again: {}", error.message)
    else:
        bound_log.warning("store call failed: {}", error.message)


def log_unexpected(call: Any) -> None:
    """Log an error that no call should raise; the call counts as failed."""
    name = type(call).__name__
    log.bind(call=name).exception("a store call could not be handled")
