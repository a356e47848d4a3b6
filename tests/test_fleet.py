"""Behavior of the fleet when nodes, zones, the platform or messages fail."""

import random
import unittest
from functools import partial

from bench.distribution import accept, build_fleet, make_content, run_change
from bench.fabric import FleetSimulator
from daisylink.errors import NodeError
from daisylink.process import (
    FleetSettings,
    MemberRecord,
    MemberState,
    ServerState,
    reader_key,
)
from daisylink.process._directory import Directory
from daisylink.process._events import (
    CallStore,
    MessageReceived,
    Send,
    StopRequested,
    WatchKey,
)
from daisylink.process._messages import Ping, PingRequest
from daisylink.process._snapshot_limiter import SnapshotLimiter, SnapshotLimitSettings
from daisylink.serving._local_server import (
    Announcement,
    LocalServer,
    LocalServerSettings,
)
from daisylink.version import HEAD_KEY

LEASE_SECONDS = 3.0
TARGET_SECONDS = 16.0
MAX_READERS = 2


def readers(fabric, zone):
    return [
        host
        for host in fabric.hosts.values()
        if host.alive
        and host.fleet.own_record.zone == zone
        and host.fleet.reader.has_slot
    ]


def first_reader(fabric, zone="z0"):
    return next(h for h in readers(fabric, zone) if h.fleet.reader.slot == 0)


def slot_holder(fabric, zone="z0"):
    entry = fabric.store.get(reader_key(zone, 0))
    return entry.value.decode() if entry else None


def live_hosts(fabric):
    return [host for host in fabric.hosts.values() if host.alive]


def all_at(fabric, number):
    return all(host.fleet.installer.number >= number for host in live_hosts(fabric))


def in_zone(fabric, zone):
    return [host for host in live_hosts(fabric) if host.fleet.own_record.zone == zone]


def is_declared_dead(fabric, host):
    name = host.fleet.own_record.node
    return all(
        not other.fleet.directory.records[name].is_alive
        for other in in_zone(fabric, host.fleet.own_record.zone)
        if other is not host
    )


class ReaderTests(unittest.TestCase):
    def test_platform_calls_do_not_grow_with_the_fleet(self):
        rates = []
        for size in (18, 90):
            fabric = build_fleet(size, zones=2, services=2)
            fabric.store_call_counts.clear()
            fabric.run(20.0)
            rates.append(sum(fabric.store_call_counts.values()) / 20.0)
            for zone in ("z0", "z1"):
                self.assertLessEqual(len(readers(fabric, zone)), MAX_READERS)
        self.assertLess(rates[1], rates[0] * 1.3)

    def test_a_reader_paused_past_its_lease_is_replaced_and_harmless(self):
        fabric = build_fleet(18, zones=2, services=2)
        paused = first_reader(fabric)
        paused.paused_until = fabric.now + 12.0
        fabric.run(LEASE_SECONDS + 5.0)
        self.assertNotEqual(slot_holder(fabric), paused.fleet.own_record.node)
        accept(fabric, make_content(2, 1), "while paused")
        fabric.run(1.0)
        others = [host for host in live_hosts(fabric) if host is not paused]
        self.assertTrue(all(h.fleet.installer.number == 2 for h in others))
        fabric.run(8.0)
        self.assertTrue(all_at(fabric, 2))
        for host in live_hosts(fabric):
            self.assertEqual(
                host.installed_numbers, sorted(set(host.installed_numbers))
            )
        self.assertLessEqual(len(readers(fabric, "z0")), MAX_READERS)

    def test_dead_readers_are_replaced_and_versions_still_arrive(self):
        fabric = build_fleet(18, zones=2, services=2)
        for host in readers(fabric, "z0"):
            fabric.kill(host)
        accept(fabric, make_content(2, 1), "without readers")
        converged = fabric.run(TARGET_SECONDS, until=lambda: all_at(fabric, 2))
        self.assertTrue(converged)
        fabric.run(10.0)
        self.assertTrue(readers(fabric, "z0"))

    def test_a_reader_that_dies_in_a_broadcast_leaves_no_node_behind(self):
        fabric = build_fleet(90, zones=3, services=2)
        dying = first_reader(fabric)

        def disturb(fabric):
            fabric.call_later(0.0031, lambda: fabric.kill(dying))

        times, whole = run_change(fabric, 1, 2, disturb)
        self.assertTrue(whole)
        self.assertLess(times[-1], TARGET_SECONDS)

    def test_a_reader_split_from_its_peers_gives_up_its_slot(self):
        fabric = build_fleet(18, zones=2, services=2)
        split = first_reader(fabric)
        name = split.fleet.own_record.node

        def tap(host, action):
            if not isinstance(action, Send):
                return False
            return host is split or action.address == name

        fabric.on_action = tap
        fabric.run(12.0)
        self.assertFalse(split.fleet.reader.has_slot)
        self.assertNotEqual(slot_holder(fabric), split.fleet.own_record.node)

    def test_a_slow_or_absent_platform_stops_nothing_else(self):
        fabric = build_fleet(18, zones=2, services=2)
        fabric.store_down = True
        dead = in_zone(fabric, "z0")[0]
        fabric.kill(dead)
        fabric.run(60.0)
        self.assertTrue(is_declared_dead(fabric, dead))
        self.assertLess(fabric.store_call_counts.total(), 60 * 40)
        fabric.store_down = False
        accept(fabric, make_content(2, 1), "after the outage")
        self.assertTrue(fabric.run(TARGET_SECONDS, until=lambda: all_at(fabric, 2)))


class DetectionTests(unittest.TestCase):
    def test_a_dead_or_hung_node_is_found_and_a_live_one_is_not(self):
        for hung in (False, True):
            fabric = build_fleet(40, zones=2, services=2)
            subject = in_zone(fabric, "z0")[3]
            if hung:
                subject.paused_until = fabric.now + 30.0
            else:
                fabric.kill(subject)
            found = fabric.run(15.0, until=partial(is_declared_dead, fabric, subject))
            self.assertTrue(found)
            for host in live_hosts(fabric):
                for record in host.fleet.directory.records.values():
                    if record.node != subject.fleet.own_record.node:
                        self.assertTrue(record.is_alive, record)

    def test_a_hung_node_that_wakes_is_alive_again(self):
        fabric = build_fleet(20, zones=1, services=2)
        subject = live_hosts(fabric)[3]
        subject.paused_until = fabric.now + 12.0
        fabric.run(11.0)
        self.assertTrue(is_declared_dead(fabric, subject))

        def back():
            name = subject.fleet.own_record.node
            return all(
                h.fleet.directory.records[name].is_alive for h in live_hosts(fabric)
            )

        self.assertTrue(fabric.run(8.0, until=back))

    def test_a_paused_detector_declares_nobody_dead(self):
        """A paused detector must restart the suspicions that it held.

        The target's messages to it and its indirect pings were lost, so the target is
        suspect. After the pause, the suspicion is old enough to declare it dead.
        """
        fabric = build_fleet(20, zones=1, services=2)
        subject, target = live_hosts(fabric)[:2]
        name = target.fleet.own_record.node

        def tap(host, action):
            if not isinstance(action, Send):
                return False
            to_subject = action.address == subject.fleet.own_record.node
            asks_helper = isinstance(action.message, PingRequest)
            return (host is target and to_subject) or (host is subject and asks_helper)

        fabric.on_action = tap
        suspects = subject.fleet.detector.suspects
        self.assertTrue(fabric.run(60.0, until=lambda: name in suspects))
        fabric.run(0.05)
        fabric.on_action = None
        subject.paused_until = fabric.now + 5.0
        fabric.run(12.0)
        for host in live_hosts(fabric):
            for record in host.fleet.directory.records.values():
                self.assertTrue(record.is_alive, record)
                self.assertEqual(record.incarnation, record.boot)

    def test_after_a_one_way_cut_between_two_nodes_neither_is_declared_dead(self):
        fabric = build_fleet(20, zones=1, services=2)
        receiver, sender = live_hosts(fabric)[:2]

        def tap(host, action):
            return host is sender and getattr(action, "address", "") == (
                receiver.fleet.own_record.node
            )

        fabric.on_action = tap
        fabric.run(30.0)
        for host in live_hosts(fabric):
            for subject in (receiver, sender):
                name = subject.fleet.own_record.node
                self.assertTrue(host.fleet.directory.records[name].is_alive)

    def test_lost_datagrams_delay_but_do_not_stop_a_version(self):
        fabric = build_fleet(60, zones=3, services=2, loss_rate=0.2)
        times, whole = run_change(fabric, 1, 2)
        self.assertTrue(whole)
        self.assertLess(times[-1], TARGET_SECONDS)
        dead = [
            record
            for host in live_hosts(fabric)
            for record in host.fleet.directory.records.values()
            if not record.is_alive
        ]
        self.assertEqual(dead, [])


class RecoveryTests(unittest.TestCase):
    def test_a_cut_zone_keeps_its_version_and_catches_up_at_once(self):
        fabric = build_fleet(30, zones=3, services=2)
        for zone in ("z1", "z2", "platform"):
            fabric.partition("z0", zone)
        fabric.run(5.0)
        accept(fabric, make_content(2, 1), "during the cut")
        left_host = in_zone(fabric, "z1")[0]
        fabric.deliver_event(left_host, StopRequested())
        fabric.kill(left_host)
        fabric.run(30.0)
        for host in in_zone(fabric, "z0"):
            self.assertEqual(host.fleet.installer.number, 1)
            self.assertEqual(len(host.fleet.directory.zone_ring("z0")), 10)
        fabric.heal_partitions()
        self.assertTrue(fabric.run(4.0, until=lambda: all_at(fabric, 2)))

        def agreed():
            return len({h.fleet.directory.digest for h in live_hosts(fabric)}) == 1

        self.assertTrue(fabric.run(12.0, until=agreed))
        name = left_host.fleet.own_record.node
        for host in live_hosts(fabric):
            self.assertNotIn(name, host.fleet.directory.serving("p"))

    def test_a_zone_without_the_platform_learns_from_another_zone(self):
        fabric = build_fleet(30, zones=3, services=2)
        fabric.partition("z0", "platform")
        fabric.run(5.0)
        accept(fabric, make_content(2, 1), "z0 cannot read it")
        self.assertTrue(fabric.run(4.0, until=lambda: all_at(fabric, 2)))

    def test_snapshots_for_many_returning_nodes_are_limited_and_all_recover(self):
        limits = SnapshotLimitSettings(per_second=4, burst=2)
        settings = FleetSettings(snapshot_limiter=limits)
        fabric = build_fleet(90, zones=3, services=20, settings=settings)
        for host in in_zone(fabric, "z0"):
            fabric.kill(host)
        fabric.run(3.0)
        dead = [h for h in fabric.hosts.values() if not h.alive]
        served = []
        admit = SnapshotLimiter.admit

        def spy(limiter, node, now):
            granted = admit(limiter, node, now)
            served.append((id(limiter), now, granted))
            return granted

        SnapshotLimiter.admit = spy
        try:
            for host in dead:
                fabric.restart(host)

            def whole():
                return all(
                    h.fleet.is_ready(fabric.now)
                    and len(h.fleet.directory.zone_ring("z0")) == 30
                    for h in live_hosts(fabric)
                )

            self.assertTrue(fabric.run(TARGET_SECONDS, until=whole))
        finally:
            SnapshotLimiter.admit = admit
        for limiter in {item[0] for item in served}:
            times = [t for r, t, granted in served if r == limiter and granted]
            for start in times:
                within = sum(start <= t < start + 1.0 for t in times)
                self.assertLessEqual(within, limits.burst + limits.per_second + 1)
        self.assertTrue(any(not granted for _, _, granted in served))

    def test_a_node_joins_by_a_peer_with_the_platform_down(self):
        fabric = build_fleet(12, zones=2, services=2)
        fabric.store_down = True
        peer = in_zone(fabric, "z1")[0].fleet.own_record.node
        fresh = fabric.add("z0", peers=(peer,))
        self.assertTrue(fabric.run(8.0, until=lambda: fresh.fleet.is_ready(fabric.now)))
        self.assertEqual(fresh.fleet.installer.number, 1)
        name = fresh.fleet.own_record.node

        def known():
            return all(name in h.fleet.directory.records for h in live_hosts(fabric))

        self.assertTrue(fabric.run(8.0, until=known))

    def test_a_fresh_node_is_not_ready_behind_its_peers_or_the_platform(self):
        fabric = build_fleet(12, zones=1, services=2)
        stale = in_zone(fabric, "z0")[:3]
        fabric.partition("z0", "platform")

        def tap(host, action):
            match action:
                case CallStore(WatchKey() as call):
                    fabric.fail_store_call(host, call, takes_effect=False)
                    return True
            return False

        fabric.on_action = tap
        for index in range(3):
            accept(fabric, make_content(2, index + 1), f"unseen {index}")
        fabric.heal_partitions()
        fresh = fabric.add("z0", peers=tuple(h.fleet.own_record.node for h in stale))
        ready_at = []

        def ready():
            is_ready = fresh.fleet.is_ready(fabric.now)
            if is_ready:
                ready_at.append(fresh.fleet.installer.number)
            return is_ready

        fabric.run(10.0, until=ready)
        self.assertFalse(ready_at and ready_at[0] < 4)
        fabric.on_action = None
        self.assertTrue(fabric.run(20.0, until=ready))
        self.assertEqual(ready_at[-1], 4)

    def test_a_fresh_node_waits_for_the_newest_version_reported_to_it(self):
        fabric = build_fleet(12, zones=1, services=2)
        fresh = fabric.add("z0", peers=(live_hosts(fabric)[0].fleet.own_record.node,))
        fabric.run(0.004)
        fresh.fleet.readiness.record_peer_version("10.7.7.7:8082", 9)
        fabric.run(10.0)
        self.assertEqual(fresh.fleet.installer.number, 1)
        self.assertFalse(fresh.fleet.is_ready(fabric.now))


class DirectoryTests(unittest.TestCase):
    def test_late_updates_never_revive_a_server_that_left(self):
        directory = Directory(MemberRecord("10.0.0.1:1", "z", 1))
        serving = MemberRecord(
            "10.0.0.2:1", "z", 5, pool="p", server=ServerState.SERVING
        )
        left = MemberRecord("10.0.0.2:1", "z", 6, MemberState.LEFT)
        updates = [serving, left]
        rng = random.Random(3)
        for _ in range(50):
            shuffled = updates * 3
            rng.shuffle(shuffled)
            for record in shuffled:
                was_left = not directory.records.get(serving.node, serving).is_alive
                directory.merge(record, 0.0)
                if was_left:
                    self.assertNotIn(serving.node, directory.serving("p"))
        back = MemberRecord("10.0.0.2:1", "z", 9, pool="p", server=ServerState.SERVING)
        self.assertTrue(directory.merge(back, 1.0))
        self.assertIn(serving.node, directory.serving("p"))


class LocalServerTests(unittest.TestCase):
    def test_a_flapping_server_is_kept_out_for_longer_each_time(self):
        local_server = LocalServer(LocalServerSettings())
        own_record = MemberRecord("10.0.0.1:1", "z", 1)
        now, states = 0.0, []
        for _ in range(6):
            local_server.handle_announcement(Announcement("10.0.0.1:9", "p"), now)
            states.append(local_server.update_record(own_record, now).server)
            now += 2.0
            local_server.remove()
        self.assertEqual(states[:3], [ServerState.SERVING] * 3)
        self.assertEqual(states[3:], [ServerState.STARTING] * 3)
        self.assertGreater(local_server.kept_out_until - now, 10.0)

    def test_a_server_that_stops_renewing_is_taken_out(self):
        local_server = LocalServer(LocalServerSettings())
        local_server.handle_announcement(Announcement("10.0.0.1:9", "p"), 0.0)
        local_server.tick(4.9)
        self.assertEqual(local_server.state, ServerState.SERVING)
        local_server.tick(5.0)
        self.assertEqual(local_server.state, ServerState.ABSENT)
        with self.assertRaises(NodeError):
            local_server.renew(6.0)


class HostileDatagramTests(unittest.TestCase):
    def test_a_ping_with_a_huge_number_does_no_harm(self):
        fabric = FleetSimulator(1)
        host = fabric.add("z0")
        ping = Ping(1, "10.9.9.9:1", 2**40, 7, 2**40)
        fabric.deliver_event(host, MessageReceived(ping))
        fabric.run(5.0)
        self.assertEqual(host.fleet.installer.number, 0)
        self.assertIsNone(fabric.store.get(HEAD_KEY))
