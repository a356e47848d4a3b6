"""Tests of faulty backend server responses and of what reaches the caller."""

import asyncio

from tests.platform_standin import encode_response
from tests.sidecar_case import SidecarTestCase
from tests.test_platform import make_configuration


class ServerResponseTests(SidecarTestCase):
    """Requests to a backend server that misbehaves."""

    def fetch_response(self, misbehave, method="GET", configuration=None):
        responses = []

        async def scenario(_store, machine):
            machine.server.make_raw_response = misbehave
            responses.append(await machine.request("r1", method))
            responses.append(len(machine.server.runs))

        self.run_machines(scenario, configuration=configuration)
        return responses

    def test_a_success_without_proof_is_not_passed_on(self):
        def unproved(name):
            data = encode_response(name, b"forged")
            return data.replace(b"X-Daisylink-Response-Seal", b"X-Other")

        response, _ = self.fetch_response(unproved)
        self.assertEqual(response.status, 502)

    def test_an_encoded_body_is_not_passed_on(self):
        def encoded(name):
            return encode_response(name, b"zz", "Content-Encoding: gzip\r\n")

        response, _ = self.fetch_response(encoded)
        self.assertEqual(response.status, 502)

    def test_a_stray_response_is_skipped(self):
        def stray_first(name):
            return encode_response("other", b"stray") + encode_response(name, b"own")

        response, runs = self.fetch_response(stray_first)
        self.assertEqual((response.status, response.body, runs), (200, b"own", 1))

    def test_bytes_after_a_response_are_discarded(self):
        def followed(name):
            return encode_response(name, b"own") + encode_response(name, b"again")

        async def scenario(_store, machine):
            machine.server.make_raw_response = followed
            first = await machine.request("r1")
            machine.server.make_raw_response = None
            second = await machine.request("r2")
            self.assertEqual((first.body, second.body), (b"own", b"answer to r2"))

        self.run_machines(scenario)

    def test_a_truncated_response_does_not_look_complete(self):
        def short(name):
            return encode_response(name, b"x" * 50)[:-20]

        async def scenario(_store, machine):
            machine.server.make_raw_response = short
            call = asyncio.ensure_future(machine.request("r1"))
            await self.wait_for(lambda: machine.server.runs)
            await asyncio.sleep(0.1)
            for writer in list(machine.server.writers):
                writer.transport.abort()
            response = await call
            self.assertFalse(response.is_complete)

        self.run_machines(scenario)

    def test_another_server_at_the_address_runs_nothing(self):
        async def scenario(_store, machine):
            machine.server.instance = "i-another"
            response = await machine.request("r1")
            self.assertEqual(response.status, 503)
            self.assertEqual(machine.server.runs, [])

        self.run_machines(scenario)

    def test_a_request_that_may_have_run_is_not_reported_as_not_run(self):
        configuration = make_configuration(kind="non_idempotent")

        async def scenario(_store, machine):
            machine.server.service_seconds = 0.1
            machine.server.make_raw_response = lambda _name: b""
            call = asyncio.ensure_future(machine.request("r1", "POST"))
            await self.wait_for(lambda: machine.server.runs)
            for writer in list(machine.server.writers):
                writer.transport.abort()
            response = await call
            self.assertEqual(response.status, 502)
            self.assertEqual(machine.server.runs, ["r1"])

        self.run_machines(scenario, configuration=configuration)
