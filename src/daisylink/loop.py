"""One loop on one thread for circuits components, asyncio protocols and gRPC.

The circuits manager drives; its poller waits inside an asyncio loop, so that
asyncio code runs on the same thread as circuits handlers.
"""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from circuits import BaseComponent
from circuits.core.pollers import BasePoller, _read, _write


class AsyncioPoller(BasePoller):
    """A circuits poller that waits inside an asyncio event loop.

    :param loop: the loop that waits.
    """

    channel = "asyncio-poller"

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(channel=self.channel)
        self.loop = loop
        loop.add_reader(self._ctrl_recv, self._read_ctrl)

    def addReader(self, source, fd):  # noqa: N802
        """Watch a descriptor for reading."""
        super().addReader(source, fd)
        self.loop.add_reader(fd, self._notify, _read, fd)

    def addWriter(self, source, fd):  # noqa: N802
        """Watch a descriptor for writing."""
        if fd.fileno() < 0:
            return
        super().addWriter(source, fd)
        self.loop.add_writer(fd, self._notify, _write, fd)

    def removeReader(self, fd):  # noqa: N802
        """Stop watching a descriptor for reading."""
        super().removeReader(fd)
        if fd.fileno() >= 0:
            self.loop.remove_reader(fd)

    def removeWriter(self, fd):  # noqa: N802
        """Stop watching a descriptor for writing."""
        super().removeWriter(fd)
        if fd.fileno() >= 0:
            self.loop.remove_writer(fd)

    def discard(self, fd):
        """Stop watching a descriptor."""
        super().discard(fd)
        if fd.fileno() >= 0:
            self.loop.remove_reader(fd)
            self.loop.remove_writer(fd)

    def resume(self):
        """Wake the loop from another thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)

    def wake(self):
        """Return to circuits, which has a new event to handle."""
        self.loop.stop()

    def _notify(self, event_type, fd):
        self.fire(event_type(fd), self.getTarget(fd))
        self.loop.stop()

    def _generate_events(self, event):
        timer = None
        if event.time_left == 0 or len(self.root):
            self.loop.call_soon(self.loop.stop)
        elif event.time_left > 0:
            timer = self.loop.call_later(event.time_left, self.loop.stop)
        self.loop.run_forever()
        if timer is not None:
            timer.cancel()


class Application(BaseComponent):
    """Root of the components of one process.

    :param loop: the process's asyncio loop.
    """

    channel = "application"

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__()
        self.loop = loop
        self.poller = AsyncioPoller(loop).register(self)


class LoopRunner:
    """Runs one coroutine, the circuits components and the loop until it returns.

    :param loop: the loop to run on, a new one by default.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None):
        self.loop = loop or asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.application = Application(self.loop)

    def run(self, main: Coroutine[Any, Any, Any]) -> Any:
        """Run until the coroutine ends, and return its result."""
        task = self.loop.create_task(main)
        task.add_done_callback(self._stop)
        self.application.run()
        self._cancel_rest()
        self.loop.close()
        return task.result()

    def _stop(self, _task) -> None:
        self.application.stop()
        self.loop.stop()

    def _cancel_rest(self) -> None:
        """End what still runs; components' events may stop the loop meanwhile."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if not tasks:
            return
        rest = asyncio.gather(*tasks, return_exceptions=True)
        rest.add_done_callback(lambda _: self.loop.stop())
        while not rest.done():
            self.loop.run_forever()


async def wait_for_stop_signal() -> None:
    """Return when the process is asked to stop by SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
