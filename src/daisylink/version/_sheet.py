"""Parses and validates the CSV sheets that planners export."""

import csv
import io
import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from daisylink.errors import ResultCode, SheetError
from daisylink.version._content import Content, find_dangling_references
from daisylink.version._rows import Pool, Priority, Route, Service

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
COLUMNS = (
    "kind",
    "name",
    "pool",
    "service",
    "host",
    "prefix",
    "methods",
    "idempotent",
    "priority",
    "deadline_ms",
    "body_limit_kb",
    "slots",
    "connections",
    "queue",
    "slo_ms",
    "slo_percent",
)
END_KIND = "end"
MAX_SHEET_BYTES = 32 * 1024 * 1024
MAX_DEADLINE_MS = 600_000
MAX_BODY_LIMIT_KB = 1_048_576
MAX_COUNT = 100_000
DEFAULT_BODY_LIMIT_KB = 64
DEFAULT_QUEUE = 20

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
HOST_PATTERN = re.compile(r"([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)?")
PREFIX_PATTERN = re.compile(r"/([!-~]*[!-.0-~])?")
METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")


class SheetFault(NamedTuple):
    """A validation error in a sheet.

    :param row: number of the row; the header is row 1.
    :param column: name of the column, or empty if the whole row is at fault.
    """

    row: int
    column: str
    code: ResultCode
    message: str

    def __str__(self) -> str:
        where = f"row {self.row}" + (f", column {self.column}" if self.column else "")
        return f"[{int(self.code)}] {where}: {self.message}"


class InvalidSheetError(SheetError):
    """A sheet failed validation; none of its rows are used.

    :param faults: every fault found, sorted by row; never empty.
    """

    def __init__(self, faults: list[SheetFault]):
        first = faults[0]
        super().__init__(f"sheet has {len(faults)} faults", first.code)
        self.faults = faults


class _Line(NamedTuple):
    """Cells of one row, by name of the column."""

    row: int
    cells: dict[str, str]


def read_sheet(data: bytes) -> Content:
    """Parse and validate a sheet.

    :param data: bytes of the CSV file, UTF-8 with or without a byte-order mark.
    :returns: content in which every reference resolves.
    :raises InvalidSheetError: listing every fault found.
    """
    return _SheetReader().read(data)


class _SheetReader:
    """Parses one sheet, collecting its rows and faults."""

    def __init__(self):
        self.faults: list[SheetFault] = []
        self.rows_by_key: dict[tuple[str, str], int] = {}
        self.pools: list[Pool] = []
        self.services: list[Service] = []
        self.routes: list[Route] = []

    def read(self, data: bytes) -> Content:
        for line in self._parse_csv(_decode(data)):
            self._add_line(line)
        content = Content.from_rows(self.pools, self.services, self.routes)
        self._check_references(content)
        if self.faults:
            raise InvalidSheetError(sorted(self.faults))
        return content

    def _add_fault(self, row: int, column: str, code: ResultCode, message: str) -> None:
        self.faults.append(SheetFault(row, column, code, message))

    def _parse_csv(self, text: str) -> Iterator[_Line]:
        reader = csv.reader(io.StringIO(text, newline=""), strict=True)
        try:
            yield from self._read_rows(reader)
        except csv.Error as error:
            self._add_fault(
                reader.line_num, "", ResultCode.SHEET_TRUNCATED, f"invalid CSV: {error}"
            )

    def _read_rows(self, reader: Iterator[list[str]]) -> Iterator[_Line]:
        header = [cell.strip() for cell in next(reader)]
        self._check_header(header)
        ended = False
        count = 0
        row = 1
        for row, cells in enumerate(reader, start=2):
            if not any(cell.strip() for cell in cells):
                continue
            if ended:
                message = "text after the end row"
                self._add_fault(row, "", ResultCode.SHEET_ROW_SHAPE, message)
                return
            if cells[0].strip() == END_KIND:
                ended = True
                self._check_count(row, cells, count)
                continue
            count += 1
            if len(cells) != len(header):
                message = f"{len(cells)} cells, header has {len(header)}"
                self._add_fault(row, "", ResultCode.SHEET_ROW_SHAPE, message)
                continue
            values = (cell.strip() for cell in cells)
            yield _Line(row, dict(zip(header, values, strict=True)))
        if not ended:
            message = "the end row is missing"
            self._add_fault(row, "", ResultCode.SHEET_TRUNCATED, message)
        elif not count:
            self._add_fault(row, "", ResultCode.SHEET_EMPTY, "the sheet has no rows")

    def _check_header(self, header: list[str]) -> None:
        unknown = [name for name in header if name not in COLUMNS]
        missing = [name for name in COLUMNS if name not in header]
        duplicate = sorted({name for name in header if header.count(name) > 1})
        if not (unknown or missing or duplicate):
            return
        message = f"columns unknown {unknown}, missing {missing}, duplicate {duplicate}"
        raise InvalidSheetError([SheetFault(1, "", ResultCode.SHEET_HEADER, message)])

    def _check_count(self, row: int, cells: list[str], count: int) -> None:
        stated = cells[1].strip() if len(cells) > 1 else ""
        if stated == str(count):
            return
        message = f"end row states {stated or 'no count'}, sheet has {count} rows"
        self._add_fault(row, "name", ResultCode.SHEET_TRUNCATED, message)

    def _add_line(self, line: _Line) -> None:
        kind = line.cells["kind"]
        fault_count_before = len(self.faults)
        cells = _CellReader(line, self._add_fault)
        match kind:
            case "pool":
                rows, value = self.pools, cells.read_pool()
            case "service":
                rows, value = self.services, cells.read_service()
            case "route":
                rows, value = self.routes, cells.read_route()
            case _:
                message = f"kind {kind!r} is not pool, service, route or end"
                self._add_fault(line.row, "kind", ResultCode.SHEET_KIND, message)
                return
        self._check_unique(line.row, kind, value)
        if len(self.faults) == fault_count_before:
            rows.append(value)

    def _check_unique(self, row: int, kind: str, value: Pool | Service | Route) -> None:
        keys = [(kind, value.name)]
        if isinstance(value, Route):
            keys.append(("place", f"{value.host}{value.prefix}"))
        for key in keys:
            first = self.rows_by_key.setdefault(key, row)
            if first != row:
                column = "prefix" if key[0] == "place" else "name"
                message = f"{key[1]!r} is already defined in row {first}"
                self._add_fault(row, column, ResultCode.SHEET_DUPLICATE, message)

    def _check_references(self, content: Content) -> None:
        for item in find_dangling_references(content):
            if (item.column, item.missing) in self.rows_by_key:
                continue
            row = self.rows_by_key[item.kind, item.name]
            message = f"{item.kind} {item.name} refers to missing {item.missing!r}"
            self._add_fault(row, item.column, ResultCode.SHEET_DANGLING, message)


class _CellReader:
    """Converts the cells of one row to typed values."""

    def __init__(
        self, line: _Line, add_fault: Callable[[int, str, ResultCode, str], None]
    ):
        self.line = line
        self.add_fault = add_fault

    def read_pool(self) -> Pool:
        return Pool(
            self._read_text("name", NAME_PATTERN),
            self._read_integer("slots", 1, MAX_COUNT),
            self._read_integer("connections", 1, MAX_COUNT),
            self._read_integer("queue", 0, MAX_COUNT, DEFAULT_QUEUE),
        )

    def read_service(self) -> Service:
        return Service(
            self._read_text("name", NAME_PATTERN),
            self._read_text("pool", NAME_PATTERN),
            self._read_integer("deadline_ms", 1, MAX_DEADLINE_MS),
            self._read_integer("slo_ms", 1, MAX_DEADLINE_MS),
            self._read_percent("slo_percent"),
        )

    def read_route(self) -> Route:
        return Route(
            self._read_text("name", NAME_PATTERN),
            self._read_text("host", HOST_PATTERN),
            self._read_text("prefix", PREFIX_PATTERN),
            self._read_text("service", NAME_PATTERN),
            self._read_methods("methods"),
            self._read_choice("idempotent", {"yes": True, "no": False}),
            self._read_choice("priority", {"": Priority.NORMAL, **_PRIORITIES}),
            self._read_integer("deadline_ms", 1, MAX_DEADLINE_MS, 0),
            self._read_integer(
                "body_limit_kb", 0, MAX_BODY_LIMIT_KB, DEFAULT_BODY_LIMIT_KB
            ),
        )

    def _report_fault(self, column: str, message: str) -> None:
        self.add_fault(self.line.row, column, ResultCode.SHEET_VALUE, message)

    def _read_text(self, column: str, pattern: re.Pattern[str]) -> str:
        value = self.line.cells[column]
        if not pattern.fullmatch(value):
            self._report_fault(column, f"{value!r} is not a valid value")
        return value

    def _read_integer(
        self, column: str, lower: int, upper: int, default: int | None = None
    ) -> int:
        value = self.line.cells[column]
        if not value and default is not None:
            return default
        if value.isascii() and value.isdigit() and lower <= int(value[:9]) <= upper:
            return int(value)
        self._report_fault(column, f"{value!r} is not a number from {lower} to {upper}")
        return lower

    def _read_percent(self, column: str) -> float:
        value = self.line.cells[column]
        if re.fullmatch(r"\d{1,2}(\.\d{1,4})?", value) and float(value) > 0:
            return float(value)
        self._report_fault(column, f"{value!r} is not a percentage between 0 and 100")
        return 0.0

    def _read_methods(self, column: str) -> tuple[str, ...]:
        value = self.line.cells[column]
        methods = value.split("|") if value else []
        if not all(METHOD_PATTERN.fullmatch(method) for method in methods):
            self._report_fault(
                column, f"{value!r} is not a list of methods separated by |"
            )
        return tuple(sorted(set(methods)))

    def _read_choice(self, column: str, choices: dict[str, Any]) -> Any:
        value = self.line.cells[column]
        if value not in choices:
            names = ", ".join(name or "empty" for name in choices)
            self._report_fault(column, f"{value!r} is not one of {names}")
            return next(iter(choices.values()))
        return choices[value]


_PRIORITIES = {priority.value: priority for priority in Priority}


def _decode(data: bytes) -> str:
    """Decode the text of a sheet.

    :raises InvalidSheetError: if it is too large, empty or not UTF-8.
    """
    if len(data) > MAX_SHEET_BYTES:
        message = f"sheet has {len(data)} bytes, limit is {MAX_SHEET_BYTES}"
        raise InvalidSheetError(
            [SheetFault(1, "", ResultCode.SHEET_TOO_LARGE, message)]
        )
    text = data.removeprefix(BYTE_ORDER_MARK)
    if not text.strip():
        raise InvalidSheetError([SheetFault(1, "", ResultCode.SHEET_EMPTY, "no text")])
    try:
        return text.decode()
    except UnicodeDecodeError as error:
        row = text.count(b"\n", 0, error.start) + 1
        message = f"byte {error.start} is not UTF-8"
        raise InvalidSheetError(
            [SheetFault(row, "", ResultCode.SHEET_NOT_UTF8, message)]
        ) from error
