"""``daisylink-sidecar``: the process beside a backend server on the platform.

Its settings come from the platform's settings file. Command-line libraries are not
imported, so that a killed process restarts faster.
"""

import asyncio
import signal
import sys
from datetime import timedelta
from typing import Any

from daisylink import platform
from daisylink.errors import DaisylinkError, SettingError
from daisylink.logs import configure_json_logging, get_logger
from daisylink.sidecar import PlatformAdapter, RolloutFormats, Sidecar

# The store responds in milliseconds, and within this time when slowed sixtyfold.
STORE_TIMEOUT = timedelta(seconds=1)
# How often the settings file is checked for changes without a signal.
SETTINGS_POLL_SECONDS = 1.0
EXIT_FAILED = 2

log = get_logger("main")


async def serve() -> None:
    """Run the sidecar until SIGTERM or SIGINT, then stop it gracefully."""
    settings = platform.load_settings()
    store = platform.MetadataStore(settings.store, STORE_TIMEOUT)
    platform_adapter = PlatformAdapter(
        store=store,
        header_names=platform.HEADER_NAMES,
        config_key=platform.CONFIG_KEY,
        decode_configuration=platform.ConfigurationDecoder().decode,
        decode_announcement=platform.decode_announcement,
        make_response=platform.make_response,
        ready_path=platform.READY_PATH,
        rollouts=RolloutFormats(
            platform.ORDER_PREFIX,
            platform.decode_order,
            platform.status_key,
            platform.encode_status,
        ),
    )
    sidecar = Sidecar.from_config(settings, platform_adapter)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_loop_error)
    stopped = asyncio.Event()
    changed = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    await sidecar.start()
    watcher = loop.create_task(watch_settings(sidecar, changed))
    await stopped.wait()
    await sidecar.stop()
    watcher.cancel()
    store.close()


def log_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error of a callback, which ends neither the loop nor the process."""
    error = context.get("exception")
    log.opt(exception=error).error("a callback failed: {}", context["message"])


async def watch_settings(sidecar: Sidecar, changed: asyncio.Event) -> None:
    """Reload the settings after SIGHUP or a change of the file."""
    path = platform.settings_path()
    seen = path.read_bytes()
    while True:
        try:
            await asyncio.wait_for(changed.wait(), SETTINGS_POLL_SECONDS)
            log.info("settings reload requested")
        except TimeoutError:
            pass
        changed.clear()
        try:
            data = path.read_bytes()
            if data != seen:
                sidecar.reload(platform.decode_settings(data))
            seen = data
        except (OSError, SettingError) as error:
            log.warning("settings not reloaded: {}", error)
        except Exception:
            log.exception("settings not reloaded")


def main() -> None:
    """Run the program."""
    configure_json_logging()
    try:
        asyncio.run(serve())
    except DaisylinkError as error:
        log.bind(code=int(error.code)).error("cannot run: {}", error.message)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
