"""The adapter: decoding of the platform's files and calls, and what it refuses."""

import unittest
from datetime import timedelta
from pathlib import Path

import msgspec

from daisylink.errors import NodeError, SettingError, VersionError
from daisylink.http_server import WebRequest
from daisylink.platform import (
    ConfigurationDecoder,
    decode_announcement,
    decode_configuration,
    decode_settings,
)
from daisylink.serving import Announcement, Departure, ServerState
from daisylink.version import Priority

SOURCES = Path(__file__).parent.parent / "src" / "daisylink"
# Names of the platform that only the adapter may contain.
PLATFORM_NAMES = (
    "x-daisylink",
    "server-limit",
    "server-leaving",
    "op/config",
    "kv-",
    "instances.",
    "daisylink_config",
    "weighted_split",
    "non_idempotent",
    "/-/",
)  # fmt: skip
SETTINGS = {
    "node": "sidecar-a-1",
    "zone": "a",
    "ip": "127.0.0.1",
    "service": "svc",
    "app_addr": "127.0.0.1:8301",
    "listen": {
        "inbound": "127.0.0.1:8300",
        "outbound": "127.0.0.1:8304",
        "ready": "127.0.0.1:8302",
        "control": "127.0.0.1:8306",
    },
    "port_range": [7620, 7635],
    "heartbeat": "870ms",
    "platform": {"address": "127.0.0.1:8309", "ttl_min": "1000ms"},
    "limits": {"memory_mb": 300},
    "bounds": {"grace": "6s", "retry_ratio": 0.2, "retry_slack": 60},
    "a_field_of_tomorrow": 1,
}
HEARTBEAT = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "slots": 6,
    "state": "ready",
    "cold_left": "1500ms",
    "seq": 4,
    "born": 1700000000000,
}


def make_call(call, body, instance="i-1"):
    query = {"call": f"instances.{call}", "of": instance}
    return WebRequest("POST", "/-/rpc", query, msgspec.json.encode(body))


def make_configuration(**route):
    spec = {
        "host": "A.example",
        "prefix": "/x/",
        "kind": "idempotent",
        "timeout": "800ms",
        "slo": "300ms",
        "priority": 2,
        "service": "one",
        "max_attempts": 2,
    }
    spec.update(route)
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    }
    resources = [
        {"resource_type": "routes", "metadata": {"name": "r"}, "spec": spec},
        {"resource_type": "limits", "metadata": {}, "spec": limits},
        {"resource_type": "unheard-of", "metadata": {}, "spec": {}},
    ]
    for name in ("one", "two"):
        row = {"resource_type": "services", "metadata": {"name": name}}
        resources.append({**row, "spec": {"max_conns": 120}})
    return msgspec.json.encode({"version": "r12", "resources": resources})


class OddRouteTests(unittest.TestCase):
    def test_a_route_without_service_is_refused(self):
        with self.assertRaises(VersionError):
            decode_configuration(make_configuration(service=""))

    def test_ranks_below_zero_and_far_above_are_accepted(self):
        for rank, expected in ((-7, Priority.URGENT), (99, Priority.BULK)):
            version = decode_configuration(make_configuration(priority=rank))
            route = version.route_table.find_route("a.example", "/x/1").route
            self.assertIs(route.priority, expected)


class SettingsTests(unittest.TestCase):
    def test_settings_are_decoded(self):
        settings = decode_settings(msgspec.json.encode(SETTINGS))
        self.assertEqual(settings.pool, "svc")
        self.assertEqual(settings.peers.port, 7620)
        self.assertEqual(settings.announce_interval, timedelta(milliseconds=870))
        self.assertEqual(settings.retry_slack, 60)
        self.assertEqual(settings.memory_mb, 300)

    def test_bad_settings_are_named(self):
        for name, value in (("heartbeat", "soon"), ("listen", {}), ("zone", 3)):
            broken = msgspec.json.encode({**SETTINGS, name: value})
            with self.subTest(name=name), self.assertRaises(SettingError):
                decode_settings(broken)


class ConfigurationTests(unittest.TestCase):
    def test_a_route_is_decoded(self):
        version = decode_configuration(make_configuration())
        self.assertEqual(version.number, 12)
        entry = version.route_table.find_route("a.example", "/x/1")
        self.assertEqual(entry.deadline_ms, 800)
        self.assertEqual(entry.route.priority, Priority.BULK)
        self.assertEqual(entry.route.slo_ms, 300)
        self.assertTrue(entry.route.idempotent)
        self.assertEqual(version.limits.header_seconds, 3.0)

    def test_a_prefix_ends_with_its_slash(self):
        table = decode_configuration(make_configuration()).route_table
        self.assertIsNone(table.find_route("a.example", "/x"))
        self.assertIsNone(table.find_route("a.example", "/xy/1"))
        self.assertIsNotNone(table.find_route("a.example", "/x/"))

    def test_a_split_names_its_services(self):
        split = [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}]
        data = make_configuration(weighted_split=split, service="")
        targets = (
            decode_configuration(data)
            .route_table.find_route("a.example", "/x/1")
            .targets
        )
        self.assertEqual([target.service.name for target in targets], ["one", "two"])

    def test_a_damaged_configuration_is_refused_whole(self):
        data = make_configuration()
        for broken in (data[:-9], b"", make_configuration(service="missing")):
            with self.subTest(broken=broken[-20:]), self.assertRaises(VersionError):
                decode_configuration(broken)


def make_routes(number, count=300, max_body_bytes=1048576, **changed):
    """Return a configuration of many routes, of which some have other fields."""
    services = ("one", "two", "three")
    resources = [
        {"resource_type": "services", "metadata": {"name": name}, "spec": {}}
        for name in services
    ]
    for index in range(count):
        name = f"r{index}"
        spec = {
            "host": "a.example",
            "prefix": f"/{name}/",
            "kind": "idempotent",
            "timeout": "800ms",
            "service": services[index % 3],
        }
        spec |= changed.get(name, {})
        row = {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}
        resources.append(row)
    limits = {"max_body_bytes": max_body_bytes}
    resources.append({"resource_type": "limits", "metadata": {}, "spec": limits})
    return msgspec.json.encode({"version": f"r{number}", "resources": resources})


class SuccessiveConfigurationTests(unittest.TestCase):
    """Each node of 194 converted 1,200 routes for each of ten changes a second."""

    def setUp(self):
        self.decoder = ConfigurationDecoder()

    def test_a_change_converts_only_the_routes_that_changed(self):
        first = self.decoder.decode(make_routes(1))
        second = self.decoder.decode(make_routes(2, r7={"service": "three"}))
        kept = {id(route) for route in first.content.routes}
        converted = [r.name for r in second.content.routes if id(r) not in kept]
        self.assertEqual(converted, ["r7"])
        entry = second.route_table.find_route("a.example", "/r7/1")
        self.assertEqual(entry.service.name, "three")
        for name in ("r6", "r8"):
            path = f"/{name}/1"
            self.assertIs(
                second.route_table.find_route("a.example", path),
                first.route_table.find_route("a.example", path),
            )

    def test_a_version_is_the_same_whatever_was_decoded_before(self):
        changes = (
            {"count": 300},
            {"count": 280},
            {"count": 290, "r3": {"timeout": "100ms"}},
            {"count": 290, "max_body_bytes": 2048},
            {"count": 290, "r4": {"host": "b.example"}},
        )
        for number, change in enumerate(changes, 1):
            data = make_routes(number, **change)
            version, alone = self.decoder.decode(data), decode_configuration(data)
            with self.subTest(**change):
                self.assertEqual(version.content, alone.content)
                self.assertEqual(version.limits, alone.limits)
                self.assertEqual(version.route_table.entries, alone.route_table.entries)

    def test_a_refused_configuration_changes_nothing_for_the_next(self):
        self.decoder.decode(make_routes(1))
        with self.assertRaises(VersionError):
            self.decoder.decode(make_routes(2, r7={"service": "missing"}))
        data = make_routes(3, r8={"service": "two"})
        expected = decode_configuration(data).route_table.entries
        self.assertEqual(self.decoder.decode(data).route_table.entries, expected)


class AnnouncementTests(unittest.TestCase):
    def test_a_heartbeat_is_decoded(self):
        message = decode_announcement(make_call("heartbeat", HEARTBEAT))
        self.assertIsInstance(message, Announcement)
        self.assertEqual(message.instance, "i-1")
        self.assertEqual(message.state, ServerState.SERVING)
        self.assertEqual(message.cold_left, timedelta(seconds=1.5))

    def test_a_leave_is_decoded(self):
        message = decode_announcement(make_call("leave", {"born": 3}))
        self.assertEqual(message, Departure("i-1", 3))

    def test_the_operators_bound_is_read_and_a_bound_too_short_is_refused(self):
        def decode(bound):
            bounds = {**SETTINGS["bounds"], "config_apply": bound}
            return decode_settings(msgspec.json.encode({**SETTINGS, "bounds": bounds}))

        self.assertEqual(decode("3000ms").apply_within, timedelta(seconds=3))
        with self.assertRaises(SettingError):
            decode("0ms")

    def test_an_invalid_announcement_is_refused(self):
        """Fields are missing or of another type, or the state is unknown."""
        for name, value in (
            ("state", "gone"),
            ("state", None),
            ("seq", "4"),
            ("born", None),
            ("slots", 1.5),
            ("cold_left", 0),
        ):
            call = make_call("heartbeat", {**HEARTBEAT, name: value})
            with self.subTest(name=name), self.assertRaises(NodeError):
                decode_announcement(call)
        with self.assertRaises(NodeError):
            decode_announcement(
                make_call("heartbeat", HEARTBEAT)._replace(body=b"\xff{")
            )

    def test_an_instance_that_no_header_can_name_is_refused(self):
        """A line end in it put a header into the requests that the server got."""
        for instance in ("", "a b", "i-ä", "i-1\r\nx:1", "i-1\x00"):
            for call in ("heartbeat", "leave"):
                message = make_call(call, HEARTBEAT, instance)
                with self.subTest(instance=instance), self.assertRaises(NodeError):
                    decode_announcement(message)


class NamesTests(unittest.TestCase):
    def test_no_module_outside_the_adapter_contains_platform_names(self):
        for path in sorted(SOURCES.rglob("*.py")):
            if path.relative_to(SOURCES).parts[0] == "platform":
                continue
            text = path.read_text().lower()
            for name in PLATFORM_NAMES:
                with self.subTest(path=path.name, name=name):
                    self.assertFalse(name in text)
