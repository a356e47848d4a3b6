"""Processor time of a call beside that of an earlier revision, in one run.

Runs :mod:`bench.hotpath` of a revision and of the working tree in turn, so that both
see the same machine, and prints the ratio of the fastest batches.

    python -m bench.against c4bb897 --rounds 3
"""

import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

ROOT = Path(__file__).parent.parent
RESULT = re.compile(r"([\d.]+) us a call")


def extract(revision, folder):
    """Write the files of a revision into a folder."""
    archive = subprocess.run(
        ["git", "archive", revision], cwd=ROOT, capture_output=True, check=True
    )
    subprocess.run(["tar", "-x"], cwd=folder, input=archive.stdout, check=True)


def measure(folder, calls):
    """Return the microseconds of a call in the sources of a folder."""
    environment = {**os.environ, "PYTHONPATH": f"{folder / 'src'}:{folder}"}
    done = subprocess.run(
        [sys.executable, "-m", "bench.hotpath", str(calls)],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    return float(RESULT.search(done.stdout).group(1))


def main(
    revision: Annotated[str, typer.Argument(help="Earlier revision.")],
    rounds: Annotated[int, typer.Option(help="Runs of each.")] = 3,
    calls: Annotated[int, typer.Option(help="Calls in a run.")] = 10_000,
):
    """Print the microseconds of a call in both, and their ratio."""
    with tempfile.TemporaryDirectory() as scratch:
        earlier = Path(scratch)
        extract(revision, earlier)
        before, after = [], []
        for _ in range(rounds):
            before.append(measure(earlier, calls))
            after.append(measure(ROOT, calls))
    typer.echo(f"{revision}: {min(before):.1f} us, runs {before}")
    typer.echo(f"working tree: {min(after):.1f} us, runs {after}")
    typer.echo(f"ratio {min(after) / min(before):.2f}")


if __name__ == "__main__":
    typer.run(main)
