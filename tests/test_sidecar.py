"""Sidecars while the store fails, servers leave and the node itself stops."""

import asyncio

from daisylink import platform
from tests.loopback import LOOPBACK_HOST, reserve_port
from tests.platform_standin import Fault, StoreStandIn
from tests.sidecar_case import SidecarTestCase
from tests.test_platform import HEARTBEAT, make_configuration


class SidecarTests(SidecarTestCase):
    def test_a_request_is_served_with_the_headers_for_the_server(self):
        async def scenario(_store, machine):
            response = await machine.request("r1")
            self.assertEqual((response.status, response.body), (200, b"answer to r1"))
            self.assertIn("x-daisylink-response-seal", response.headers)
            request_headers = machine.server.seen_headers[0]
            self.assertEqual(request_headers["x-daisylink-caller-service"], "one")
            self.assertEqual(request_headers["x-daisylink-target-instance"], "i-0")
            self.assertLessEqual(int(request_headers["x-daisylink-deadline-ms"]), 800)

        self.run_machines(scenario)

    def test_a_node_without_a_version_refuses_with_503(self):
        async def scenario(store, machine):
            self.assertFalse(await machine.is_ready())
            self.assertEqual((await machine.request("r1")).status, 503)
            store.put(platform.CONFIG_KEY, make_configuration())
            await self.wait_for(lambda: machine.sidecar.is_ready)
            self.assertTrue(await machine.is_ready())

        self.run_machines(scenario, configuration=False)

    def test_an_older_version_is_never_installed(self):
        async def scenario(store, machine):
            older = make_configuration().replace(b"r12", b"r11")
            store.put(platform.CONFIG_KEY, older)
            store.put("other", b"")
            await self.wait_for(lambda: "other" in machine.sidecar.watch_cache.values)
            self.assertEqual(machine.sidecar.fleet_state.version_number, 12)

        self.run_machines(scenario)

    def test_a_compacted_history_loses_no_version(self):
        async def scenario(store, machine):
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            store.compact_history()
            await self.wait_for(
                lambda: machine.sidecar.fleet_state.version_number == 14
            )

        self.run_machines(scenario)

    def test_state_recovers_after_the_store_was_unavailable(self):
        for fault in (Fault.UNAVAILABLE, Fault.UNRESPONSIVE, Fault.LOSE_ANSWERS):

            async def scenario(store, machine, fault=fault):
                store.fault = fault
                store.abort_connections()
                await asyncio.sleep(3.0)
                self.assertEqual((await machine.request("r1")).status, 200)
                for lease in list(store.leases):
                    store.end_lease(lease)
                newer = make_configuration().replace(b"r12", b"r14")
                store.put(platform.CONFIG_KEY, newer)
                store.fault = Fault.NONE
                store.abort_connections()
                await self.wait_for(
                    lambda: machine.sidecar.fleet_state.version_number == 14, 2
                )
                await self.wait_for(lambda: len(store.items) == 2, 2)

            with self.subTest(fault=fault):
                self.run_machines(scenario)

    def test_a_node_cut_off_from_the_store_gets_updates_from_peers(self):
        async def scenario(store, first, second):
            isolated = second.sidecar.platform_adapter.store.client
            isolated.close()
            isolated.address = f"{LOOPBACK_HOST}:{reserve_port()}"
            store.abort_connections()
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            await self.wait_for(
                lambda: second.sidecar.fleet_state.version_number == 14, 4
            )

        self.run_machines(scenario, count=2)

    def test_a_node_whose_store_calls_hang_gets_updates_from_peers(self):
        """Calls hang without a reset; the time limit is config_apply plus skew_max."""

        async def scenario(store, first, second):
            unresponsive = StoreStandIn()
            unresponsive.fault = Fault.UNRESPONSIVE
            await unresponsive.start()
            isolated = second.sidecar.platform_adapter.store.client
            isolated.address = unresponsive.address
            isolated.close()
            second.sidecar.store_driver.restart_watch("test")
            second.sidecar.step()
            newer = make_configuration().replace(b"r12", b"r14")
            store.put(platform.CONFIG_KEY, newer)
            await self.wait_for(
                lambda: second.sidecar.fleet_state.version_number == 14, 7
            )
            unresponsive.close()

        self.run_machines(scenario, count=2)

    def test_a_server_gets_no_request_once_its_drain_is_acknowledged(self):
        async def scenario(_store, machine):
            self.assertEqual(await machine.send_heartbeat("draining"), 200)
            response = await machine.request("r1")
            self.assertEqual(response.status, 503)
            self.assertEqual(machine.server.runs, [])

        self.run_machines(scenario)

    def test_a_late_heartbeat_does_not_reopen_a_server(self):
        """After a leave without draining, and from an earlier start of the server."""

        async def scenario(_store, machine):
            self.assertEqual(await machine.send_leave(), 200)
            await machine.send_heartbeat()
            self.assertFalse(machine.admission.is_open)
            await machine.send_heartbeat(born=HEARTBEAT["born"] + 5, seq=1)
            self.assertTrue(machine.admission.is_open)
            await machine.send_heartbeat("draining", seq=99)
            self.assertTrue(machine.admission.is_open)

        self.run_machines(scenario)

    def test_invalid_announcements_change_nothing(self):
        async def scenario(_store, machine):
            self.assertEqual(await machine.send_heartbeat("gone"), 400)
            self.assertEqual(await machine.send_heartbeat(service="another"), 400)
            self.assertEqual((await machine.request("r1")).status, 200)

        self.run_machines(scenario)

    def test_a_planned_stop_finishes_requests_and_still_serves_peers(self):
        async def scenario(_store, first, second):
            second.server.service_seconds = 0.4
            first.server.close()
            call = asyncio.ensure_future(second.request("r1"))
            await self.wait_for(lambda: second.server.runs)
            stop = asyncio.ensure_future(second.sidecar.stop())
            await asyncio.sleep(0)
            self.assertFalse(await second.is_ready())
            self.assertTrue(second.admission.is_open)
            self.assertEqual((await call).status, 200)
            await stop

        self.run_machines(scenario, count=2)

    def test_changed_settings_apply_without_interrupting_requests(self):
        async def scenario(_store, machine):
            machine.server.service_seconds = 0.3
            call = asyncio.ensure_future(machine.request("r1"))
            await self.wait_for(lambda: machine.server.runs)
            settings = machine.sidecar.settings._replace(retry_slack=1000.0)
            before = machine.sidecar.gateway.retry_budget_settings.burst
            machine.sidecar.reload(settings)
            self.assertGreater(
                machine.sidecar.gateway.retry_budget_settings.burst, before
            )
            self.assertEqual((await call).status, 200)

        self.run_machines(scenario)


class PipeliningTests(SidecarTestCase):
    """Requests that a caller sends before the previous one is answered."""

    async def send(self, machine, names, method):
        reader, writer = await asyncio.open_connection(*machine.addresses[0])
        for name in names:
            head = f"{method} /x/1 HTTP/1.1\r\nHost: a.example\r\n"
            lines = f"X-Daisylink-Request-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            writer.write((head + lines).encode())
        return reader, writer

    async def read(self, reader, names):
        text = b""
        while text.count(b"HTTP/1.1") < len(names) or not text.endswith(
            f"answer to {names[-1]}".encode()
        ):
            text += await reader.read(65536)
        return [text.index(f"answer to {name}".encode()) for name in names]

    def test_idempotent_requests_run_concurrently_with_responses_in_order(self):
        names = ["r1", "r2", "r3"]

        async def scenario(_store, machine):
            machine.server.service_seconds = 0.3
            reader, writer = await self.send(machine, names, "GET")
            await self.wait_for(lambda: len(machine.server.runs) == len(names), 0.25)
            offsets = await self.read(reader, names)
            self.assertEqual(offsets, sorted(offsets))
            writer.close()

        self.run_machines(scenario)

    def test_a_stop_closes_no_connection_with_a_pending_response(self):
        """Responses were LOST at a machine after SIGTERM (hanbit-grown, scale-1)."""
        names = ["r1", "r2"]

        async def scenario(_store, machine):
            machine.server.service_seconds = 0.3
            reader, writer = await self.send(machine, names, "GET")
            await self.wait_for(lambda: len(machine.server.runs) == len(names))
            stop = asyncio.ensure_future(machine.sidecar.stop())
            await asyncio.sleep(0.05)
            late = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
            writer.write(f"{late}X-Daisylink-Request-Id: late\r\n\r\n".encode())
            async with asyncio.timeout(2):
                text = await reader.read(-1)
            for name in names:
                self.assertIn(f"answer to {name}".encode(), text)
            self.assertEqual(text.lower().count(b"connection: close"), 1)
            self.assertEqual(machine.server.runs, names)
            await stop

        self.run_machines(scenario)

    def test_a_non_idempotent_request_waits_for_the_response_before_it(self):
        """If a response closes the connection, requests after it are sent again."""
        names = ["r1", "r2"]
        configuration = make_configuration(kind="non_idempotent")

        async def scenario(_store, machine):
            machine.server.service_seconds = 0.3
            reader, writer = await self.send(machine, names, "POST")
            await asyncio.sleep(0.2)
            self.assertEqual(machine.server.runs, ["r1"])
            await self.read(reader, names)
            self.assertEqual(machine.server.runs, names)
            writer.close()

        self.run_machines(scenario, configuration=configuration)
