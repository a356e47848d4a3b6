"""Isolation of the sockets of test processes that run in parallel."""

import asyncio
import subprocess
import sys
import unittest

from tests.loopback import LOOPBACK_HOST, reserve_port

LISTENERS = 200


class LoopbackTests(unittest.TestCase):
    """Guards against a port, chosen in advance, being taken by a parallel test run."""

    def test_processes_listen_on_different_addresses(self):
        code = "from tests.loopback import LOOPBACK_HOST; print(LOOPBACK_HOST)"
        command = [sys.executable, "-c", code]
        other = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertNotEqual(other.stdout.strip(), LOOPBACK_HOST)

    def test_a_reserved_port_is_kept_for_the_listener_that_names_it(self):
        port = reserve_port()

        async def listen():
            servers = [
                await asyncio.start_server(lambda *_: None, LOOPBACK_HOST, 0)
                for _ in range(LISTENERS)
            ]
            ports = {server.sockets[0].getsockname()[1] for server in servers}
            explicit = await asyncio.start_server(lambda *_: None, LOOPBACK_HOST, port)
            for server in (*servers, explicit):
                server.close()
            return ports

        self.assertNotIn(port, asyncio.run(listen()))
