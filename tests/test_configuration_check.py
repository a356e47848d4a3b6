"""``daisylinkctl check`` of a configuration: what is reported before it is sent."""

import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

import msgspec
from typer.testing import CliRunner

from daisylink.commands._configuration_check import (
    ConfigurationFormat,
    check_configuration,
)
from daisylink.commands.ctl import app
from daisylink.errors import ResultCode, VersionError
from daisylink.platform import (
    CONFIG_KEY,
    MetadataStore,
    decode_configuration,
    read_draft,
)
from daisylink.version import ReviewContext, Severity, review_draft
from tests.sidecar_case import SidecarTestCase
from tests.test_platform import make_configuration
from tests.test_tenants import KEY, OTHER_KEY, make_tenant, make_tenants_configuration


def make_entry(resource_type, name, /, **spec):
    row = {"resource_type": resource_type, "metadata": {"name": name}}
    return {**row, "spec": spec}


def make_document(*entries, number=12, **route):
    document = msgspec.json.decode(make_configuration(**route))
    split = [{"service": "one", "weight": 1}, {"service": "two", "weight": 1}]
    spec = {"host": "", "prefix": "/", "kind": "idempotent", "timeout": "1s"}
    both = make_entry("routes", "both", **spec, weighted_split=split)
    document["resources"] += [both, *entries]
    return msgspec.json.encode({**document, "version": f"r{number}"})


def make_route(name, /, **spec):
    usual = {"host": "b", "prefix": f"/{name}/", "kind": "idempotent"}
    return make_entry("routes", name, **{**usual, "timeout": "1s", **spec})


def review(data, **context):
    return review_draft(read_draft(data), ReviewContext(**context))


class FindingTests(unittest.TestCase):
    def check(self, data, code, severity, name="", **context):
        found = review(data, **context).findings
        places = [(item.code, item.severity, item.name) for item in found]
        self.assertIn((code, severity, name), places)

    def test_a_good_configuration_has_no_finding(self):
        for data in (
            make_document(),
            make_document(make_tenant(rate_per_s=278, burst=278)),
            make_document(make_entry("unheard-of", "x")),
        ):
            self.assertEqual(review(data).findings, ())

    def test_what_the_decoder_refuses_is_an_error(self):
        """A configuration passed the check, and no node put it in force."""
        for data in (
            b"{",
            b"{}",
            make_document()[:-4],
            make_document().replace(b'"r12"', b'"12"'),
            make_document(make_route("r1", service="missing")),
            make_document(make_route("r1")),
            make_document(make_route("r1", service="one", timeout="soon")),
            make_document(make_entry("services", "s", max_conns="many")),
            make_document(make_entry("limits", "", idle_timeout="1")),
            make_document({"resource_type": "routes"}),
            make_document(5),
        ):
            with self.subTest(data=data[-60:]):
                with self.assertRaises(VersionError):
                    decode_configuration(data)
                self.assertTrue(review(data).has_errors)

    def test_all_damaged_entries_are_named(self):
        routes = [make_route(f"r{n}", service="one", timeout="soon") for n in (1, 2)]
        data = make_document(*routes, make_tenant("bad", priority="high"))
        found = [item.name for item in review(data).findings]
        self.assertEqual(found, ["r1", "r2", "bad"])

    def test_entries_without_use_are_named(self):
        code, warning = ResultCode.CONFIG_NEVER_USED, Severity.WARNING
        split = [{"service": "one", "weight": 1}, {"service": "two", "weight": 0}]
        for name, spec in (
            ("r1", {"weighted_split": split}),
            ("r1", {"service": "one", "prefix": "x/"}),
            ("r1", {"service": "one", "prefix": "/x?a"}),
            ("r1", {"service": "one", "host": "b:80"}),
            ("r1", {"service": "one", "host": "*.b"}),
        ):
            with self.subTest(spec=spec):
                self.check(make_document(make_route(name, **spec)), code, warning, "r1")
        unused = make_document(make_entry("services", "three"))
        self.check(unused, code, warning, "three")

    def test_the_hidden_route_of_two_is_named(self):
        routes = [make_route(n, service="one", prefix="/p/") for n in ("r2", "r1")]
        data = make_document(*routes)
        kept = decode_configuration(data).route_table.find_route("b", "/p/1")
        self.assertEqual(kept.route.name, "r2")
        code = ResultCode.CONFIG_DUPLICATE
        self.check(data, code, Severity.ERROR, "r1")

    def test_limits_that_contradict_each_other(self):
        code, warning = ResultCode.CONFIG_LIMITS, Severity.WARNING
        for spec in ({"slo": "2s"}, {"timeout": "0ms"}, {"max_attempts": 5}):
            data = make_document(make_route("r1", service="one", **spec))
            self.check(data, code, warning, "r1")
        data = make_document(make_route("r1", service="one", max_attempts=2))
        self.check(data, code, warning, "r1", servers={"one": 1, "two": 1})
        for spec in ({"rate_per_s": 5}, {"burst": 5}, {"rate_per_s": 5, "burst": 0.5}):
            data = make_document(make_tenant("t", **spec))
            self.check(data, code, warning, "t")

    def test_keys_that_let_nobody_in(self):
        code = ResultCode.CONFIG_NO_KEY
        self.check(make_document(make_tenant(keys=())), code, "warning", "huka270")
        data = make_document(make_tenant(keys=(KEY, "a b")))
        self.check(data, code, "error", "huka270")
        data = make_document(make_tenant(), make_tenant("b"))
        for name in ("huka270", "b"):
            self.check(data, ResultCode.CONFIG_SHARED_KEY, "error", name)

    def test_a_service_without_servers_and_an_older_version(self):
        code = ResultCode.CONFIG_NO_SERVER
        self.check(make_document(), code, "warning", "two", servers={"one": 1})
        in_force = decode_configuration(make_document(number=13))
        code = ResultCode.CONFIG_NOT_NEWER
        self.check(make_document(), code, "error", in_force=in_force)

    def test_changes_count_keys_and_name_none(self):
        in_force = decode_configuration(
            make_document(make_tenant("old"), make_tenant("kept", ("third",)))
        )
        data = make_document(
            make_tenant(keys=(KEY, OTHER_KEY)),
            make_tenant("kept", ("fourth",)),
            make_route("r1", service="one"),
            number=13,
        )
        changes = review(data, in_force=in_force).changes
        expected = (
            "set route r1",
            "remove tenant old",
            "set tenant huka270 (keys: 2 added, 0 removed)",
            "set tenant kept (keys: 1 added, 1 removed)",
        )
        self.assertEqual(changes, expected)

    def test_no_finding_contains_a_key(self):
        shared = [
            make_tenant("a"),
            make_tenant("b", (KEY, "a b")),
            make_tenant("c", ""),
        ]
        damaged = make_tenant("d", (KEY, 5))
        text = str(review(make_tenants_configuration(*shared, damaged)))
        self.assertNotIn(KEY, text)


class CommandTests(unittest.TestCase):
    def run_check(self, data, *options):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "configuration.json")
            path.write_bytes(data)
            return CliRunner().invoke(app, ["check", str(path), *options])

    def test_the_exit_status_tells_errors_from_warnings(self):
        unused = make_document(make_entry("services", "three"))
        for data, options, status in (
            (make_document(), (), 0),
            (unused, (), 0),
            (unused, ("--strict",), 1),
            (make_document(make_route("r1")), (), 1),
            (make_document(), ("--node", "nowhere"), 2),
            (make_document(), ("--base", "/nowhere"), 1),
        ):
            with self.subTest(options=options, status=status):
                self.assertEqual(self.run_check(data, *options).exit_code, status)

    def test_json_has_the_codes(self):
        result = self.run_check(make_document(make_route("r1")), "--json")
        value = msgspec.json.decode(result.stdout)
        self.assertFalse(value["ok"])
        self.assertEqual([item["code"] for item in value["findings"]], [1102])


class FleetTests(SidecarTestCase):
    def test_the_version_in_force_and_the_servers_are_read(self):
        async def scenario(store, machine):
            client = MetadataStore(store.address, timedelta(seconds=1))
            found = await check_configuration(
                make_document(number=13),
                ConfigurationFormat(CONFIG_KEY, read_draft),
                store=client,
                node=str(machine.addresses[4]),
            )
            client.close()
            self.assertEqual(found.changes, ("set route both",))
            codes = [(item.code, item.name) for item in found.findings]
            self.assertIn((ResultCode.CONFIG_NO_SERVER, "two"), codes)
            self.assertNotIn((ResultCode.CONFIG_NO_SERVER, "one"), codes)

        self.run_machines(scenario)
