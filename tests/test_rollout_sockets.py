"""Rollouts over sockets: sidecars, the stand-in store and backend servers."""

import asyncio
from base64 import b64decode
from contextlib import asynccontextmanager

import msgspec

from daisylink.errors import PlatformError, ResultCode
from daisylink.registry import NO_REVISION, Put, StoreRevision
from daisylink.rollout import CONTROLLER_KEY, state_key
from tests.platform_standin import SEAL, Fault
from tests.sidecar_case import Machine, SidecarTestCase

ORDER_KEY = "op/rollout/one"
STATUS_KEY = "status/rollout/one"


def make_order(version="v2", duration="9s", service="one"):
    order = {"service": service, "target_version": version, "duration": duration}
    return msgspec.json.encode(order)


def make_failure(name):
    head = (
        "HTTP/1.1 500 X\r\n"
        f"X-Daisylink-Request-Id: {name}\r\n"
        f"X-Daisylink-Response-Seal: {SEAL}\r\nContent-Length: 0\r\n\r\n"
    )
    return head.encode()


def list_statuses(store, key=STATUS_KEY):
    """Return the states written as a status, in their order."""
    return [
        msgspec.json.decode(b64decode(event["value"]))["state"]
        for event in store.events
        if event["key"] == key
    ]


class RolloutCase(SidecarTestCase):
    def setUp(self):
        # References, without which tasks may end early.
        self.announcers = []

    async def send_traffic(self, machines, until):
        """Send requests through all machines until a condition holds."""
        number = 0
        async with asyncio.timeout(20):
            while not until():
                calls = [m.request(f"t{number}-{m.number}") for m in machines]
                await asyncio.gather(*calls)
                number += 1
                await asyncio.sleep(0.03)

    async def announce(self, machines, version):
        for machine in machines:
            await machine.send_heartbeat(version=version, cold_left="0ms", slots=4)

    @asynccontextmanager
    async def begin(self, store, machines):
        """Give the machines version v1, order v2 and start another machine with it."""
        await self.announce(machines, "v1")
        new = Machine(store, 9)
        await new.start()
        try:
            store.put(ORDER_KEY, make_order())
            await asyncio.sleep(0.3)
            self.keep_announcing(machines, "v1")
            self.keep_announcing([new], "v2")
            yield new
        finally:
            new.close()

    def keep_announcing(self, machines, version):
        async def announce():
            while True:
                await self.announce(machines, version)
                await asyncio.sleep(1.0)

        task = asyncio.get_running_loop().create_task(announce())
        self.announcers.append(task)


class RolloutTests(RolloutCase):
    def test_traffic_moves_to_a_good_version(self):
        """Guards against an old server that is chosen after the completion."""

        async def scenario(store, *machines):
            async with self.begin(store, machines):
                await self.send_traffic(
                    machines, lambda: "completed" in list_statuses(store)
                )
                self.assertEqual(list_statuses(store), ["running", "completed"])
                running = [m.admission.in_use for m in machines]
                self.assertEqual(running, [0] * len(machines))
                before = [len(m.server.runs) for m in machines]
                answers = [await machines[0].request(f"after{i}") for i in range(5)]
                self.assertEqual([answer.status for answer in answers], [200] * 5)
                self.assertEqual([len(m.server.runs) for m in machines], before)

        self.run_machines(scenario, count=3)

    def test_a_bad_version_is_rolled_back_and_gets_nothing_again(self):
        """Guards against exposure beyond the allowance, and after the roll-back."""

        async def scenario(store, *machines):
            async with self.begin(store, machines) as new:
                new.server.make_raw_response = make_failure
                await self.send_traffic(
                    machines, lambda: "rolled_back" in list_statuses(store)
                )
                self.assertEqual(list_statuses(store), ["running", "rolled_back"])
                await asyncio.sleep(1.2)
                before = len(new.server.runs)
                self.assertGreater(before, 0)
                self.assertLess(before, 50)
                for number in range(10):
                    answer = await machines[0].request(f"after{number}")
                    self.assertEqual(answer.status, 200)
                self.assertEqual(len(new.server.runs), before)

        self.run_machines(scenario, count=3)

    def test_a_version_that_never_starts_is_rolled_back(self):
        """Guards against a rollout without a final state."""

        async def scenario(store, *machines):
            await self.announce(machines, "v1")
            self.keep_announcing(machines, "v1")
            store.put(ORDER_KEY, make_order("v7", "3s"))
            await self.wait_for(lambda: len(list_statuses(store)) == 2)
            self.assertEqual(list_statuses(store), ["running", "rolled_back"])

        self.run_machines(scenario, count=3)

    def test_an_unknown_service_is_rolled_back_and_a_bad_order_ignored(self):
        """Guards against an order that ends the controller, or has no state."""

        async def scenario(store, *machines):
            store.put("op/rollout/two", b"{")
            store.put("op/rollout/none", make_order(service="none"))
            key = "status/rollout/none"
            await self.wait_for(lambda: len(list_statuses(store, key)) == 2)
            self.assertEqual(list_statuses(store, key), ["running", "rolled_back"])
            self.assertNotIn("status/rollout/two", store.items)

        self.run_machines(scenario, count=1)

    def test_another_reader_takes_over_from_a_killed_controller(self):
        """Guards against a rollout that ends with its controller."""

        async def scenario(store, *machines):
            await self.announce(machines, "v1")
            store.put(ORDER_KEY, make_order("v7", "6s"))
            await self.wait_for(lambda: list_statuses(store) == ["running"])
            await asyncio.sleep(0.5)
            value = b64decode(store.items[CONTROLLER_KEY]["value"]).decode()
            (first,) = [
                m for m in machines if str(m.addresses[4]) == value.split(" ")[0]
            ]
            lease = first.sidecar.registration.lease_id
            first.close()
            others = [m for m in machines if m is not first]
            self.keep_announcing(others, "v1")
            await asyncio.sleep(1.0)
            store.end_lease(lease)
            await self.wait_for(lambda: len(list_statuses(store)) == 2, 12.0)
            self.assertEqual(list_statuses(store), ["running", "rolled_back"])

        self.run_machines(scenario, count=3)

    def test_the_store_is_unavailable_for_a_while(self):
        """Guards against a step that is lost when its write fails."""

        async def scenario(store, *machines):
            await self.announce(machines, "v1")
            self.keep_announcing(machines, "v1")
            store.put(ORDER_KEY, make_order("v7", "3s"))
            await self.wait_for(lambda: list_statuses(store) == ["running"])
            await asyncio.sleep(1.0)
            store.fault = Fault.UNAVAILABLE
            await asyncio.sleep(2.0)
            store.fault = Fault.NONE
            await self.wait_for(lambda: len(list_statuses(store)) == 2)
            self.assertEqual(list_statuses(store), ["running", "rolled_back"])

        self.run_machines(scenario, count=2)

    def test_an_ended_rollout_is_written_again_after_an_older_copy(self):
        """Guards against a store that came back from before the roll-back."""

        async def scenario(store, *machines):
            await self.announce(machines, "v1")
            self.keep_announcing(machines, "v1")
            store.put(ORDER_KEY, make_order("v7", "3s"))
            await self.wait_for(lambda: state_key("one") in store.items)
            older = b64decode(store.items[state_key("one")]["value"])
            await self.wait_for(lambda: len(list_statuses(store)) == 2)
            store.put(state_key("one"), older)
            await self.wait_for(lambda: len(list_statuses(store)) == 3)
            value = b64decode(store.items[state_key("one")]["value"])
            self.assertEqual(msgspec.json.decode(value)["step"], "rolled_back")

        self.run_machines(scenario, count=2)


class TransactionTests(SidecarTestCase):
    def test_a_transaction_with_a_failed_condition_writes_nothing(self):
        """Guards against a step that an earlier controller still writes."""

        async def scenario(store, machine):
            client = machine.sidecar.store_driver.store
            put = [Put("k", b"1"), Put("l", b"2")]
            revision = await client.transact({"k": NO_REVISION}, put)
            self.assertEqual(store.items["l"]["rev"], revision.number)
            conditions = {"l": revision, "k": StoreRevision(1, 1)}
            with self.assertRaises(PlatformError) as caught:
                await client.transact(conditions, [Put("l", b"3")])
            self.assertIs(caught.exception.code, ResultCode.PLATFORM_CONFLICT)
            self.assertEqual(b64decode(store.items["l"]["value"]), b"2")
            with self.assertRaises(PlatformError) as caught:
                await client.transact({}, [Put("l", b"3", 99999)])
            self.assertIs(caught.exception.code, ResultCode.PLATFORM_LEASE_ENDED)

        self.run_machines(scenario, count=1)
