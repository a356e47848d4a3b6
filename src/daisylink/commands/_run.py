"""Exit statuses and the main loop, shared by the programs."""

import sys
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn

from daisylink.errors import DaisylinkError, ResultCode
from daisylink.logs import configure_logging
from daisylink.loop import Application, LoopRunner

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_INVALID_SETTING = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNSETTLED = 5
EXIT_TIMEOUT = 6

EXIT_BY_CODE = {
    ResultCode.SETTING_INVALID: EXIT_INVALID_SETTING,
    ResultCode.SETTING_ADDRESS_IN_USE: EXIT_INVALID_SETTING,
    ResultCode.ACCEPT_CONFLICT: EXIT_CONFLICT,
    ResultCode.PLATFORM_UNAVAILABLE: EXIT_UNAVAILABLE,
    ResultCode.PLATFORM_LIMITED: EXIT_UNAVAILABLE,
    ResultCode.PLATFORM_ANSWER_LOST: EXIT_UNAVAILABLE,
    ResultCode.NODE_UNREACHABLE: EXIT_UNAVAILABLE,
    ResultCode.ACCEPT_UNSETTLED: EXIT_UNSETTLED,
    ResultCode.WAIT_TIMEOUT: EXIT_TIMEOUT,
}


def run_server(main: Callable[[Application], Coroutine[Any, Any, None]], level: str):
    """Run the event loop until the main coroutine ends; on an error, exit.

    :param main: called with the application root, returns the main coroutine.
    :param level: lowest level of log lines.
    """
    configure_logging(level)
    runner = LoopRunner()
    try:
        runner.run(main(runner.application))
    except DaisylinkError as error:
        exit_with(error)


def exit_with(error: DaisylinkError) -> NoReturn:
    """Print an error to standard error and exit with the status of its code."""
    print(error, file=sys.stderr)
    raise SystemExit(EXIT_BY_CODE.get(error.code, EXIT_FAILURE))
