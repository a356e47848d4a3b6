"""Runs all tests and prints ``N passed, N failed`` and known failures by name.

Most tests spend their time waiting, so groups of tests run in parallel processes.
"""

import json
import os
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RESULT_MARK = "RESULT "
# Tests mostly wait, but by real clocks, so they must not compete for cores.
WORKERS = max(1, min(6, (os.cpu_count() or 2) - 2))
# Modules with many long tests: each test is a group of its own.
SPLIT_MODULES = ("tests.test_request_matrix", "tests.test_fleet_matrix")


class GroupResult(NamedTuple):
    """Result of a group of tests.

    :param ran: number of tests that ran.
    :param failed_ids: ids of the tests that failed.
    :param output: what the tests printed.
    """

    ran: int
    failed_ids: list[str]
    output: str


def read_known_red():
    """Return the test ids in KNOWN-RED.txt; each entry starts with one."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def list_groups():
    """Return the ids of all tests, by group, the long groups first."""
    groups = {}
    suites = [unittest.defaultTestLoader.discover("tests", top_level_dir=str(ROOT))]
    while suites:
        for item in suites.pop():
            if isinstance(item, unittest.TestSuite):
                suites.append(item)
                continue
            module = type(item).__module__
            name = item.id() if module in SPLIT_MODULES else module
            groups.setdefault(name, []).append(item.id())
    return sorted(groups.values(), key=lambda ids: not ids[0].startswith(SPLIT_MODULES))


def run_group(ids):
    """Run a group in a subprocess; if it crashes, all tests of the group failed."""
    command = [sys.executable, "-W", "ignore", "-m", "tests", "--only", *ids]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    output, _, result = done.stdout.rpartition(RESULT_MARK)
    if not result:
        return GroupResult(len(ids), list(ids), done.stdout + done.stderr)
    found = json.loads(result)
    return GroupResult(found["ran"], found["bad"], output + done.stderr)


def run_only(ids):
    """Run tests in this process and print the result for :func:`run_group`."""
    suite = unittest.defaultTestLoader.loadTestsFromNames(ids)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed_tests = [*result.failures, *result.errors]
    failed_ids = sorted({test.id().split(" ")[0] for test, _ in failed_tests})
    failed_ids += [test.id() for test in result.unexpectedSuccesses]
    print(RESULT_MARK + json.dumps({"ran": result.testsRun, "bad": failed_ids}))


def main():
    """Run all tests, or those after ``--only``; exit with 1 if any failed."""
    if sys.argv[1:2] == ["--only"]:
        run_only(sys.argv[2:])
        return
    known_failures = read_known_red()
    started = time.monotonic()
    with ThreadPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(run_group, list_groups()))
    for outcome in outcomes:
        if outcome.failed_ids:
            print(outcome.output)
    failed_ids = {name for outcome in outcomes for name in outcome.failed_ids}
    failed = len(failed_ids - known_failures)
    for name in sorted(failed_ids & known_failures):
        print(f"KNOWN RED {name}")
    for name in sorted(known_failures - failed_ids):
        print(f"KNOWN RED PASSES NOW, remove it from KNOWN-RED.txt: {name}")
    passed = sum(outcome.ran for outcome in outcomes) - len(failed_ids)
    print(f"{time.monotonic() - started:.0f} s")
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
