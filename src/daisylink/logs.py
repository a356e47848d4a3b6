"""Logging: one short line per event, marked with the component that logs it.

``daisylink-sidecar`` writes JSON lines instead, limited in rate.
"""

import os
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

# Lines below INFO report successful requests and have a lower limit of their own.
ROUTINE_LINES_PER_SECOND = 20.0
ROUTINE_BURST_LINES = 40.0
OTHER_LINES_PER_SECOND = 60.0
OTHER_BURST_LINES = 300.0
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]: <9} {message}"


def get_logger(part: str) -> "Logger":
    """Return the logger of a component, whose name each of its lines carries."""
    return logger.bind(part=part)


def configure_logging(level: str) -> None:
    """Write log lines of a level and above to standard error.

    :param level: ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    """
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(sys.stderr, level=level.upper(), format=TEXT_FORMAT)


class LineRateLimiter:
    """Token bucket that limits the rate of log lines.

    :param lines_per_second: sustained rate.
    :param burst_lines: size of the bucket.
    """

    def __init__(self, lines_per_second: float, burst_lines: float):
        self.lines_per_second = lines_per_second
        self.burst_lines = burst_lines
        self.tokens = burst_lines
        self.refilled_at = time.monotonic()
        self.dropped = 0

    def try_acquire(self) -> bool:
        """Return whether a line may be written; count it as dropped if not."""
        now = time.monotonic()
        refilled = (now - self.refilled_at) * self.lines_per_second
        self.refilled_at = now
        self.tokens = min(self.burst_lines, self.tokens + refilled)
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


class JsonSink:
    """Writes log records as JSON lines to a file descriptor without blocking.

    Lines over the rate limit or that do not fit into the pipe are dropped; the next
    line that is written states how many.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.limiters = {
            "routine": LineRateLimiter(ROUTINE_LINES_PER_SECOND, ROUTINE_BURST_LINES),
            "other": LineRateLimiter(OTHER_LINES_PER_SECOND, OTHER_BURST_LINES),
        }
        self.unwritten = b""
        os.set_blocking(descriptor, False)

    def __call__(self, message) -> None:
        """Write one record."""
        record = message.record
        extra = record["extra"]
        routine = record["level"].no < logger.level("INFO").no
        limiter = self.limiters["routine" if routine else "other"]
        if not limiter.try_acquire():
            return
        line = {
            "at": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            **extra,
            "event": record["message"],
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        if limiter.dropped:
            line["lines_left_out"] = limiter.dropped
            limiter.dropped = 0
        self._write(msgspec.json.encode(line) + b"\n", limiter)

    def _write(self, data: bytes, limiter: LineRateLimiter) -> None:
        """Write a line, after the rest of a partly written one."""
        try:
            if self.unwritten:
                written = os.write(self.descriptor, self.unwritten)
                self.unwritten = self.unwritten[written:]
            if self.unwritten:
                limiter.dropped += 1
                return
            written = os.write(self.descriptor, data)
            self.unwritten = data[written:]
        except BlockingIOError:
            limiter.dropped += 1
        except OSError:
            # The reader has closed the pipe, so the error cannot be reported.
            limiter.dropped += 1


def configure_json_logging(level: str = "DEBUG") -> None:
    """Write records of a level and above to standard output as JSON lines."""
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(JsonSink(sys.stdout.fileno()), level=level, format="{message}")
