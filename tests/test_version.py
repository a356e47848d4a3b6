"""Installation of versions, and route lookup."""

import unittest

from daisylink.errors import ResultCode, VersionError
from daisylink.process._installer import Installer, InstallResult
from daisylink.process._messages import VersionUpdate
from daisylink.version import (
    Content,
    RouteTable,
    VersionStamp,
    build_version,
    compute_delta,
    pack_content,
)
from tests.support import ACCEPTED_AT, HOST, make_content


def make_update(number, base, content, delta=True):
    digest, packed = pack_content(content)
    changes = compute_delta(base, content) if delta else None
    return VersionUpdate(number, digest, ACCEPTED_AT, changes), packed


CONTENTS = [make_content(*"abcdefg"[: size + 1]) for size in range(6)]


def installer_at(number):
    """Return an installer with versions 1 to ``number`` of ``CONTENTS`` installed."""
    installer = Installer()
    update, packed = make_update(1, Content(), CONTENTS[1], delta=False)
    installer.apply_snapshot(update, packed)
    for later in range(2, number + 1):
        installer.apply_delta(
            make_update(later, CONTENTS[later - 1], CONTENTS[later])[0]
        )
    return installer


class InstallerTests(unittest.TestCase):
    def test_late_and_duplicate_updates_change_nothing(self):
        installer = installer_at(3)
        before = installer.current
        for number in (1, 2, 3):
            update, packed = make_update(number, CONTENTS[number - 1], CONTENTS[number])
            self.assertIs(installer.apply_delta(update), InstallResult.KNOWN)
            self.assertIs(installer.apply_snapshot(update, packed), InstallResult.KNOWN)
        self.assertIs(installer.current, before)
        with self.assertRaises(VersionError) as caught:
            installer.activate(before)
        self.assertEqual(caught.exception.code, ResultCode.VERSION_NOT_NEWER)

    def test_reordered_deltas_are_applied_in_order(self):
        installer = installer_at(2)
        late = [make_update(n, CONTENTS[n - 1], CONTENTS[n])[0] for n in (3, 4, 5)]
        self.assertIs(installer.apply_delta(late[2]), InstallResult.GAP)
        self.assertIs(installer.apply_delta(late[1]), InstallResult.GAP)
        self.assertEqual(installer.number, 2)
        self.assertIs(installer.apply_delta(late[0]), InstallResult.INSTALLED)
        self.assertEqual(installer.number, 5)
        self.assertEqual(installer.current.content, CONTENTS[5])

    def test_a_damaged_update_is_refused_whole(self):
        installer = installer_at(2)
        before = installer.current
        update, packed = make_update(3, CONTENTS[2], CONTENTS[3])
        wrong_delta = VersionUpdate(
            3, update.digest, ACCEPTED_AT, compute_delta(CONTENTS[2], CONTENTS[4])
        )
        self.assertIs(installer.apply_delta(wrong_delta), InstallResult.REFUSED)
        for corrupt in (packed[: len(packed) // 2], packed[:5], b"", b"x" * 99):
            with self.subTest(size=len(corrupt)):
                self.assertIs(
                    installer.apply_snapshot(update, corrupt), InstallResult.REFUSED
                )
        _, other = make_update(4, CONTENTS[3], CONTENTS[4])
        self.assertIs(installer.apply_snapshot(update, other), InstallResult.REFUSED)
        flipped = bytearray(packed)
        flipped[len(packed) // 2] ^= 1
        self.assertIs(
            installer.apply_snapshot(update, bytes(flipped)), InstallResult.REFUSED
        )
        self.assertIs(installer.current, before)

    def test_a_version_with_a_missing_row_is_refused(self):
        dangling_content = CONTENTS[2]._replace(pools=CONTENTS[2].pools[:1])
        update, packed = make_update(3, CONTENTS[2], dangling_content)
        installer = installer_at(2)
        self.assertIs(installer.apply_delta(update), InstallResult.REFUSED)
        self.assertIs(installer.apply_snapshot(update, packed), InstallResult.REFUSED)
        self.assertEqual(installer.number, 2)
        with self.assertRaises(VersionError):
            build_version(VersionStamp(3, b"", ACCEPTED_AT), dangling_content)

    def test_deltas_are_served_only_without_a_gap(self):
        installer = installer_at(4)
        self.assertEqual([n.number for n in installer.updates_since(2)], [3, 4])
        self.assertEqual(installer.updates_since(0), ())
        del installer.recent_updates[1]
        self.assertEqual(installer.updates_since(1), ())


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
