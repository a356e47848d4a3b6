"""The record of a case: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the case began to ``record.txt``."""

    def __init__(self, folder: Path):
        self.started_at = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.started_at

    def write(self, event: str, **fields) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {event} {text}\n")

    def say(self, text: str) -> None:
        """Write a line of the result, also to standard output."""
        self.file.write(f"{self.now():9.3f} RESULT {text}\n")
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self.file.close()
