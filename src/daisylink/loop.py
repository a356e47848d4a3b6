"""Runs circuits components, asyncio protocols and gRPC on one thread.

The circuits manager is in control; its poller waits by running an asyncio loop, so
asyncio code runs on the same thread as circuits handlers.
"""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from circuits import BaseComponent
from circuits.core.pollers import BasePoller, _read, _write


class AsyncioPoller(BasePoller):
    """A circuits poller that waits by running an asyncio event loop.

    :param loop: the loop to run.
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
        """Return control to circuits, which has a new event to handle."""
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
    """Root component of a process.

    :param loop: the process's asyncio loop.
    """

    channel = "application"

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__()
        self.loop = loop
        self.poller = AsyncioPoller(loop).register(self)


class LoopRunner:
    """Runs a coroutine together with the circuits components and the event loop.

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
        self._cancel_remaining_tasks()
        self.loop.close()
        return task.result()

    def _stop(self, _task) -> None:
        self.application.stop()
        self.loop.stop()

    def _cancel_remaining_tasks(self) -> None:
        """Cancel the remaining tasks and wait for them.

        Events of components may stop the loop in the meantime, so it is run repeatedly.
        """
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if not tasks:
            return
        remaining = asyncio.gather(*tasks, return_exceptions=True)
        remaining.add_done_callback(lambda _: self.loop.stop())
        while not remaining.done():
            self.loop.run_forever()


async def wait_for_stop_signal() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
