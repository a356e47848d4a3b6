"""A backend server names the rate that it takes, or says that it leaves."""

import asyncio
import unittest

from daisylink.errors import ResultCode
from daisylink.platform import HEADER_NAMES
from daisylink.request import Admitted, Queued, Refused, ServerNotice, ToldLimit
from daisylink.request._head import decode_told_limit, encode_told_limit
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.version import Priority
from tests.platform_standin import encode_response
from tests.sidecar_case import SidecarTestCase

WINDOW_SECONDS = 4.0
# The rule's bound in a window: 1.5 times what the limit allows, and 5 more.
BOUND_FACTOR = 1.5
BOUND_SLACK = 5
# From then on the bound holds; machines are told within it.
STABLE_SECONDS = 3.0
# From then on a server that says that it leaves gets no new requests.
DRAIN_SECONDS = 2.0


def max_in_window(times, since):
    """Return the most requests that arrived in any window that began later."""
    times = [time for time in times if time >= since]
    return max(
        (
            sum(start <= time < start + WINDOW_SECONDS for time in times)
            for start in times
        ),
        default=0,
    )


def allowed(limit):
    return BOUND_FACTOR * limit * WINDOW_SECONDS + BOUND_SLACK


class NamingServer:
    """Makes a stand-in server say something of itself and note when requests come.

    :param extra: header lines of its responses.
    """

    def __init__(self, machine, extra, status="200 OK"):
        self.server = machine.server
        self.extra = extra
        self.status = status
        self.times = []
        self.server.make_raw_response = self.respond

    def respond(self, name):
        self.times.append(asyncio.get_running_loop().time())
        data = encode_response(name, b"named", self.extra)
        return data.replace(b"200 OK", self.status.encode())


class NamingServerTestCase(SidecarTestCase):
    async def leave_only_server_of(self, first, second):
        """Drain the second machine's server, so that its requests are relayed."""
        await second.send_heartbeat("draining")
        await self.wait_for(
            lambda: all(
                len(m.sidecar.members.serving("one")) == 1 for m in (first, second)
            )
        )


class ServerLimitTests(NamingServerTestCase):
    async def send_steadily(self, machines, seconds, per_second, **request):
        """Send requests to all machines in turn; return the statuses."""
        loop = asyncio.get_running_loop()
        tasks = []
        end = loop.time() + seconds
        heartbeat_at = loop.time()
        while loop.time() < end:
            machine = machines[len(tasks) % len(machines)]
            name = f"r{len(tasks)}"
            tasks.append(asyncio.ensure_future(machine.request(name, **request)))
            if loop.time() >= heartbeat_at:
                heartbeat_at = loop.time() + 1.0
                for each in machines:
                    await each.send_heartbeat()
            await asyncio.sleep(1 / per_second)
        return [response.status for response in await asyncio.gather(*tasks)]

    def check_limit(self, limit, count, per_second=60, status="200 OK", **request):
        async def scenario(_store, *machines):
            extra = f"Server-Limit: {limit}\r\n"
            naming = NamingServer(machines[0], extra, status)
            await self.send_steadily(machines, 9.0, per_second, **request)
            since = naming.times[0] + STABLE_SECONDS
            self.assertLessEqual(
                max_in_window(naming.times, since), allowed(float(limit))
            )
            self.assertGreater(len(naming.times), 0)

        self.run_machines(scenario, count=count)

    def test_a_server_gets_no_more_than_it_named_from_all_machines_together(self):
        self.check_limit("8.8", count=3, per_second=120)

    def test_what_the_server_does_not_take_goes_to_the_others(self):
        async def scenario(_store, *machines):
            NamingServer(machines[0], "Server-Limit: 3\r\n")
            statuses = await self.send_steadily(machines, 4.0, 60)
            self.assertLess(statuses.count(503), 0.02 * len(statuses))

        self.run_machines(scenario, count=3)

    def test_an_only_server_gets_no_more_than_it_named(self):
        self.check_limit("5", count=1)

    def test_requests_that_the_server_refuses_count_too(self):
        self.check_limit("6", count=2, status="503 Service Unavailable")

    def test_a_server_that_takes_nothing_gets_next_to_nothing(self):
        self.check_limit("0", count=2)

    def test_the_server_gets_what_it_takes(self):
        """A limit is no reason to send nothing."""

        async def scenario(_store, machine):
            naming = NamingServer(machine, "Server-Limit: 10\r\n")
            await self.send_steadily([machine], 6.0, 40)
            last = [t for t in naming.times if t >= naming.times[0] + 2.0]
            self.assertGreater(len(last), 0.8 * 10 * 4.0)

        self.run_machines(scenario)

    def test_a_node_that_starts_again_keeps_the_limit_that_others_were_told(self):
        """Its first answer comes when a burst has already passed."""

        async def scenario(_store, first, second):
            await self.leave_only_server_of(first, second)
            naming = NamingServer(first, "Server-Limit: 0.5\r\n")
            await self.send_steadily([second], 5.0, 20)
            since = naming.times[0] + STABLE_SECONDS
            first.server.service_seconds = 0.5
            for _ in range(3):
                first.sidecar.close()
                await first.start_sidecar()
                await self.wait_for(lambda: first.sidecar.is_ready)
                await self.send_steadily([second], 1.2, 40)
                await first.send_heartbeat()
                await self.send_steadily([second], 1.2, 40)
            self.assertLessEqual(max_in_window(naming.times, since), allowed(0.5))

        self.run_machines(scenario, count=2)

    def test_a_request_that_cannot_have_its_turn_in_time_is_refused_at_once(self):
        async def scenario(_store, machine):
            NamingServer(machine, "Server-Limit: 1\r\n")
            await machine.request("r1")
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            responses = [await machine.request(f"r2-{n}") for n in range(4)]
            self.assertLess(loop.time() - started_at, 0.2)
            refused = [r for r in responses if r.status == 503]
            self.assertGreaterEqual(len(refused), 3)
            for response in refused:
                self.assertGreater(float(response.headers["retry-after"]), 0.0)

        self.run_machines(scenario)

    def test_a_limit_ends_with_an_answer_that_names_none(self):
        async def scenario(_store, machine):
            naming = NamingServer(machine, "Server-Limit: 2\r\n")
            await self.send_steadily([machine], 2.0, 20)
            naming.extra = ""
            await self.send_steadily([machine], 1.5, 20)
            before = len(naming.times)
            statuses = await self.send_steadily([machine], 2.0, 20)
            self.assertEqual(set(statuses), {200})
            self.assertGreater(len(naming.times) - before, 30)

        self.run_machines(scenario)

    def test_a_limit_does_not_bind_the_next_server(self):
        async def scenario(_store, machine):
            naming = NamingServer(machine, "Server-Limit: 0\r\n")
            await machine.request("r1")
            naming.extra = ""
            machine.server.instance = "i-next"
            machine.sequence = 0
            await machine.send_heartbeat(born=1_700_000_000_000_0)
            statuses = await self.send_steadily([machine], 1.0, 20)
            self.assertEqual(set(statuses), {200})

        self.run_machines(scenario)

    def test_a_value_that_is_no_limit_changes_nothing(self):
        async def scenario(_store, machine):
            naming = NamingServer(machine, "")
            for value in ("", "-1", "nan", "inf", "x", "1e999", "9" * 300, "1_0"):
                naming.extra = f"Server-Limit: {value}\r\n"
                statuses = await self.send_steadily([machine], 0.5, 20)
                self.assertEqual(set(statuses), {200}, value)
            self.assertIsNone(machine.sidecar.gateway.notices.own.limit)

        self.run_machines(scenario)


class PacedAdmissionTests(unittest.TestCase):
    def setUp(self):
        self.admission = Admission()
        self.admission.open(AdmissionLimits(8, 9, 20))
        self.admission.pacer.set_rate(2.0, 0.0)

    def admit(self, ticket, now, priority=Priority.NORMAL, deadline=60.0):
        return self.admission.try_admit(ticket, priority, deadline, now)

    def test_turns_go_to_urgent_requests_first(self):
        for ticket, priority in (("bulk", Priority.BULK), ("urgent", Priority.URGENT)):
            self.assertIsInstance(self.admit(ticket, 0.0, priority), Queued)
        admitted = [self.admission.admit_waiting(0.5), self.admission.admit_waiting(1)]
        self.assertEqual(admitted, [["urgent"], ["bulk"]])

    def test_a_request_whose_turn_comes_after_its_deadline_is_refused(self):
        for number in range(4):
            self.assertIsInstance(self.admit(number, 0.0), Queued)
        decision = self.admit("late", 0.0, deadline=1.0)
        self.assertIsInstance(decision, Refused)
        self.assertEqual(decision.code, ResultCode.REQUEST_RATE_LIMITED)
        self.assertGreater(decision.retry_ms, 1000)

    def test_requests_that_wait_for_a_turn_start_when_the_limit_ends(self):
        for number in range(4):
            self.admit(number, 0.0)
        self.admission.pacer.set_rate(None, 0.1)
        self.assertLess(self.admission.wake_at, 0.1)
        self.assertEqual(self.admission.admit_waiting(0.1), [0, 1, 2, 3])

    def test_a_new_request_does_not_overtake_those_that_wait_for_a_turn(self):
        self.admit("first", 0.0)
        self.assertIsInstance(self.admit("second", 5.0), Queued)
        self.assertEqual(self.admission.admit_waiting(5.0), ["first"])

    def test_turns_that_nobody_took_are_not_saved_up(self):
        started = [
            number
            for number in range(100)
            if isinstance(self.admit(number, 60.0 + number / 1000), Admitted)
        ]
        self.assertEqual(len(started), 1)


class LeavingServerTests(NamingServerTestCase):
    def test_a_server_that_says_it_leaves_gets_nothing_though_it_says_it_is_ready(self):
        async def scenario(_store, *machines):
            naming = NamingServer(machines[0], "Server-Leaving: 1\r\n")
            await self.reach(machines, naming)
            told_at = asyncio.get_running_loop().time()
            naming.extra = ""
            for number in range(40):
                for machine in machines:
                    await machine.request(f"s{number}-{machine.number}")
                await machines[0].send_heartbeat()
                await asyncio.sleep(0.1)
            late = [t for t in naming.times if t > told_at + DRAIN_SECONDS]
            self.assertEqual(late, [])

        self.run_machines(scenario, count=2)

    def test_a_server_that_said_it_leaves_is_not_announced_again(self):
        """Its announcement had lapsed when the answer came."""

        async def scenario(_store, machine):
            sidecar = machine.sidecar
            record = sidecar.members.own_record
            sidecar.local_server.remove()
            sidecar.update_server()
            sidecar.gateway.notices.record_own(record, ServerNotice(is_leaving=True))
            await machine.send_heartbeat()
            self.assertFalse(machine.admission.is_open)

        self.run_machines(scenario)

    def test_a_node_that_starts_again_sends_nothing_to_a_server_that_leaves(self):
        """The store is away, so only the machines that were told know it."""

        async def scenario(store, first, second):
            await self.leave_only_server_of(first, second)
            naming = NamingServer(first, "Server-Leaving: 1\r\n")
            store_client = first.sidecar.platform_adapter.store.client
            store_client.address = "127.0.0.1:1"
            store_client.close()
            await self.reach([second], naming)
            told_at = asyncio.get_running_loop().time()
            naming.extra = ""
            first.sidecar.close()
            await first.start_sidecar()
            await self.wait_for(lambda: first.sidecar.is_ready)
            for number in range(40):
                await first.send_heartbeat()
                await second.request(f"s{number}")
                await asyncio.sleep(0.1)
            late = [t for t in naming.times if t > told_at + DRAIN_SECONDS]
            self.assertEqual(late, [])

        self.run_machines(scenario, count=2)

    async def reach(self, machines, naming):
        """Send requests until each machine has passed on an answer of the server."""
        for machine in machines:
            reached = len(naming.times)
            for number in range(200):
                await machine.request(f"reach{machine.number}-{number}")
                if len(naming.times) > reached:
                    break
            else:
                break


class NoticeHeaderTests(unittest.TestCase):
    def read(self, *values):
        headers = [(b"server-limit", value) for value in values]
        return HEADER_NAMES.read_notice(headers)

    def test_decimal_numbers_are_limits(self):
        for value, limit in ((b"14.4", 14.4), (b"0", 0.0), (b" 0.4 ", 0.4)):
            self.assertEqual(self.read(value).limit, limit)
        self.assertEqual(self.read(b"1e9").limit, 1e9)

    def test_of_two_limits_the_lower_one_counts(self):
        self.assertEqual(self.read(b"9", b"4").limit, 4.0)
        notice = self.read(b"9", b"nan")
        self.assertEqual((notice.limit, notice.is_malformed), (9.0, True))

    def test_a_limit_from_another_node_that_cannot_be_read_is_none(self):
        for value in (b"", b"x i-1 1", b"-1 i-1 1", b"nan i-1 1", b"1 i-1", b"1 i 1e9"):
            self.assertIsNone(decode_told_limit(value), value)
        self.assertIsNone(decode_told_limit(b"1 i-1 " + b"9" * 5000))
        told = ToldLimit(0.4, "i-1", 1_700_000_000_000)
        self.assertEqual(decode_told_limit(encode_told_limit(told)), told)

    def test_leaving_is_said_by_1_alone(self):
        for value, is_leaving in ((b"1", True), (b"0", False), (b"yes", False)):
            notice = HEADER_NAMES.read_notice([(b"server-leaving", value)])
            self.assertIs(notice.is_leaving, is_leaving)
