"""Quotas of sidecars on sockets, from a request to its refusal."""

import asyncio
import unittest.mock

import msgspec

from daisylink.logs import configure_logging
from daisylink.quota import Admitted, MustAsk, QuotaAsk, find_shard
from daisylink.standin import CallerClient
from tests.sidecar_case import HOST, SidecarTestCase
from tests.test_platform import make_configuration

KEY_HEADERS = {"Authorization": "Bearer key"}


def make_tenant_configuration(rate=2.0, burst=2.0):
    document = msgspec.json.decode(make_configuration())
    spec = {"api_keys": ["key"], "rate_per_s": rate, "burst": burst}
    document["resources"].append(
        {"resource_type": "tenants", "metadata": {"name": "t"}, "spec": spec}
    )
    return msgspec.json.encode(document)


class QuotaTestCase(SidecarTestCase):
    def setUp(self):
        configure_logging("CRITICAL")

    async def wait_until_lent(self, *machines):
        await self.wait_for(
            lambda: all(
                loan.coordinator for m in machines for loan in m.sidecar.quota.loans
            )
        )


class RefusalTests(QuotaTestCase):
    def test_requests_beyond_the_quota_get_429_and_a_time_with_fractions(self):
        async def scenario(_store, *machines):
            await self.wait_until_lent(*machines)
            await asyncio.sleep(3)
            for machine in machines:
                await machine.send_heartbeat()
            responses = []
            for number in range(60):
                machine = machines[number % len(machines)]
                responses.append(await machine.request(f"q{number}", key="key"))
            refused = [r for r in responses if r.status == 429]
            admitted = sum(r.status == 200 for r in responses)
            self.assertEqual(len(refused) + admitted, len(responses))
            self.assertGreaterEqual(admitted, 2)
            self.assertLessEqual(admitted, (2 * 5 + 2) * 1.1 + 20)
            for response in refused:
                headers = {k.lower(): v for k, v in response.headers.items()}
                self.assertEqual(headers["daisylink-code"], "5027")
                self.assertEqual(headers["daisylink-outcome"], "not-run")
                retry = headers["retry-after"]
                self.assertIn(".", retry)
                self.assertTrue(0 < float(retry) <= 2.0)

        self.run_machines(scenario, 3, make_tenant_configuration())

    def test_a_request_waits_for_the_answer_and_its_body_is_buffered(self):
        async def scenario(_store, machine):
            decided = []
            machine.sidecar.gateway.quota = unittest.mock.Mock()

            def check(_tenant, on_decision):
                decided.append(on_decision)
                return MustAsk(1)

            machine.sidecar.gateway.quota.check = check
            caller = CallerClient(str(machine.addresses[0]))
            headers = {"X-Daisylink-Request-Id": "w"} | KEY_HEADERS
            call = caller.call("POST", "/x/1", HOST, b"body", headers)
            task = asyncio.get_running_loop().create_task(call)
            await self.wait_for(lambda: decided)
            await asyncio.sleep(0.05)
            self.assertFalse(task.done())
            decided[0](Admitted())
            response = await task
            self.assertEqual(response.status, 200)
            caller.close()

        self.run_machines(scenario, 1, make_tenant_configuration())

    def test_a_caller_that_leaves_and_a_deadline_end_the_wait(self):
        async def scenario(_store, machine):
            quota = machine.sidecar.gateway.quota = unittest.mock.Mock()
            quota.check.return_value = MustAsk(9)
            response = await machine.request("late", deadline=200, key="key")
            self.assertEqual(response.status, 503)
            quota.cancel.assert_called_once_with(9)
            quota.cancel.reset_mock()
            caller = CallerClient(str(machine.addresses[0]))
            call = caller.call("GET", "/x/1", HOST, b"", KEY_HEADERS)
            task = asyncio.get_running_loop().create_task(call)
            await self.wait_for(lambda: quota.check.call_count == 2)
            task.cancel()
            caller.close()
            await self.wait_for(lambda: quota.cancel.called)
            quota.cancel.assert_called_once_with(9)

        self.run_machines(scenario, 1, make_tenant_configuration())

    def test_a_question_to_an_unresponsive_coordinator_is_decided_in_time(self):
        async def scenario(_store, first, second):
            await self.wait_until_lent(first, second)
            shard = find_shard("t")
            coordinator = first.sidecar.quota.loans[shard].coordinator
            asker = second if coordinator == str(first.addresses[4]) else first
            for machine in (first, second):
                machine.sidecar.datagrams.decoders.pop(QuotaAsk.__name__)
            statuses = [
                (await asker.request(f"r{n}", key="key")).status for n in range(12)
            ]
            self.assertLessEqual(set(statuses), {200, 429})
            requests = asker.sidecar.quota.requests
            self.assertGreater(requests.counts["unanswered"], 0)
            self.assertFalse(requests.pending)

        self.run_machines(scenario, 2, make_tenant_configuration())


class NoLimitTests(QuotaTestCase):
    def test_without_limits_no_datagram_is_sent(self):
        async def scenario(store, *machines):
            for machine in machines:
                response = await machine.request("r", key="key")
                self.assertEqual(response.status, 200)
            await asyncio.sleep(1)
            for machine in machines:
                self.assertEqual(machine.sidecar.datagrams.counts["sent"], 0)
                self.assertIsNone(machine.sidecar.quota.timer)
            self.assertFalse([e for e in store.events if "fleet-size" in e["key"]])

        self.run_machines(scenario, 2, make_tenant_configuration(0.0, 0.0))

    def test_the_fleet_size_is_written_once(self):
        async def scenario(store, *machines):
            await self.wait_until_lent(*machines)
            for machine in machines:
                await self.wait_for(
                    lambda m=machine: m.sidecar.quota.fleet_size.stored == 2
                )
            written = [e for e in store.events if e["key"] == "daisylink/fleet-size"]
            self.assertEqual(len(written), 1)

        self.run_machines(scenario, 2, make_tenant_configuration())
