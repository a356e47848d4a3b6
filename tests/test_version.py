"""Versions that must not be installed."""

import unittest

from daisylink.errors import ResultCode, VersionError
from daisylink.process._installer import Installer, Offer
from daisylink.process._messages import VersionNews
from daisylink.version import (
    Content,
    RouteTable,
    VersionStamp,
    build_version,
    compute_delta,
    pack_content,
)
from tests.support import HOST, WHEN, make_content


def make_news(number, base, content, delta=True):
    digest, packed = pack_content(content)
    changes = compute_delta(base, content) if delta else None
    return VersionNews(number, digest, WHEN, changes), packed


CONTENTS = [make_content(*"abcdefg"[: size + 1]) for size in range(6)]


def installer_at(number):
    """Return an installer that routes by a version of a known chain."""
    installer = Installer()
    news, packed = make_news(1, Content(), CONTENTS[1], delta=False)
    installer.offer_snapshot(news, packed)
    for later in range(2, number + 1):
        installer.offer(make_news(later, CONTENTS[later - 1], CONTENTS[later])[0])
    return installer


class InstallerTests(unittest.TestCase):
    def test_late_and_doubled_news_change_nothing(self):
        installer = installer_at(3)
        before = installer.current
        for number in (1, 2, 3):
            news, packed = make_news(number, CONTENTS[number - 1], CONTENTS[number])
            self.assertIs(installer.offer(news), Offer.KNOWN)
            self.assertIs(installer.offer_snapshot(news, packed), Offer.KNOWN)
        self.assertIs(installer.current, before)
        with self.assertRaises(VersionError) as caught:
            installer.install(before)
        self.assertEqual(caught.exception.code, ResultCode.VERSION_NOT_NEWER)

    def test_reordered_deltas_are_applied_in_order(self):
        installer = installer_at(2)
        late = [make_news(n, CONTENTS[n - 1], CONTENTS[n])[0] for n in (3, 4, 5)]
        self.assertIs(installer.offer(late[2]), Offer.GAP)
        self.assertIs(installer.offer(late[1]), Offer.GAP)
        self.assertEqual(installer.number, 2)
        self.assertIs(installer.offer(late[0]), Offer.INSTALLED)
        self.assertEqual(installer.number, 5)
        self.assertEqual(installer.current.content, CONTENTS[5])

    def test_damaged_news_is_refused_whole(self):
        installer = installer_at(2)
        before = installer.current
        news, packed = make_news(3, CONTENTS[2], CONTENTS[3])
        wrong_delta = VersionNews(
            3, news.digest, WHEN, compute_delta(CONTENTS[2], CONTENTS[4])
        )
        self.assertIs(installer.offer(wrong_delta), Offer.REFUSED)
        for damaged in (packed[: len(packed) // 2], packed[:5], b"", b"x" * 99):
            with self.subTest(size=len(damaged)):
                self.assertIs(installer.offer_snapshot(news, damaged), Offer.REFUSED)
        _, other = make_news(4, CONTENTS[3], CONTENTS[4])
        self.assertIs(installer.offer_snapshot(news, other), Offer.REFUSED)
        flipped = bytearray(packed)
        flipped[len(packed) // 2] ^= 1
        self.assertIs(installer.offer_snapshot(news, bytes(flipped)), Offer.REFUSED)
        self.assertIs(installer.current, before)

    def test_a_version_that_is_not_closed_is_refused(self):
        open_content = CONTENTS[2]._replace(pools=CONTENTS[2].pools[:1])
        news, packed = make_news(3, CONTENTS[2], open_content)
        installer = installer_at(2)
        self.assertIs(installer.offer(news), Offer.REFUSED)
        self.assertIs(installer.offer_snapshot(news, packed), Offer.REFUSED)
        self.assertEqual(installer.number, 2)
        with self.assertRaises(VersionError):
            build_version(VersionStamp(3, b"", WHEN), open_content)

    def test_deltas_are_served_only_without_a_hole(self):
        installer = installer_at(4)
        self.assertEqual([n.number for n in installer.news_since(2)], [3, 4])
        self.assertEqual(installer.news_since(0), ())
        del installer.chain[1]
        self.assertEqual(installer.news_since(1), ())


class RouteTableTests(unittest.TestCase):
    def test_prefixes_match_whole_segments(self):
        table = RouteTable.from_content(make_content("a"))
        for path, found in (
            ("/a/read", True),
            ("/a/read/7", True),
            ("/a/readers", False),
            ("/a", False),
            ("/", False),
        ):
            self.assertEqual(table.find_route(HOST, path) is not None, found, path)
        self.assertIsNone(table.find_route("b.example", "/a/read"))
        self.assertIsNotNone(table.find_route("A.example:80", "/a/read"))
