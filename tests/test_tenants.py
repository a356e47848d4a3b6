"""Tenants and API keys: who is let in, and what is forwarded to whom."""

import unittest
from pathlib import Path

import msgspec

from daisylink.errors import ResultCode, format_code_table
from daisylink.platform import (
    HEADER_NAMES,
    ConfigurationDecoder,
    decode_configuration,
)
from daisylink.request import (
    HOP_HEADER,
    HopMetadata,
    Refusal,
    compute_fingerprint,
    encode_hop_metadata,
    encode_refusal,
    parse_head,
    plan_relayed,
    plan_request,
)
from daisylink.request._authorization import remove_credentials
from daisylink.request._recording import find_key
from daisylink.serving import Metrics
from daisylink.serving._tenant_labels import MAX_TENANT_LABELS
from daisylink.version import Priority
from tests.sidecar_case import HOST
from tests.test_platform import make_configuration

KEY = "ta82-first"
OTHER_KEY = "h5mg-second"
MISSING = ResultCode.REQUEST_API_KEY_MISSING
SERIES = "daisylink_tenant_requests_total{"
UNKNOWN = ResultCode.REQUEST_API_KEY_UNKNOWN


def make_tenant(name="huka270", keys=(KEY,), **spec):
    row = {"resource_type": "tenants", "metadata": {"name": name}}
    return {**row, "spec": {"api_keys": list(keys), **spec}}


def make_open_route():
    spec = {
        "host": HOST,
        "prefix": "/open/",
        "kind": "idempotent",
        "timeout": "800ms",
        "service": "one",
        "allow_anon": True,
    }
    return {"resource_type": "routes", "metadata": {"name": "open"}, "spec": spec}


def make_tenants_configuration(*tenants, number=12, **route):
    document = msgspec.json.decode(make_configuration(**route))
    document["resources"] += [make_open_route(), *tenants]
    return msgspec.json.encode({**document, "version": f"r{number}"})


def make_head(*authorizations, path=b"/x/1", headers=(), is_relay=False):
    found = [(b"host", HOST.encode()), *headers]
    found += [(b"authorization", value) for value in authorizations]
    return parse_head(b"GET", path, found, is_relay, HEADER_NAMES)


def plan(version, *authorizations, path=b"/x/1"):
    return plan_request(make_head(*authorizations, path=path), version, 0.0)


class AuthorizationTests(unittest.TestCase):
    def setUp(self):
        self.version = decode_configuration(
            make_tenants_configuration(
                make_tenant(priority=0), make_tenant("tuatara", (OTHER_KEY,))
            )
        )

    def check_refused(self, code, *authorizations, path=b"/x/1"):
        refusal = plan(self.version, *authorizations, path=path)
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual((refusal.code, refusal.retry_ms), (code, 0))

    def test_a_key_finds_its_tenant_whatever_the_case_of_the_scheme(self):
        for scheme in (b"Bearer", b"bearer", b"BEARER"):
            found = plan(self.version, scheme + b" " + KEY.encode())
            self.assertEqual(found.tenant, "huka270")
        other = plan(self.version, b"Bearer " + OTHER_KEY.encode())
        self.assertEqual(other.tenant, "tuatara")

    def test_the_tenants_priority_goes_before_the_routes(self):
        first = plan(self.version, b"Bearer " + KEY.encode())
        self.assertIs(first.priority, Priority.URGENT)
        second = plan(self.version, b"Bearer " + OTHER_KEY.encode())
        self.assertIs(second.priority, Priority.BULK)

    def test_a_request_without_a_key_is_refused_unless_its_route_is_open(self):
        self.check_refused(MISSING)
        self.assertEqual(plan(self.version, path=b"/open/1").tenant, "")

    def test_an_unknown_key_is_refused_on_every_path(self):
        for path in (b"/x/1", b"/open/1", b"/nowhere"):
            self.check_refused(UNKNOWN, b"Bearer nobodys", path=path)

    def test_a_malformed_header_or_two_are_an_unknown_key(self):
        key = KEY.encode()
        for value in (b"", b"Bearer", b"Basic " + key, key, b"Bearer a " + key):
            self.check_refused(UNKNOWN, value, path=b"/open/1")
        good = b"Bearer " + key
        self.check_refused(UNKNOWN, good, good)

    def test_a_known_key_on_an_open_route_names_the_tenant(self):
        found = plan(self.version, b"Bearer " + KEY.encode(), path=b"/open/1")
        self.assertEqual(found.tenant, "huka270")

    def test_a_node_without_a_configuration_says_not_ready(self):
        refusal = plan(None, b"Bearer nobodys")
        self.assertIs(refusal.code, ResultCode.REQUEST_NOT_READY)

    def test_without_tenants_the_key_is_forwarded_in_its_place(self):
        version = decode_configuration(make_configuration())
        head = make_head(b"Bearer x", headers=[(b"a", b"1")])
        self.assertEqual(plan_request(head, version, 0.0).tenant, "")
        self.assertIs(remove_credentials(head, version), head)

    def test_with_tenants_the_key_is_removed(self):
        head = remove_credentials(make_head(b"Bearer x", b"y"), self.version)
        self.assertNotIn(b"authorization", dict(head.headers))

    def test_a_401_states_no_time_and_the_scheme(self):
        lines = encode_refusal(plan(self.version), False, True).lower()
        self.assertTrue(lines.startswith(b"http/1.1 401 "))
        self.assertIn(b"www-authenticate: bearer", lines)
        self.assertNotIn(b"retry-after:", lines)


class TenantHeaderTests(unittest.TestCase):
    HOP = (
        HOP_HEADER,
        encode_hop_metadata(HopMetadata("one", 500, True, Priority.NORMAL)),
    )

    def test_a_callers_tenant_header_is_dropped_in_each_spelling(self):
        """A server behind CGI or WSGI reads the spelling with underscores as well."""
        spellings = [b"x-daisylink-tenant", b"x_daisylink_tenant", b"daisylink-tenant"]
        for name in spellings:
            head = make_head(headers=[(name, b"victim")])
            self.assertEqual((head.tenant, len(head.headers)), ("", 1), name)

    def test_a_relayed_request_names_its_tenant_in_the_own_header_only(self):
        headers = [self.HOP, (b"x-daisylink-tenant", b"victim")]
        self.assertEqual(plan_relayed(self.relay(*headers), 0.0).tenant, "")
        headers.append((b"daisylink-tenant", b"huka270"))
        self.assertEqual(plan_relayed(self.relay(*headers), 0.0).tenant, "huka270")

    def relay(self, *headers):
        return make_head(headers=headers, is_relay=True)


class SeparationTests(unittest.TestCase):
    def test_one_idempotency_key_of_two_tenants_is_two_keys(self):
        """The response to one tenant's request was replayed to the other."""
        head = make_head(headers=[(b"idempotency-key", b"k")])
        keys = {find_key(head, "one", tenant) for tenant in ("", "a", "b")}
        self.assertEqual(len(keys), 3)
        self.assertEqual(find_key(head, "one"), find_key(head, "one", ""))

    def test_no_fingerprint_depends_on_the_key(self):
        heads = make_head(b"Bearer " + KEY.encode()), make_head(b"Bearer other")
        found = {compute_fingerprint(head, "", b"") for head in heads}
        self.assertEqual(len(found), 1)


class TenantEntryTests(unittest.TestCase):
    def test_a_damaged_entry_leaves_the_rest_in_force(self):
        """The whole configuration was refused, and a new node had no version."""
        for damaged in (
            make_tenant("bad", priority="high"),
            make_tenant("bad", rate_per_s="5"),
            make_tenant("bad", burst=-1),
            {**make_tenant("bad"), "spec": {"api_keys": "k"}},
            {**make_tenant("bad"), "spec": {"api_keys": [OTHER_KEY, 5]}},
            {"resource_type": "tenants", "metadata": {"name": "bad"}},
            {**make_tenant(), "metadata": 5},
            make_tenant("a\r\nb", (OTHER_KEY,)),
        ):
            data = make_tenants_configuration(make_tenant(), damaged)
            with self.subTest(damaged=damaged):
                version = decode_configuration(data)
                self.assertEqual(len(version.tenants.damaged), 1)
                good = plan(version, b"Bearer " + KEY.encode())
                self.assertEqual(good.tenant, "huka270")
                bad = plan(version, b"Bearer " + OTHER_KEY.encode())
                self.assertIs(bad.code, UNKNOWN)

    def test_damaged_entries_alone_do_not_open_the_routes(self):
        data = make_tenants_configuration(make_tenant(priority="high"))
        self.assertIs(plan(decode_configuration(data)).code, MISSING)

    def test_null_fields_are_absent(self):
        spec = {"priority": None, "rate_per_s": None, "burst": None}
        tenants = decode_configuration(
            make_tenants_configuration(make_tenant(**spec))
        ).tenants
        self.assertEqual(tenants.get("huka270").rate, 0.0)

    def test_a_key_of_two_tenants_finds_neither(self):
        """Each caller with the key would get the data of whichever came first."""
        data = make_tenants_configuration(
            make_tenant(keys=(KEY, OTHER_KEY)), make_tenant("tuatara", (OTHER_KEY,))
        )
        version = decode_configuration(data)
        self.assertIs(plan(version, b"Bearer " + OTHER_KEY.encode()).code, UNKNOWN)
        self.assertEqual(plan(version, b"Bearer " + KEY.encode()).tenant, "huka270")
        self.assertEqual(version.tenants.names_with_shared_key, {"huka270", "tuatara"})

    def test_a_change_of_tenants_replaces_the_table_and_nothing_else_does(self):
        decoder = ConfigurationDecoder()
        first = decoder.decode(make_tenants_configuration(make_tenant()))
        same = make_tenants_configuration(make_tenant(), number=13, timeout="100ms")
        self.assertIs(decoder.decode(same).tenants, first.tenants)
        data = make_tenants_configuration(make_tenant(keys=()), number=14)
        second = decoder.decode(data)
        self.assertIs(plan(second, b"Bearer " + KEY.encode()).code, UNKNOWN)
        none = decoder.decode(make_tenants_configuration(number=15))
        self.assertTrue(none.tenants.is_empty)


class TenantMetricTests(unittest.TestCase):
    def test_the_number_of_label_values_is_bounded(self):
        """10,000 tenants made 10,000 series at each node."""
        metrics = Metrics("n", "a", reads_latency=False)
        self.addCleanup(metrics.shutdown)
        for number in range(MAX_TENANT_LABELS + 40):
            for code in ("ok", "5009", "5024"):
                metrics.record_tenant(f"t{number}", code)
        lines = metrics.format_text().decode().splitlines()
        series = [line for line in lines if line.startswith(SERIES)]
        self.assertEqual(len(series), 2 * (MAX_TENANT_LABELS + 1))
        (other,) = [line for line in series if '="_other"' in line and '="ok"' in line]
        self.assertTrue(other.endswith(" 40.0"), other)


class CodesTests(unittest.TestCase):
    def test_the_page_of_codes_is_as_generated(self):
        path = Path(__file__).parent.parent / "docs" / "CODES.md"
        self.assertIn(format_code_table(), path.read_text())
