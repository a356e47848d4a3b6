"""Logs: one short line for each event, with a fixed prefix for each part.

Programs on the users' platform write JSON lines instead, bounded in number.
"""

import os
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

# Lines below INFO tell of requests that went well; they give way first.
ROUTINE_LINES_PER_SECOND = 20.0
ROUTINE_RESERVE = 40.0
OTHER_LINES_PER_SECOND = 60.0
OTHER_RESERVE = 300.0
FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]: <9} {message}"


def get_logger(part: str) -> "Logger":
    """Return the logger of one part, whose lines begin with the part's name."""
    return logger.bind(part=part)


def configure_logging(level: str) -> None:
    """Write log lines of a level and above to standard error.

    :param level: ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    """
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(sys.stderr, level=level.upper(), format=FORMAT)


class LineRateLimiter:
    """Bounds log lines: so many a second, with a reserve for bursts.

    :param lines_per_second: lines that each second allows.
    :param burst_lines: lines that can be saved up.
    """

    def __init__(self, lines_per_second: float, burst_lines: float):
        self.lines_per_second = lines_per_second
        self.burst_lines = burst_lines
        self.tokens = burst_lines
        self.filled_at = time.monotonic()
        self.dropped = 0

    def try_acquire(self) -> bool:
        """Return whether a line may be written; count it as left out if not."""
        now = time.monotonic()
        gained = (now - self.filled_at) * self.lines_per_second
        self.filled_at = now
        self.tokens = min(self.burst_lines, self.tokens + gained)
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


class JsonSink:
    """Writes records as JSON lines to a descriptor, without ever waiting.

    Lines beyond the budget, or that the reader of the descriptor has no room for, are
    left out, and the next line says how many.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.budgets = {
            "routine": LineRateLimiter(ROUTINE_LINES_PER_SECOND, ROUTINE_RESERVE),
            "other": LineRateLimiter(OTHER_LINES_PER_SECOND, OTHER_RESERVE),
        }
        self.rest = b""
        os.set_blocking(descriptor, False)

    def __call__(self, message) -> None:
        """Write one record."""
        record = message.record
        extra = record["extra"]
        routine = record["level"].no < logger.level("INFO").no
        budget = self.budgets["routine" if routine else "other"]
        if not budget.try_acquire():
            return
        line = {
            "at": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            **extra,
            "event": record["message"],
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        if budget.dropped:
            line["lines_left_out"] = budget.dropped
            budget.dropped = 0
        self._write(msgspec.json.encode(line) + b"\n", budget)

    def _write(self, data: bytes, budget: LineRateLimiter) -> None:
        """Write a line, after the rest of one that was written in part."""
        try:
            if self.rest:
                done = os.write(self.descriptor, self.rest)
                self.rest = self.rest[done:]
            if self.rest:
                budget.dropped += 1
                return
            done = os.write(self.descriptor, data)
            self.rest = data[done:]
        except BlockingIOError:
            budget.dropped += 1
        except OSError:
            # The reader is gone; there is nowhere left to tell it.
            budget.dropped += 1


def configure_json_logging(level: str = "DEBUG") -> None:
    """Write records of a level and above to standard output as JSON lines."""
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(JsonSink(sys.stdout.fileno()), level=level, format="{message}")
