"""Requests of tenants through sidecars: what servers receive, logs and metrics."""

import msgspec
from loguru import logger

from daisylink.platform import CONFIG_KEY
from daisylink.standin import CallerClient
from tests.sidecar_case import HOST, SidecarTestCase
from tests.test_tenants import (
    KEY,
    MISSING,
    OTHER_KEY,
    SERIES,
    UNKNOWN,
    make_tenant,
    make_tenants_configuration,
)


class TenantSidecarTests(SidecarTestCase):
    """Requests through real sidecars and what their backend servers receive."""

    SPOOFED = {"X-Daisylink-Tenant": "victim", "X_Daisylink_Tenant": "victim"}
    CONFIGURATION = make_tenants_configuration(make_tenant())

    async def send(self, machine, name, key=None, path="/x/1", **headers):
        caller = CallerClient(str(machine.addresses[0]))
        found = {"X-Daisylink-Request-Id": name, **self.SPOOFED, **headers}
        if key is not None:
            found["Authorization"] = f"Bearer {key}"
        response = await caller.call("GET", path, HOST, b"", found)
        caller.close()
        return response

    def check_headers(self, machine, tenant):
        """Check that the server got the tenant, no key and no spoofed name."""
        for headers in machine.server.seen_headers:
            self.assertEqual(headers.get("x-daisylink-tenant"), tenant)
            self.assertNotIn("authorization", headers)
            self.assertNotIn("victim", headers.values())
            self.assertNotIn("daisylink-tenant", headers)

    def test_the_server_gets_the_tenant_and_no_key_from_its_own_node(self):
        async def scenario(_store, machine):
            self.assertEqual((await self.send(machine, "r1", KEY)).status, 200)
            self.check_headers(machine, "huka270")

        self.run_machines(scenario, configuration=self.CONFIGURATION)

    def test_the_server_gets_the_tenant_and_no_key_from_a_relaying_node(self):
        async def scenario(_store, first, second):
            await second.send_heartbeat("draining")
            self.assertEqual((await self.send(second, "r1", KEY)).status, 200)
            self.assertEqual(first.server.runs, ["r1"])
            self.check_headers(first, "huka270")

        self.run_machines(scenario, 2, self.CONFIGURATION)

    def test_a_retry_carries_the_tenant_and_no_key(self):
        async def scenario(_store, first, second):
            first.server.crash_path = second.server.crash_path = "/x/crash"
            await self.send(first, "r1", KEY, "/x/crash")
            for machine in (first, second):
                self.assertEqual(machine.server.runs, ["r1"])
                self.check_headers(machine, "huka270")

        self.run_machines(scenario, 2, self.CONFIGURATION)

    def test_an_open_route_passes_no_tenant_on_whatever_the_caller_sent(self):
        async def scenario(_store, first, second):
            await second.send_heartbeat("draining")
            for machine in (first, second):
                response = await self.send(machine, "r1", path="/open/1")
                self.assertEqual(response.status, 200)
            self.assertEqual(len(first.server.runs), 2)
            self.check_headers(first, None)

        self.run_machines(scenario, 2, self.CONFIGURATION)

    def test_a_servers_own_call_gets_no_tenant_although_it_repeats_its_parents(self):
        async def scenario(_store, machine):
            headers = {"X-Daisylink-Caller-Service": "one"}
            call = await self.send(machine, "r1.1", path="/open/1", **headers)
            self.assertEqual(call.status, 200)
            self.check_headers(machine, None)
            call = await self.send(machine, "r1.2", **headers)
            self.assertEqual(call.status, 401)

        self.run_machines(scenario, configuration=self.CONFIGURATION)

    def test_lines_and_metrics_name_the_tenant_and_no_key(self):
        lines = []

        async def scenario(store, machine):
            sink = logger.add(lines.append, level="DEBUG", serialize=True)
            for key in (KEY, None, "nobodys-key"):
                await self.send(machine, "r1", key)
            shared = [make_tenant(), make_tenant("b"), make_tenant("c", rate_per_s="")]
            changed = make_tenants_configuration(*shared, number=13)
            store.put(CONFIG_KEY, changed)
            await self.wait_for(
                lambda: machine.sidecar.fleet_state.version_number == 13
            )
            logger.remove(sink)
            metrics = machine.sidecar.gateway.metrics.format_text().decode()
            for tenant, outcome in (("huka270", "ok"), ("", "unauthorized")):
                labels = (f'tenant="{tenant}"', f'outcome="{outcome}"')
                found = [x for x in metrics.splitlines() if x.startswith(SERIES)]
                self.assertTrue(any(all(y in x for y in labels) for x in found))
            lines.append(metrics)

        self.run_machines(scenario, configuration=self.CONFIGURATION)
        *logged, _ = lines
        extras = [msgspec.json.decode(str(x))["record"]["extra"] for x in logged]
        ended = [x for x in extras if x.get("request") == "r1"]
        self.assertIn("huka270", [x.get("tenant") for x in ended])
        refused = {x["refused"]: x["version"] for x in ended if "refused" in x}
        self.assertEqual(refused, {MISSING.name: 12, UNKNOWN.name: 12})
        named = [x["tenants"] for x in extras if "tenants" in x]
        self.assertEqual(named, [["c"], ["b", "huka270"]])
        for text in lines:
            self.assertNotIn(KEY, text)
            self.assertNotIn("nobodys-key", text)

    def test_a_removed_key_is_refused_and_a_new_one_served(self):
        async def scenario(store, machine):
            changed = make_tenants_configuration(
                make_tenant(keys=(OTHER_KEY,)), number=13
            )
            store.put(CONFIG_KEY, changed)
            await self.wait_for(
                lambda: machine.sidecar.fleet_state.version_number == 13
            )
            self.assertEqual((await self.send(machine, "r1", KEY)).status, 401)
            self.assertEqual((await self.send(machine, "r2", OTHER_KEY)).status, 200)
            self.assertEqual(machine.server.runs, ["r2"])

        self.run_machines(scenario, configuration=self.CONFIGURATION)

    def test_a_node_without_a_configuration_refuses_each_key_with_503(self):
        async def scenario(_store, machine):
            for key in (KEY, None):
                response = await self.send(machine, "r1", key)
                self.assertEqual(response.status, 503)
                self.assertIn("retry-after", response.headers)

        self.run_machines(scenario, configuration=False)

    def test_a_pipelined_request_keeps_its_key_until_it_is_started(self):
        """It is planned twice: on arrival and, if it may not overtake, at its turn."""
        request = (
            f"GET /x/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n"
            "x-daisylink-request-id: %s\r\n\r\n"
        )

        async def scenario(_store, machine):
            caller = CallerClient(str(machine.addresses[0]))
            first = await caller.send((request % "r1" + request % "r2").encode())
            second = await caller.read_response()
            caller.close()
            self.assertEqual((first.status, second.status), (200, 200))

        data = make_tenants_configuration(make_tenant(), kind="non_idempotent")
        self.run_machines(scenario, configuration=data)

    def test_without_tenants_the_key_reaches_the_server(self):
        async def scenario(_store, first, second):
            await second.send_heartbeat("draining")
            for machine in (first, second):
                self.assertEqual((await self.send(machine, "r1", KEY)).status, 200)
            for headers in first.server.seen_headers:
                self.assertEqual(headers["authorization"], f"Bearer {KEY}")
                self.assertNotIn("x-daisylink-tenant", headers)

        self.run_machines(scenario, 2)
