"""Baseline: a proxy on circuits.web with one kept-alive connection to the server."""

import asyncio
import http.client
import sys

from circuits import BaseComponent, handler

from daisylink.loop import LoopRunner
from daisylink.web import WebResponse, WebServer


class Forwarder(BaseComponent):
    """Forwards each request over one kept-alive connection."""

    def __init__(self, address):
        super().__init__()
        self.connection = http.client.HTTPConnection(address)

    def forward(self, request):
        headers = {"host": "a.example"}
        self.connection.request(request.method, request.path, request.body, headers)
        response = self.connection.getresponse()
        return WebResponse(response.status, response.read())

    @handler("started", channel="*")
    def _on_started(self, *_args):
        """Ignore the start event."""


async def serve(application, port, address):
    web = WebServer(application, "127.0.0.1", port)
    forwarder = Forwarder(address).register(application)
    web.add_route("POST", "/", forwarder.forward)
    web.start()
    await asyncio.Event().wait()


def main():
    runner = LoopRunner()
    runner.run(serve(runner.application, int(sys.argv[1]), sys.argv[2]))


if __name__ == "__main__":
    main()
