"""Tests of requests through a fleet on real sockets, with failures."""

import asyncio
import unittest.mock
from collections import Counter

from daisylink.connection import _caller_timeouts
from daisylink.errors import ResultCode
from daisylink.standin import CallerClient, Placement
from tests.loopback import LOOPBACK_HOST
from tests.support import HOST, FleetTestCase, make_content

PLACEMENTS = [
    Placement("x", "a"),
    Placement("x", "a"),
    Placement("y", "a"),
    Placement("y", "b"),
]
SLOW = {"x-standin-sleep-ms": "300"}


class CallTests(FleetTestCase):
    def run_calls(self, scenario, placements=PLACEMENTS, backend=None, **content):
        async def run(fleet, operations):
            await fleet.start(placements, **(backend or {}))
            await operations.accept(make_content("a", "b", **content), "")
            await fleet.wait_for_servers()
            await scenario(fleet)

        self.run_fleet(run)

    @staticmethod
    def callers(fleet, count):
        nodes = fleet.nodes
        return [
            CallerClient(str(nodes[index % len(nodes)].callers_address))
            for index in range(count)
        ]

    @staticmethod
    def runs(fleet):
        total = Counter()
        for backend in fleet.backends:
            total.update(backend.runs)
        return total

    def test_responses_are_never_mixed_up(self):
        async def scenario(fleet):
            async def send(caller, name):
                for number in range(25):
                    headers = {
                        "x-request-id": f"{name}-{number}",
                        "x-standin-sleep-ms": str((number * 7 + name) % 13),
                    }
                    path = "/a/read" if number % 2 else "/b/write"
                    response = await caller.call("POST", path, HOST, b"x", headers)
                    self.assertEqual(response.status, 200)
                    self.assertEqual(
                        response.headers["x-request-id"], f"{name}-{number}"
                    )

            callers = self.callers(fleet, 8)
            await asyncio.gather(*(send(c, n) for n, c in enumerate(callers)))

        self.run_calls(scenario)

    def test_a_crash_loses_no_idempotent_call_and_doubles_no_other(self):
        async def scenario(fleet):
            async def send(caller, name, path):
                headers = {"x-request-id": name, "x-standin-sleep-ms": "200"}
                return await caller.call("POST", path, HOST, b"x", headers)

            callers = self.callers(fleet, 12)
            calls = []
            for index, caller in enumerate(callers):
                path = "/a/read" if index % 2 else "/a/write"
                calls.append(asyncio.create_task(send(caller, str(index), path)))
            await asyncio.sleep(0.1)
            fleet.backends[0].kill()
            responses = await asyncio.gather(*calls)
            runs = self.runs(fleet)
            lost = 0
            for index, response in enumerate(responses):
                self.assertTrue(response.is_complete)
                if index % 2:
                    self.assertEqual(response.status, 200)
                    continue
                self.assertLessEqual(runs[str(index)], 1)
                if response.code:
                    lost += 1
                    self.assertEqual(response.code, ResultCode.REQUEST_ANSWER_LOST)
                    self.assertEqual(response.outcome, "unknown")
            self.assertGreater(lost, 0)

        self.run_calls(scenario)

    def test_a_dead_node_costs_a_retry_not_a_call(self):
        """All nodes still list the closed one; no request is sent, so all may retry."""

        async def scenario(fleet):
            await fleet.nodes[1].close()
            fleet.nodes[1].gateway.close()
            for number in range(30):
                caller = CallerClient(str(fleet.nodes[3].callers_address))
                response = await caller.call("POST", "/a/write", HOST, b"x")
                self.assertEqual(response.status, 200, number)

        self.run_calls(scenario)

    def test_overload_is_refused_not_run_with_a_retry_time(self):
        async def scenario(fleet):
            async def send(caller, name):
                headers = {"x-request-id": name, "x-standin-sleep-ms": "100"}
                return await caller.call("POST", "/b/write", HOST, b"x", headers)

            callers = self.callers(fleet, 40)
            responses = await asyncio.gather(
                *(send(caller, str(index)) for index, caller in enumerate(callers))
            )
            runs = self.runs(fleet)
            refused = 0
            for index, response in enumerate(responses):
                if not response.code:
                    continue
                refused += 1
                self.assertEqual(response.outcome, "not-run")
                self.assertEqual(runs[str(index)], 0)
                self.assertGreater(int(response.headers["daisylink-retry-after-ms"]), 0)
            self.assertGreater(refused, 10)
            self.assertLess(refused, 40)
            self.assertEqual(fleet.nodes[3].gateway.admission.in_use, 0)

        self.run_calls(scenario, backend={"slots": 2}, queue=4, slots=2)

    def test_a_deadline_response_states_whether_the_request_ran(self):
        async def scenario(fleet):
            caller = self.callers(fleet, 1)[0]
            headers = {"x-standin-sleep-ms": "5000", "daisylink-deadline-ms": "150"}
            response = await caller.call("GET", "/b/read", HOST, b"", headers)
            self.assertIn(response.status, (502, 504))
            backend = fleet.backends[3]
            backend.behaviour.service_ms = 10_000
            headers = {"daisylink-deadline-ms": "150", "x-standin-sleep-ms": "400"}
            blockers = [
                asyncio.create_task(
                    other.call(
                        "POST", "/b/write", HOST, b"", {"x-standin-sleep-ms": "400"}
                    )
                )
                for other in self.callers(fleet, 2)
            ]
            await asyncio.sleep(0.05)
            response = await caller.call("POST", "/b/write", HOST, b"", headers)
            self.assertEqual(response.outcome, "not-run")
            self.assertEqual(response.code, ResultCode.REQUEST_DEADLINE_NOT_RUN)
            await asyncio.gather(*blockers)

        self.run_calls(scenario, backend={"slots": 2}, slots=2)

    def test_a_caller_that_disconnects_frees_the_slot(self):
        async def scenario(fleet):
            for caller in self.callers(fleet, 3):
                call = asyncio.create_task(
                    caller.call(
                        "POST", "/b/write", HOST, b"", {"x-standin-sleep-ms": "60000"}
                    )
                )
                await asyncio.sleep(0.1)
                call.cancel()
                caller.close()
            await fleet.wait_for(lambda: fleet.backends[3].cancelled_count == 3)
            self.assertEqual(fleet.nodes[3].gateway.admission.in_use, 0)
            self.assertEqual(sum(fleet.nodes[0].gateway.balancer.in_flight.values()), 0)

        self.run_calls(scenario)

    def test_drain_refuses_new_requests_and_finishes_running_ones(self):
        async def scenario(fleet):
            caller = CallerClient(str(fleet.nodes[3].callers_address))
            running = asyncio.create_task(
                caller.call(
                    "POST", "/b/write", HOST, b"", {"x-standin-sleep-ms": "300"}
                )
            )
            await asyncio.sleep(0.1)
            await fleet.backends[3].drain()
            ran = sum(fleet.backends[3].runs.values())
            for other in self.callers(fleet, 4):
                response = await other.call("POST", "/b/write", HOST)
                self.assertEqual(response.outcome, "not-run")
            self.assertEqual(sum(fleet.backends[3].runs.values()), ran)
            relay = CallerClient(str(fleet.nodes[3].relay_address))
            hop = {"daisylink-hop": "b 1000 n normal"}
            response = await relay.call("POST", "/b/write", HOST, b"", hop)
            self.assertEqual(response.code, ResultCode.REQUEST_DRAINING)
            self.assertEqual(response.outcome, "not-run")
            self.assertEqual((await running).status, 200)

        self.run_calls(scenario)

    def test_a_planned_stop_finishes_requests_in_flight(self):
        async def scenario(fleet):
            callers = [
                CallerClient(str(fleet.nodes[0].callers_address)) for _ in range(6)
            ]
            running = [
                asyncio.create_task(
                    caller.call(
                        "POST", "/a/write", HOST, b"x", {"x-standin-sleep-ms": "600"}
                    )
                )
                for caller in callers
            ]
            await asyncio.sleep(0.1)
            await fleet.nodes[0].stop()
            for response in await asyncio.gather(*running):
                self.assertEqual(response.status, 200)
            await fleet.wait_for(
                lambda: all(
                    fleet.nodes[0].fleet.own_record.node
                    not in node.fleet.directory.serving("a")
                    for node in fleet.nodes[1:]
                )
            )

        self.run_calls(scenario)

    def test_a_truncated_response_is_seen_as_truncated(self):
        async def cut(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
            await writer.drain()
            writer.close()

        async def scenario(fleet):
            server = await asyncio.start_server(cut, LOOPBACK_HOST, 0)
            port = server.sockets[0].getsockname()[1]
            local_server = fleet.nodes[3].local_server
            local_server.announcement = local_server.announcement._replace(
                address=f"{LOOPBACK_HOST}:{port}"
            )
            caller = CallerClient(str(fleet.nodes[3].callers_address))
            response = await caller.call("GET", "/b/read", HOST)
            self.assertFalse(response.is_complete)
            server.close()

        self.run_calls(scenario)

    def test_a_stalled_response_is_cut_and_frees_the_slot(self):
        async def stall(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
            await reader.read()
            writer.close()

        async def scenario(fleet):
            server = await asyncio.start_server(stall, LOOPBACK_HOST, 0)
            port = server.sockets[0].getsockname()[1]
            local_server = fleet.nodes[3].local_server
            local_server.announcement = local_server.announcement._replace(
                address=f"{LOOPBACK_HOST}:{port}"
            )
            caller = CallerClient(str(fleet.nodes[0].callers_address))
            response = await caller.call("GET", "/b/read", HOST)
            self.assertFalse(response.is_complete)
            admission = fleet.nodes[3].gateway.admission
            await fleet.wait_for(lambda: admission.in_use == 0)
            server.close()

        with unittest.mock.patch.object(_caller_timeouts, "STALL_SECONDS", 0.3):
            self.run_calls(scenario)

    def test_long_bodies_stream_both_ways_within_bounded_memory(self):
        async def scenario(fleet):
            caller = CallerClient(str(fleet.nodes[0].callers_address))
            size = 8_000_000
            response = await caller.call("PUT", "/b/read", HOST, bytes(size))
            self.assertIn(b'"bytes":%d' % size, response.body)
            headers = {"x-standin-answer-bytes": str(size)}
            response = await caller.call("GET", "/b/read", HOST, b"", headers)
            self.assertEqual(len(response.body), size)
            self.assertTrue(response.is_complete)

        self.run_calls(scenario, body_limit_kb=16_000)
