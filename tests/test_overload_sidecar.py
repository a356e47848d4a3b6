"""Calls of running requests and refusals, through sidecars."""

from daisylink.request import make_refusal
from daisylink.serving._admission import AdmissionLimits
from daisylink.version import Priority
from tests.sidecar_case import SidecarTestCase
from tests.test_overload import make_plan


class OverloadSidecarTests(SidecarTestCase):
    def test_a_call_is_refused_when_its_parent_is_gone(self):
        """The server of a request that was given up went on to call others."""

        async def scenario(_store, machine):
            running = machine.sidecar.gateway.running
            running.begin(b"parent", make_plan(deadline=1e9, slo_deadline=1e9))
            self.assertEqual((await machine.request("parent.1")).status, 200)
            self.assertEqual(running.calls, 1)
            running.end(b"parent", False, machine.sidecar.now())
            self.assertEqual((await machine.request("parent.2")).status, 503)
            self.assertEqual(len(machine.server.runs), 1)

        self.run_machines(scenario)

    def test_a_call_counts_for_its_parent_at_another_node(self):
        """The server's node queued it by its own objective, as late."""

        async def scenario(_store, first, second):
            first.admission.open(AdmissionLimits(0, 9, 9))
            now = first.sidecar.now()
            parent = make_plan(now + 5, now + 5, priority=Priority.URGENT)
            first.sidecar.gateway.running.begin(b"parent", parent)
            plans = []
            slots = second.sidecar.gateway.slots
            try_admit = slots.try_admit
            slots.try_admit = lambda *item: (plans.append(item[1]), try_admit(*item))[1]
            self.assertEqual((await first.request("parent.1")).status, 200)
            self.assertTrue(plans[0].is_call)
            self.assertEqual(plans[0].priority, Priority.URGENT)
            self.assertGreater(plans[0].slo_deadline, now + 4)
            self.assertEqual((await first.request("other.1")).status, 200)
            self.assertFalse(plans[1].is_call)

        self.run_machines(scenario, count=2)

    def test_requests_that_run_are_known_and_forgotten(self):
        async def scenario(_store, machine):
            running = machine.sidecar.gateway.running
            seen = []
            begin = running.begin
            running.begin = lambda *item: (seen.append(item[0]), begin(*item))
            self.assertEqual((await machine.request("one")).status, 200)
            self.assertEqual(seen, [b"one"])
            self.assertEqual((running.runs, running.abandoned), ({}, {}))

        self.run_machines(scenario)

    def test_an_unexpected_error_before_an_attempt_does_not_tell_of_a_lost_answer(self):
        async def scenario(_store, machine):
            def fail(*_):
                raise RuntimeError("test")

            machine.sidecar.gateway.place = fail
            response = await machine.request("one")
            self.assertEqual(response.status, make_refusal(5008).status)
            self.assertEqual(machine.server.runs, [])

        self.run_machines(scenario)
