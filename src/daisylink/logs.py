"""Logging: one short line per event, marked with the component that logs it.

``daisylink-sidecar`` writes JSON lines instead, limited in rate.
"""

import os
import sys
import time
from pathlib import Path
from traceback import extract_tb
from types import TracebackType
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
INFO_LEVEL = logger.level("INFO").no
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
    # With diagnose, a traceback shows the values of variables, API keys among them.
    logger.add(sys.stderr, level=level.upper(), format=TEXT_FORMAT, diagnose=False)


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

    def has_token(self) -> bool:
        """Return whether a line may be written."""
        now = time.monotonic()
        refilled = (now - self.refilled_at) * self.lines_per_second
        self.refilled_at = now
        self.tokens = min(self.burst_lines, self.tokens + refilled)
        return self.tokens >= 1

    def try_acquire(self) -> bool:
        """Return whether a line may be written; count it as dropped if not."""
        if not self.has_token():
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


class LineGate:
    """Tells whether a line would be written, before its record is built.

    Building a record costs a good part of what a request needs, and under load most
    lines on requests are dropped.
    """

    def __init__(self):
        self.sink: JsonSink | None = None

    def may_log(self, level: str) -> bool:
        """Return whether a line would be written; count it as dropped if not.

        :param level: name of the line's level.
        """
        if self.sink is None:
            return True
        limiter = self.sink.find_limiter(logger.level(level).no)
        if limiter.has_token():
            return True
        limiter.dropped += 1
        return False


line_gate = LineGate()


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
        limiter = self.find_limiter(record["level"].no)
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
            line["where"] = _find_origin(record["exception"].traceback)
        if limiter.dropped:
            line["lines_left_out"] = limiter.dropped
            limiter.dropped = 0
        self._write(msgspec.json.encode(line) + b"\n", limiter)

    def find_limiter(self, level: int) -> LineRateLimiter:
        """Return the rate limiter for lines of a level.

        :param level: number of the level.
        """
        return self.limiters["routine" if level < INFO_LEVEL else "other"]

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


def _find_origin(traceback: TracebackType | None) -> str:
    """Return the file and line that raised an error, "" if unknown."""
    frames = extract_tb(traceback)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""


def configure_json_logging(level: str = "DEBUG", descriptor: int | None = None) -> None:
    """Write records of a level and above as JSON lines.

    :param descriptor: file descriptor to write to, standard output by default.
    """
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    logger.remove()
    logger.configure(extra={"part": "main"})
    line_gate.sink = JsonSink(descriptor)
    logger.add(line_gate.sink, level=level, format="{message}", diagnose=False)
