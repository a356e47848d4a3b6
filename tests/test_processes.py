"""The programs as separate processes: accept, serve, kill, stop, pause."""

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from bench.processes import Processes
from daisylink.errors import ResultCode
from daisylink.standin import CallerClient, Response
from tests.loopback import LOOPBACK_HOST, reserve_port

EXAMPLES = Path(__file__).parent.parent / "examples"
HOST = "roster.hanbit.example"
NODES = 4
START_SECONDS = 40.0
CALL_SECONDS = 8.0


def run_ctl(*arguments):
    """Run ``daisylinkctl``; return its exit status and its output."""
    code = "from daisylink.commands.ctl import main; main()"
    done = subprocess.run(
        [sys.executable, "-c", code, *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


class ProcessTests(unittest.TestCase):
    def setUp(self):
        self.processes = self.enterContext(Processes())
        ports = [reserve_port() for _ in range(1 + 5 * NODES)]
        self.platform = f"{LOOPBACK_HOST}:{ports[0]}"
        self.processes.start_program("platform", "--listen", self.platform)
        self.nodes, self.callers = [], []
        for index in range(NODES):
            names = ("callers", "relay", "control", "admin", "server")
            own = dict(zip(names, ports[1 + 5 * index : 6 + 5 * index], strict=True))
            address = {name: f"{LOOPBACK_HOST}:{port}" for name, port in own.items()}
            self._start_node(f"z{index % 2}", address)
            self.processes.start_program(
                "backend", "--pool", "dispatch", "--listen", address["server"],
                "--admin", address["admin"],
            )  # fmt: skip
            self.callers.append(address["callers"])

    def _start_node(self, zone, address):
        flags = ["--zone", zone, "--platform", self.platform]
        for name in ("callers", "relay", "control", "admin"):
            flags += [f"--{name}", address[name]]
        self.nodes.append(self.processes.start_program("node", *flags))

    async def call(self, address, method="GET", path="/duty", **headers):
        """Make one call on a new connection."""
        caller = CallerClient(address)
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await caller.call(method, path, HOST, b"", headers)
        except (OSError, TimeoutError):
            return Response(0, {}, b"", False)
        finally:
            caller.close()

    async def wait_until_served(self, addresses):
        async with asyncio.timeout(START_SECONDS):
            while True:
                responses = [await self.call(address) for address in addresses]
                if all(response.status == 200 for response in responses):
                    return
                await asyncio.sleep(0.2)

    def accept_first(self):
        for _ in range(60):
            status, text = run_ctl(
                "accept", EXAMPLES / "hanbit.csv", "--platform", self.platform
            )
            if status == 0:
                return
        self.fail(text)

    def test_kill_pause_and_stop(self):
        self.accept_first()
        asyncio.run(self.wait_until_served(self.callers))
        platform = ("--platform", self.platform, "--json")
        status, text = run_ctl("wait", 1, "--timeout", 16, *platform)
        self.assertEqual(status, 0, text)
        self.assertEqual(json.loads(text)["nodes"], NODES)

        self.nodes[0].send_signal(signal.SIGKILL)
        responses = asyncio.run(self.call_all(self.callers[1:], 10))
        self.assertTrue(
            all(response.status == 200 for response in responses), responses
        )

        self.nodes[1].send_signal(signal.SIGSTOP)
        responses = asyncio.run(self.call_all(self.callers[2:], 12))
        for response in responses:
            self.assertTrue(response.is_complete)
            self.assertIn(response.code, (0, ResultCode.REQUEST_DEADLINE_UNKNOWN))
        status, text = self.accept_change()
        self.assertEqual(status, 0, text)
        self.nodes[1].send_signal(signal.SIGCONT)
        asyncio.run(self.wait_for_route(self.callers[1:]))

        self.nodes[2].send_signal(signal.SIGTERM)
        responses = asyncio.run(self.call_all(self.callers[3:], 10))
        self.assertTrue(
            all(response.status == 200 for response in responses), responses
        )
        self.assertEqual(self.nodes[2].wait(30), 0)

    async def call_all(self, addresses, rounds):
        """Call all addresses concurrently, several times."""
        responses = []
        for _ in range(rounds):
            calls = [self.call(address) for address in addresses]
            responses += await asyncio.gather(*calls)
        return responses

    def accept_change(self):
        text = (EXAMPLES / "hanbit.csv").read_text()
        route = "route,oncall,,dispatch,roster.hanbit.example,/oncall,GET,yes,,,,,,,,"
        changed = text.replace("end,13", f"{route}\nend,14")
        with tempfile.NamedTemporaryFile("w", suffix=".csv") as sheet:
            sheet.write(changed)
            sheet.flush()
            return run_ctl("accept", sheet.name, "--platform", self.platform)

    async def wait_for_route(self, addresses):
        async with asyncio.timeout(START_SECONDS):
            for address in addresses:
                while (await self.call(address, path="/oncall")).status != 200:
                    await asyncio.sleep(0.1)

    def test_bad_settings_end_with_their_code(self):
        cases = [
            ("node", ("--zone", "Z 1", "--platform", "127.0.0.1:1"), "[4001] zone"),
            ("node", ("--zone", "z", "--platform", "here"), "[4001] platform"),
            (
                "node",
                (
                    "--zone", "z", "--platform", "127.0.0.1:1",
                    "--callers", self.platform, "--relay", "127.0.0.1:0",
                    "--control", "127.0.0.1:0", "--admin", "127.0.0.1:0",
                ),
                "[4002] callers",
            ),
            ("platform", ("--listen", "localhost:1"), "[4001] listen"),
        ]  # fmt: skip
        self.accept_first()
        for program, arguments, expected in cases:
            with self.subTest(expected):
                code = f"from daisylink.commands.{program} import main; main()"
                done = subprocess.run(
                    [sys.executable, "-c", code, *arguments],
                    capture_output=True,
                    text=True,
                    timeout=60,
                    check=False,
                )
                self.assertEqual(done.returncode, 2)
                self.assertIn(expected, done.stderr)
