"""Runs a case and turns its result into an exit status.

A case is a file with a coroutine function ``run(record, trouble)`` that returns the
number of broken promises.
"""

import asyncio
import importlib.util
import os
import sys
import traceback
from pathlib import Path

from review.rig._record import Record

MAX_SECONDS = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def main() -> int:
    """Run the case that the command line names; return the exit status."""
    path = Path(sys.argv[1])
    spec = importlib.util.spec_from_file_location("case", path)
    case = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(case)
    record = Record(path.parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case.run(record, trouble), MAX_SECONDS))
    except Exception:
        record.say(traceback.format_exc())
        return COULD_NOT_RUN
    finally:
        record.close()
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(main())
