"""A server that left, beside a node that is killed after it acknowledged the leave.

The nodes are real processes; the store and the server are stand-ins.
"""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from daisylink import platform
from daisylink.errors import CallError
from daisylink.http_client import HttpClient
from daisylink.standin import CallerClient
from tests.loopback import LOOPBACK_HOST, reserve_port
from tests.platform_standin import ServerStandIn, StoreStandIn
from tests.sidecar_case import HOST
from tests.test_platform import HEARTBEAT, make_configuration

INSTANCE = "i-1"
SERVICE = "one"
START_SECONDS = 40.0
CALL_SECONDS = 5.0
POLL_SECONDS = 0.05


class SidecarProcess:
    """A sidecar as a process of its own, with its server's side of the talk.

    :param folder: holds the settings file.
    """

    def __init__(self, store, server, folder, zone="a"):
        ports = {
            name: f"{LOOPBACK_HOST}:{reserve_port()}"
            for name in ("inbound", "outbound", "ready", "control")
        }
        self.addresses = ports
        self.path = Path(folder) / "boot.json"
        peers = reserve_port()
        settings = {
            "node": "n-1",
            "zone": zone,
            "ip": LOOPBACK_HOST,
            "service": SERVICE,
            "app_addr": server.address,
            "listen": ports,
            "port_range": [peers, peers],
            "heartbeat": "1s",
            "platform": {"address": store.address},
        }
        self.path.write_bytes(msgspec.json.encode(settings))
        self.log_file = self.path.with_suffix(".log").open("ab")
        self.process = None

    def start(self, sources=None):
        """Start the process, whose log is added to the one of earlier starts.

        :param sources: folder of the sources, None for the installed ones.
        """
        environment = {**os.environ, "DAISYLINK_CONFIG": str(self.path)}
        if sources is not None:
            environment["PYTHONPATH"] = sources
        self.process = subprocess.Popen(
            [sys.executable, "-m", "daisylink.sidecar"],
            env=environment,
            stdout=self.log_file,
        )

    def kill(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def close(self):
        self.kill()
        self.log_file.close()

    async def wait_until_ready(self):
        async with asyncio.timeout(START_SECONDS):
            while await self.call("ready", "GET", platform.READY_PATH) != 200:
                await asyncio.sleep(POLL_SECONDS)

    async def send_heartbeat(self, state, sequence, instance=INSTANCE, start=0):
        body = {**HEARTBEAT, "service": SERVICE, "state": state, "seq": sequence}
        body["born"] += start
        target = f"/-/rpc?call=instances.heartbeat&of={instance}"
        return await self.call("control", "POST", target, msgspec.json.encode(body))

    async def send_leave(self, instance=INSTANCE):
        target = f"/-/rpc?call=instances.leave&of={instance}"
        return await self.call("control", "POST", target)

    async def call(self, listener, method, target, body=b""):
        """Make one call; return its status, 0 without a response."""
        client = HttpClient(self.addresses[listener])
        try:
            response = await client.call(method, target, CALL_SECONDS, body)
            return response.status
        except CallError:
            return 0
        finally:
            client.close()

    async def request(self, name):
        caller = CallerClient(self.addresses["outbound"])
        headers = {"X-Daisylink-Request-Id": name, "X-Daisylink-Deadline-Ms": "4000"}
        response = await caller.call("GET", "/x/1", HOST, b"", headers)
        caller.close()
        return response.status


class ForgottenLeaveTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StoreStandIn()
        await self.store.start()
        self.addCleanup(self.store.close)
        self.store.put(platform.CONFIG_KEY, make_configuration())
        self.server = ServerStandIn(INSTANCE)
        await self.server.start()
        self.addCleanup(self.server.close)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.node = SidecarProcess(self.store, self.server, folder)
        self.addCleanup(self.node.close)
        self.node.start()
        await self.node.wait_until_ready()
        self.assertEqual(await self.node.send_heartbeat("ready", 5), 200)
        self.assertEqual(await self.node.request("before"), 200)

    async def restart(self):
        """Kill the process and start it again; its leases run out meanwhile."""
        self.node.kill()
        for lease in list(self.store.leases):
            self.store.end_lease(lease)
        self.node.start()
        await self.node.wait_until_ready()

    async def assert_stays_closed(self, sequence=5):
        """Deliver a heartbeat of before the leave, late; the server gets nothing."""
        self.assertEqual(await self.node.send_heartbeat("ready", sequence), 200)
        self.assertEqual(await self.node.request("after"), 503)
        self.assertEqual(self.server.runs, ["before"])

    async def test_a_node_killed_after_a_leave_serves_the_server_again(self):
        self.assertEqual(await self.node.send_leave(), 200)
        await self.restart()
        await self.assert_stays_closed()

    async def test_a_node_killed_after_a_drain_serves_the_server_again(self):
        self.assertEqual(await self.node.send_heartbeat("draining", 6), 200)
        await self.restart()
        await self.assert_stays_closed()

    async def test_a_leave_after_a_restart_is_undone_by_a_late_heartbeat(self):
        """The leave reaches a process that has not heard from the server yet."""
        await self.restart()
        self.assertEqual(await self.node.send_leave(), 200)
        await self.assert_stays_closed()

    async def test_such_a_leave_is_undone_by_the_servers_first_heartbeat(self):
        await self.restart()
        self.assertEqual(await self.node.send_leave(), 200)
        await self.assert_stays_closed(sequence=1)
