"""Runs all tests and prints ``N passed, N failed``; known red cases are named."""

import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red():
    """Return the test ids that KNOWN-RED.txt lists, one at the start of an entry."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def main():
    known = read_known_red()
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=str(ROOT))
    started = time.monotonic()
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = [*result.failures, *result.errors]
    bad_ids = {test.id().split(" ")[0] for test, _ in bad}
    red = bad_ids & known
    failed = len(bad_ids - known)
    for name in sorted(red):
        print(f"KNOWN RED {name}")
    for name in sorted(known - bad_ids):
        print(f"KNOWN RED PASSES NOW, remove it from KNOWN-RED.txt: {name}")
    passed = result.testsRun - len(bad_ids)
    print(f"{time.monotonic() - started:.0f} s")
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
