"""Confirms that a backend server drains or leaves, once the store holds it."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from daisylink.errors import NodeError, ResultCode
from daisylink.http_server import WebResponse
from daisylink.logs import get_logger
from daisylink.registry import DepartureLog
from daisylink.serving import ServerStart

# A server takes a response for a confirmation if it arrives within a second.
TIMEOUT_SECONDS = 0.8

log = get_logger("sidecar")


class LeaveAcknowledger:
    """Responses to servers that leave, which wait for the store.

    :param make_response: builds the confirmation.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        departure_log: DepartureLog,
        make_response: Callable[[], WebResponse],
    ):
        self.loop = loop
        self.departure_log = departure_log
        self.make_response = make_response
        self.waiting: list[tuple[ServerStart, asyncio.Future[WebResponse]]] = []

    def respond(self, start: ServerStart) -> WebResponse | asyncio.Future[WebResponse]:
        """Confirm a leave at once, or when the store holds it.

        The server asks again if it gets no confirmation.
        """
        if self.departure_log.is_stored(start):
            return self._confirm(start)
        response = self.loop.create_future()
        self.waiting.append((start, response))
        self.loop.call_later(TIMEOUT_SECONDS, self._end_wait, start, response)
        return response

    def notify_waiters(self) -> None:
        """Confirm the leaves that the store holds by now."""
        for start, response in self.waiting:
            if self.departure_log.is_stored(start) and not response.done():
                response.set_result(self._confirm(start))
        self.waiting = [item for item in self.waiting if not item[1].done()]

    def _confirm(self, start: ServerStart) -> WebResponse:
        log.bind(instance=start.instance, born=start.born).info("leave acknowledged")
        return self.make_response()

    def _end_wait(
        self, start: ServerStart, response: asyncio.Future[WebResponse]
    ) -> None:
        if response.done():
            return
        error = NodeError("the store has not taken it", ResultCode.LEAVE_NOT_STORED)
        log.bind(
            instance=start.instance, born=start.born, code=int(error.code)
        ).warning("leave not acknowledged: {}", error)
        self.waiting = [item for item in self.waiting if item[1] is not response]
        response.set_result(
            WebResponse.from_error(error, HTTPStatus.SERVICE_UNAVAILABLE)
        )
