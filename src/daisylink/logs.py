"""Logs: one short line for each event, with a fixed prefix for each part."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]: <9} {message}"


def get_logger(part: str) -> "Logger":
    """Return the logger of one part, whose lines begin with the part's name."""
    return logger.bind(part=part)


def set_up_logs(level: str) -> None:
    """Write log lines of a level and above to standard error.

    :param level: ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    """
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(sys.stderr, level=level.upper(), format=FORMAT)
