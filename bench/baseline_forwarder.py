"""Baseline: a minimal forwarder that parses both directions and does nothing else.

It has no routing, limits or retries. Each connection from a caller has its own
connection to the backend server.
"""

import asyncio
import sys

import httptools


class ServerConnection(asyncio.Protocol):
    """The connection to the backend server."""

    def __init__(self, owner):
        """Create a connection whose responses go to the owner's transport."""
        self.owner = owner
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def data_received(self, data):
        """Parse the bytes and forward them."""
        self.parser.feed_data(data)
        self.owner.transport.write(data)


class CallerConnection(asyncio.Protocol):
    """The connection from a caller, with its own connection to the server."""

    def __init__(self, host, port):
        """Create a connection that is forwarded to an address."""
        self.address = (host, port)
        self.parser = httptools.HttpRequestParser(self)
        self.server_connection = None
        self.unsent = b""

    def connection_made(self, transport):
        """Start to open the connection to the server."""
        self.transport = transport
        asyncio.ensure_future(self.open())

    async def open(self):
        """Open the connection to the server and send what was received meanwhile."""
        loop = asyncio.get_running_loop()
        _, self.server_connection = await loop.create_connection(
            lambda: ServerConnection(self), *self.address
        )
        self.server_connection.transport.write(self.unsent)

    def data_received(self, data):
        """Parse the bytes and forward them."""
        self.parser.feed_data(data)
        if self.server_connection is None:
            self.unsent += data
        else:
            self.server_connection.transport.write(data)

    def connection_lost(self, _error):
        """Close the connection to the server."""
        if self.server_connection is not None:
            self.server_connection.transport.close()


async def serve(port, address):
    """Forward connections on a port until cancelled."""
    host, _, server_port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: CallerConnection(host, int(server_port)), "127.0.0.1", port
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
