"""What the programs share: turning errors into exit statuses, running the loop."""

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
    """Run a program's loop until its main coroutine ends.

    :param main: given the application root, returns the coroutine.
    :param level: least level of log lines.
    """
    configure_logging(level)
    runner = LoopRunner()
    try:
        runner.run(main(runner.application))
    except DaisylinkError as error:
        exit_with(error)


def exit_with(error: DaisylinkError) -> NoReturn:
    """Print an error and leave with the exit status of its code."""
    print(error, file=sys.stderr)
    raise SystemExit(EXIT_BY_CODE.get(error.code, EXIT_FAILURE))
