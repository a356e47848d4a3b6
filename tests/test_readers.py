"""Selection of readers and publishing, for changes faster than narrow links carry."""

import unittest

from daisylink.errors import VersionError
from daisylink.registry import (
    Publisher,
    PublisherSettings,
    ReaderSettings,
    SourceSelector,
    SourceSelectorSettings,
    rank_readers,
    rank_standbys,
)
from daisylink.serving import MemberRecord
from daisylink.sidecar._compressed_version import CompressedVersion
from tests.revisions import at

SETTINGS = PublisherSettings()
RANK_DELAY_SECONDS = SETTINGS.rank_delay.total_seconds()
MIN_INTERVAL_SECONDS = SETTINGS.min_interval.total_seconds()


def make_records(count, zones=4, link_mbps=lambda number: 10.0):
    return {
        f"n{number}": MemberRecord(
            f"n{number}", f"z{number % zones}", 0, link_mbps=link_mbps(number)
        )
        for number in range(count)
    }


class ReaderTests(unittest.TestCase):
    def test_all_nodes_of_a_small_fleet_read(self):
        records = make_records(12)
        self.assertEqual(set(rank_readers(records, ReaderSettings())), set(records))

    def test_some_nodes_of_each_zone_read_in_a_large_fleet(self):
        for count in (86, 300):
            records = make_records(count)
            readers = rank_readers(records, ReaderSettings())
            zones = [records[node].zone for node in readers]
            self.assertEqual(len(readers), 12)
            self.assertEqual({zones.count(zone) for zone in set(zones)}, {3})

    def test_more_zones_have_fewer_readers_each(self):
        """Eighteen readers of six zones made two thirds of the calls to the store."""
        for zones, expected in ((3, 3), (6, 2), (9, 2)):
            readers = rank_readers(make_records(194, zones), ReaderSettings())
            self.assertEqual(len(readers), zones * expected)

    def test_nodes_with_wide_links_read(self):
        records = make_records(86, link_mbps=lambda number: 50.0 if number < 24 else 5)
        for node in rank_readers(records, ReaderSettings()):
            self.assertEqual(records[node].link_mbps, 50.0)

    def test_nodes_with_narrow_links_read_only_if_there_are_too_few_others(self):
        """As on hanbit-grown, two nodes of each zone have 100 Mbit/s, the others 5."""
        records = make_records(86, link_mbps=lambda number: 100 if number < 8 else 5)
        readers = rank_readers(records, ReaderSettings())
        self.assertEqual({records[node].link_mbps for node in readers}, {100})
        self.assertEqual(len(readers), 8)
        records = make_records(86, link_mbps=lambda number: 100 if number < 3 else 5)
        self.assertEqual(len(rank_readers(records, ReaderSettings())), 4)

    def test_no_node_with_a_narrow_link_replaces_a_reader_that_was_cut_off(self):
        """A new reader on a narrow link was 4 s late (hanbit-grown, scale-2)."""
        records = make_records(86, link_mbps=lambda number: 100 if number < 8 else 5)
        for node in ("n0", "n4", "n1"):
            del records[node]
        readers = rank_readers(records, ReaderSettings())
        self.assertEqual(set(readers), {"n2", "n3", "n5", "n6", "n7"})

    def test_few_nodes_take_the_place_of_readers_that_do_not_answer(self):
        """If every follower did, whole configurations would fill their links."""
        for count in (20, 86, 300):
            records = make_records(count)
            readers = rank_readers(records, ReaderSettings())
            standbys = rank_standbys(records, readers, ReaderSettings())
            self.assertEqual(len(standbys), 4)
            self.assertEqual(len({records[node].zone for node in standbys}), 4)
            self.assertFalse(set(standbys) & set(readers))

    def test_another_node_reads_when_a_reader_has_ended(self):
        records = make_records(86)
        before = rank_readers(records, ReaderSettings())
        del records[before[0]]
        after = rank_readers(records, ReaderSettings())
        self.assertEqual(len(after), 12)
        self.assertEqual(len(set(after) & set(before)), 11)


class SourceSelectorTests(unittest.TestCase):
    def test_nodes_share_the_readers_of_their_own_zone(self):
        readers = [MemberRecord(f"r{n}", f"z{n % 2}", 0) for n in range(6)]
        chosen = []
        for number in range(30):
            source_selector = SourceSelector(
                SourceSelectorSettings(), f"n{number}", "z0"
            )
            source_selector.set_readers(readers)
            chosen.append(source_selector.choose(0.0))
        self.assertEqual(set(chosen), {"r0", "r2", "r4"})

    def test_the_store_is_asked_for_a_while_after_a_reader_failed(self):
        source_selector = SourceSelector(SourceSelectorSettings(), "n", "z0")
        self.assertIsNone(source_selector.choose(0.0))
        source_selector.set_readers([MemberRecord("r", "z0", 0)])
        source_selector.record_failure("r", 1.0)
        self.assertIsNone(source_selector.choose(5.9))
        self.assertEqual(source_selector.choose(6.0), "r")

    def test_another_reader_is_asked_after_the_first_one_failed(self):
        """Each of ten followers made 50 calls to the store when a reader ended."""
        source_selector = SourceSelector(SourceSelectorSettings(), "n", "z0")
        source_selector.set_readers([MemberRecord(f"r{n}", "z0", 0) for n in range(3)])
        first, second, _ = source_selector.readers
        source_selector.record_failure(first, 1.0)
        self.assertEqual(source_selector.choose(1.0), second)
        source_selector.record_failure(second, 2.0)
        self.assertIsNone(source_selector.choose(2.0))
        self.assertEqual(source_selector.choose(7.0), first)

    def test_readers_that_are_behind_are_avoided(self):
        source_selector = SourceSelector(SourceSelectorSettings(), "n", "z0")
        source_selector.set_readers([MemberRecord("r", "z0", 0)])
        source_selector.avoid_readers(1.0)
        self.assertIsNone(source_selector.choose(5.9))


class PublisherTests(unittest.TestCase):
    def setUp(self):
        self.publisher = Publisher(SETTINGS)

    def test_each_reader_waits_longer_than_the_one_ranked_before_it(self):
        self.publisher.handle_version(5, b"five", 10.0)
        self.assertIsNone(self.publisher.tick(2, 10.0))
        self.assertIsNone(self.publisher.tick(None, 20.0))
        self.assertEqual(
            self.publisher.tick(2, 10.0 + 2 * RANK_DELAY_SECONDS).number, 5
        )

    def test_what_another_reader_published_is_not_published_again(self):
        self.publisher.handle_version(5, b"five", 10.0)
        self.publisher.record_published(5, at(77), 10.01)
        self.assertIsNone(self.publisher.tick(0, 20.0))

    def test_frequent_versions_are_published_at_intervals_and_the_newest_last(self):
        """Configurations arrive every 80 ms, as on the quiet day of hanbit-grown."""
        now, written = 10.0, []
        for number in range(1, 41):
            self.publisher.handle_version(number, b"%d" % number, now)
            call = self.publisher.tick(0, now)
            if call is not None:
                written.append((call.number, now))
                self.publisher.handle_success(at(100 + number), now)
            now += 0.08
        now = max(now, self.publisher.wake_at(0))
        written.append((self.publisher.tick(0, now).number, now))
        gaps = [b[1] - a[1] for a, b in zip(written, written[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), MIN_INTERVAL_SECONDS - 1e-9)
        self.assertEqual(written[-1][0], 40)

    def test_a_failed_write_is_repeated_with_the_latest_known_revision(self):
        self.publisher.record_published(4, at(70), 9.0)
        self.publisher.handle_version(5, b"five", 10.0)
        self.assertEqual(self.publisher.tick(0, 10.0).revision, at(70))
        self.publisher.handle_failure(10.1)
        self.assertIsNone(self.publisher.tick(0, 10.2))
        self.publisher.record_published(4, at(75), 10.2)
        again = self.publisher.tick(0, 10.2 + MIN_INTERVAL_SECONDS)
        self.assertEqual((again.number, again.revision), (5, at(75)))

    def test_a_version_that_the_store_lost_is_published_again(self):
        """The store came back from an older copy, at a lower revision."""
        for lost in (
            lambda: self.publisher.record_published(4, at(60, era=2), 20.0),
            lambda: self.publisher.record_deleted(at(60, era=2)),
        ):
            self.publisher.handle_version(5, b"five", 10.0)
            self.publisher.record_published(5, at(70), 10.0)
            self.assertIsNone(self.publisher.tick(0, 20.0))
            lost()
            self.assertEqual(self.publisher.tick(0, 21.0).number, 5)
            self.publisher.handle_failure(21.0)
            self.publisher.revision = at(70)


class CompressedVersionTests(unittest.TestCase):
    def test_a_compressed_version_decompresses_to_the_configuration(self):
        document = b'{"resources": []}' * 1000
        packed = CompressedVersion.from_document(7, document).to_bytes()
        self.assertLess(len(packed), len(document) / 10)
        self.assertEqual(CompressedVersion.from_bytes(packed).decompress(), document)

    def test_a_damaged_compressed_version_is_refused(self):
        packed = CompressedVersion.from_document(7, b"x" * 1000).to_bytes()
        for damaged in (b"", packed[:-3], packed[:4] + b"\x00" + packed[5:]):
            with self.subTest(damaged), self.assertRaises(VersionError):
                CompressedVersion.from_bytes(damaged).decompress()
        cut = CompressedVersion.from_document(7, b"x" * 1000)
        with self.assertRaises(VersionError):
            CompressedVersion(7, cut.packed[:-5]).decompress()
