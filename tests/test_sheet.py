"""Parsing of sheets, and every fault reported at its row and column."""

import unittest
from pathlib import Path

from daisylink.errors import ResultCode, VersionError
from daisylink.version import InvalidSheetError, pack_content, read_sheet
from tests.support import make_content

EXAMPLES = Path(__file__).parent.parent / "examples"
TRUNCATED = ResultCode.SHEET_TRUNCATED
HANBIT = (EXAMPLES / "hanbit.csv").read_bytes()


def faults_of(data):
    try:
        read_sheet(data)
    except InvalidSheetError as error:
        return [(fault.row, fault.column, fault.code) for fault in error.faults]
    return []


class SheetTests(unittest.TestCase):
    def test_examples_are_accepted_with_byte_order_mark_and_crlf(self):
        for name in ("hanbit.csv", "magnolia.csv"):
            data = (EXAMPLES / name).read_bytes()
            content = read_sheet(data)
            other = b"\xef\xbb\xbf" + data.replace(b"\n", b"\r\n")
            self.assertEqual(read_sheet(other), content)

    def test_a_sheet_cut_anywhere_is_refused(self):
        whole = HANBIT.rstrip(b",\n")
        for size in range(len(whole)):
            self.assertTrue(faults_of(whole[:size]), size)

    def test_each_fault_is_reported_at_its_row_and_column(self):
        cases = [
            (b"", (1, "", ResultCode.SHEET_EMPTY)),
            (b"\xff\xfe\x00", (1, "", ResultCode.SHEET_NOT_UTF8)),
            (b"kind,name\n", (1, "", ResultCode.SHEET_HEADER)),
            (
                HANBIT.replace(b"callout-assign,,dispatch", b"callout-assign,,gone"),
                (10, "service", ResultCode.SHEET_DANGLING),
            ),
            (
                HANBIT.replace(b"service,roster,roster", b"service,roster,gone"),
                (5, "pool", ResultCode.SHEET_DANGLING),
            ),
            (
                HANBIT.replace(b"pool,dispatch,", b"pool,roster,"),
                (3, "name", ResultCode.SHEET_DUPLICATE),
            ),
            (
                HANBIT.replace(b",/duty,", b",/roster,"),
                (9, "prefix", ResultCode.SHEET_DUPLICATE),
            ),
            (
                HANBIT.replace(b",no,urgent", b",maybe,urgent"),
                (10, "idempotent", ResultCode.SHEET_VALUE),
            ),
            (
                HANBIT.replace(b"3000", b"3 s"),
                (5, "deadline_ms", ResultCode.SHEET_VALUE),
            ),
            (
                HANBIT.replace(b"route,duty", b"rout,duty"),
                (9, "kind", ResultCode.SHEET_KIND),
            ),
            (
                HANBIT.replace(b"end,13", b"end,12"),
                (15, "name", ResultCode.SHEET_TRUNCATED),
            ),
            (HANBIT + HANBIT, (16, "", ResultCode.SHEET_ROW_SHAPE)),
            (HANBIT.replace(b"roster,,", b'"roster,,', 1), (15, "", TRUNCATED)),
        ]
        for data, expected_fault in cases:
            with self.subTest(expected_fault=expected_fault):
                self.assertIn(expected_fault, faults_of(data))

    def test_all_faults_are_reported_at_once(self):
        data = HANBIT.replace(b"3000", b"3 s").replace(b",no,urgent", b",maybe,urgent")
        rows = [row for row, _, _ in faults_of(data)]
        self.assertEqual(rows, [5, 10])

    def test_a_version_past_the_limit_is_refused(self):
        content = make_content(*(f"s{number}" for number in range(60_000)))
        with self.assertRaises(VersionError) as caught:
            pack_content(content)
        self.assertEqual(caught.exception.code, ResultCode.SHEET_TOO_LARGE)
