"""Any name that a configuration may contain is carried between nodes as it is.

review/15: requests on a route whose name has a space got 400 at other machines. A line
end in a name put a header of its own into the requests that servers got.
"""

import unittest
from contextlib import ExitStack, closing

import hypothesis.strategies as st
import msgspec
from hypothesis import example, given, settings

from daisylink import platform
from daisylink.request import (
    HopMetadata,
    decode_hop_metadata,
    encode_hop_metadata,
)
from daisylink.request._head import ToldLimit, decode_told_limit, encode_told_limit
from daisylink.request._header_text import decode_field, encode_field, encode_value
from daisylink.version import Priority
from tests.sidecar_case import Machine, SidecarTestCase
from tests.test_platform import make_configuration

# What JSON may contain: no surrogates.
TEXTS = st.text(st.characters(exclude_categories=["Cs"]), max_size=40)
ODD_NAMES = (
    "duty lookup",
    " edges ",
    "rota-ä",
    "근무표",
    "a\r\nx-injected: 1",
    "a\nb",
    "\x00",
    "-",
    "=",
    "=20",
    "50%",
    "%20",
    "",
    "x" * 300,
    "ä" * 300,
    "😀",
)
PLAIN_HOP = HopMetadata("one", 100, True, Priority.NORMAL, "two", "i-1", 12, 9, "r-1")


def with_examples(test):
    for name in ODD_NAMES:
        test = example(name)(test)
    return settings(derandomize=True, database=None, max_examples=200)(test)


class EncodedTextTests(unittest.TestCase):
    @with_examples
    @given(TEXTS)
    def test_any_text_comes_back_and_is_one_field(self, text):
        field = encode_field(text)
        self.assertEqual(decode_field(field), text)
        self.assertRegex(field, r"\A[!-~]+\Z")

    @with_examples
    @given(TEXTS)
    def test_metadata_of_a_request_comes_back(self, text):
        for field in ("pool", "origin", "instance", "route"):
            hop = PLAIN_HOP._replace(**{field: text})
            value = encode_hop_metadata(hop)
            self.assertEqual(decode_hop_metadata(value), hop)
            self.assertRegex(value, rb"\A[ -~]+\Z")

    @with_examples
    @given(TEXTS)
    def test_a_told_limit_comes_back(self, text):
        told = ToldLimit(2.5, text, 1000)
        self.assertEqual(decode_told_limit(encode_told_limit(told)), told)

    @with_examples
    @given(TEXTS)
    def test_no_text_ends_a_header_of_a_server(self, text):
        value = encode_value(text)
        self.assertNotRegex(value, rb"[\x00-\x1f\x7f]")
        if text.isprintable():
            self.assertEqual(value, text.encode())

    def test_plain_names_are_sent_as_by_the_release_before(self):
        value = b"one 100 i normal two i-1 12 9 r-1"
        self.assertEqual(encode_hop_metadata(PLAIN_HOP), value)
        empty = PLAIN_HOP._replace(origin="", instance="", route="")
        self.assertEqual(encode_hop_metadata(empty), b"one 100 i normal - - 12 9 -")

    def test_names_of_the_release_before_are_understood(self):
        """It sends the route's name, the last field, as it is."""
        for name in ("duty lookup", "rota-ä", "50%", "%20", "a  b "):
            value = f"one 100 i normal two i-1 12 9 {name}".encode()
            hop = PLAIN_HOP._replace(route=name)
            self.assertEqual(decode_hop_metadata(value), hop)


class OddNameTests(SidecarTestCase):
    """Requests that are relayed, with the names of the configuration."""

    def check_names(self, route="r", service="one"):
        """Return the headers that servers get for relayed requests, without values."""

        async def scenario(_store, *_machines):
            with ExitStack() as stack:
                machines = [
                    stack.enter_context(closing(Machine(_store, number, service)))
                    for number in range(2)
                ]
                for machine in machines:
                    await machine.start()
                    await self.wait_for(lambda m=machine: m.sidecar.is_ready)
                    await machine.send_heartbeat()
                await self.wait_for(lambda: knows_two(machines, service))
                first, second = machines
                first.sidecar.gateway.stop_serving()
                for number in range(3):
                    response = await first.request(f"r{number}")
                    self.assertEqual(response.status, 200, (route, service))
                self.assertEqual(first.server.runs, [])
                headers.extend(second.server.seen_headers)

        headers = []
        document = msgspec.json.decode(make_configuration(service=service))
        for row in document["resources"]:
            if row["resource_type"] == "routes":
                row["metadata"]["name"] = route
            if row["metadata"].get("name") == "one":
                row["metadata"]["name"] = service
        data = msgspec.json.encode(document)
        self.run_machines(scenario, count=0, configuration=data)
        return headers

    def test_a_routes_name_changes_nothing_for_servers(self):
        """review/15: 400 where the name has a space, a letter outside ASCII or NUL."""
        (expected,) = {frozenset(headers) for headers in self.check_names()}
        for name in ODD_NAMES:
            for headers in self.check_names(route=name):
                self.assertEqual(frozenset(headers), expected, name)
                caller = headers["x-daisylink-caller-service"]
                self.assertEqual(caller, "one")

    def test_a_service_may_have_any_name(self):
        for name in ("my service", "dienst-ä", "=", "-"):
            for headers in self.check_names(service=name):
                caller = headers["x-daisylink-caller-service"]
                self.assertEqual(caller.encode("latin-1").decode(), name)

    def test_a_line_end_in_a_services_name_is_no_header(self):
        for headers in self.check_names(service="a\r\nx-injected: 1"):
            self.assertNotIn("x-injected", headers)

    def test_a_damaged_name_of_a_tenant_is_no_header(self):
        spec = {"api_keys": ["k" * 20]}
        row = {"resource_type": "tenants", "metadata": {"name": "a\r\nb"}, "spec": spec}
        document = msgspec.json.decode(make_configuration())
        document["resources"].append(row)
        version = platform.decode_configuration(msgspec.json.encode(document))
        self.assertEqual(version.tenants.by_name, {})


def knows_two(machines, service):
    return all(len(m.sidecar.members.serving(service)) == 2 for m in machines)
