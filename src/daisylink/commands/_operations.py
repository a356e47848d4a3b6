"""What operators do with versions: accept, look back, roll back, watch the fleet."""

import asyncio
import getpass
import random
import uuid
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from daisylink.clock import Clock
from daisylink.errors import AcceptanceError, NodeError, ResultCode, VersionError
from daisylink.process import (
    ZONES_KEY,
    BurnReply,
    ControlClient,
    SurveyReply,
    SurveyRequest,
    merge_burns,
    reader_key,
)
from daisylink.store import (
    KeyValueStore,
    fetch_content,
    read_head,
    read_version_record,
    run_steps,
)
from daisylink.version import (
    Acceptance,
    Accepted,
    Conflict,
    Content,
    Delta,
    HeadRecord,
    Proposal,
    Unchanged,
    Unsettled,
    compute_delta,
    describe_delta,
)

READER_SLOTS = 2
SURVEY_INTERVAL = timedelta(milliseconds=200)


class AcceptReport(NamedTuple):
    """What came of an acceptance that was not refused."""

    record: HeadRecord
    is_new: bool


class ZoneReport(NamedTuple):
    """Versions in force in one zone; ``survey`` is None if no node answers."""

    zone: str
    survey: SurveyReply | None


class WaitReport(NamedTuple):
    """Every live node routes by a version."""

    number: int
    nodes: int
    seconds: float


class Operations:
    """Operators' work against the platform and the fleet.

    :param store: the platform.
    :param client: how nodes are asked.
    """

    def __init__(
        self,
        store: KeyValueStore,
        client: ControlClient,
        clock: Clock,
        rng: random.Random,
    ):
        self.store = store
        self.client = client
        self.clock = clock
        self.rng = rng

    async def accept(
        self, content: Content, note: str, base: int | None = None
    ) -> AcceptReport:
        """Accept content as the next version.

        :param base: number of the version that the planner looked at, if it matters.
        :raises AcceptanceError: ``ACCEPT_CONFLICT`` with what changed underneath, or
            ``ACCEPT_UNSETTLED`` if the platform cannot say what came of it.
        :raises PlatformError: if the platform is out; then nothing was accepted.
        """
        proposal = Proposal(
            content=content,
            acceptance_id=uuid.UUID(int=self.rng.getrandbits(128)).hex,
            author=getpass.getuser(),
            note=note,
            accepted_at=self.clock.now(),
            base=base,
        )
        outcome = await run_steps(Acceptance(proposal).steps(), self.store, self.rng)
        match outcome:
            case Accepted(record):
                return AcceptReport(record, True)
            case Unchanged(record):
                return AcceptReport(record, False)
            case Conflict(record, delta):
                changes = "; ".join(describe_delta(delta)) if delta else "see history"
                raise AcceptanceError(
                    f"version {record.number} by {record.author} came first: {changes}"
                )
            case Unsettled(_, number):
                raise AcceptanceError(
                    f"version {number} may or may not be accepted",
                    ResultCode.ACCEPT_UNSETTLED,
                )

    async def read_content(self, number: int | None = None) -> Content:
        """Return the content of a version, or of the head.

        :raises VersionError: ``VERSION_UNKNOWN`` if it is not kept.
        """
        if number is not None:
            return await fetch_content(
                self.store, await read_version_record(self.store, number)
            )
        head = await read_head(self.store)
        return await fetch_content(self.store, head) if head else Content()

    async def diff(self, content: Content) -> Delta:
        """Return what accepting the content would change."""
        return compute_delta(await self.read_content(), content)

    async def roll_back(self, number: int, note: str) -> AcceptReport:
        """Accept the content of an earlier version as a new one."""
        content = await self.read_content(number)
        return await self.accept(content, note or f"content of version {number}")

    async def history(self, count: int) -> list[HeadRecord]:
        """Return the records of the last versions, newest first."""
        head = await read_head(self.store)
        records = [head] if head is not None else []
        while records and len(records) < count and records[-1].number > 1:
            try:
                record = await read_version_record(self.store, records[-1].number - 1)
            except VersionError:
                break
            records.append(record)
        return records

    async def survey(self, nodes: tuple[str, ...] = ()) -> list[ZoneReport]:
        """Ask every zone which versions its nodes route by.

        :param nodes: control addresses to ask instead of those the platform names.
        """
        if nodes:
            replies = [await self._survey_node(node) for node in nodes]
            zones = {reply.zone: reply for reply in replies if reply is not None}
            return [ZoneReport(zone, reply) for zone, reply in sorted(zones.items())]
        entry = await self.store.get(ZONES_KEY)
        names = msgspec.json.decode(entry.value, type=list[str]) if entry.value else []
        return list(await asyncio.gather(*(self._survey_zone(name) for name in names)))

    async def read_burn(self, nodes: tuple[str, ...] = ()) -> BurnReply:
        """Return the whole fleet's counts against the objectives.

        :param nodes: control addresses to ask instead of those the platform names.
        """
        if not nodes:
            nodes = await self._find_readers()
        replies = []
        for node in nodes:
            try:
                replies.append(await self.client.burn(node, SurveyRequest()))
            except NodeError:
                continue
        return merge_burns(replies)

    async def _find_readers(self) -> tuple[str, ...]:
        """Return one reader of each zone."""
        entry = await self.store.get(ZONES_KEY)
        zones = msgspec.json.decode(entry.value, type=list[str]) if entry.value else []
        addresses = []
        for zone in zones:
            for slot in range(READER_SLOTS):
                holder = await self.store.get(reader_key(zone, slot))
                if holder.value is not None:
                    addresses.append(holder.value.decode())
                    break
        return tuple(addresses)

    async def wait_for_version(
        self,
        number: int,
        timeout: timedelta,
        nodes: tuple[str, ...],
        on_survey: Callable[[list[ZoneReport]], None],
    ) -> WaitReport:
        """Wait until every live node routes by a version or a newer one.

        :param on_survey: called with each survey.
        :raises AcceptanceError: ``WAIT_TIMEOUT`` if that takes too long.
        """
        record = await read_version_record(self.store, number)
        deadline = self.clock.monotonic() + timeout.total_seconds()
        while True:
            reports = await self.survey(nodes)
            on_survey(reports)
            if reports and all(_is_converged(report, number) for report in reports):
                return _make_wait_report(record, reports)
            if self.clock.monotonic() >= deadline:
                raise AcceptanceError(
                    f"not every node routes by version {number} yet",
                    ResultCode.WAIT_TIMEOUT,
                )
            await asyncio.sleep(SURVEY_INTERVAL.total_seconds())

    async def _survey_zone(self, zone: str) -> ZoneReport:
        for slot in range(READER_SLOTS):
            entry = await self.store.get(reader_key(zone, slot))
            if entry.value is None:
                continue
            reply = await self._survey_node(entry.value.decode())
            if reply is not None:
                return ZoneReport(zone, reply)
        return ZoneReport(zone, None)

    async def _survey_node(self, node: str) -> SurveyReply | None:
        try:
            return await self.client.survey(node, SurveyRequest())
        except NodeError:
            return None


def _is_converged(report: ZoneReport, number: int) -> bool:
    survey = report.survey
    if survey is None or survey.unreachable:
        return False
    return min(survey.counts, default=0) >= number


def _make_wait_report(record: HeadRecord, reports: list[ZoneReport]) -> WaitReport:
    surveys = [report.survey for report in reports if report.survey is not None]
    last = max(survey.last_installed for survey in surveys if survey.last_installed)
    nodes = sum(sum(survey.counts.values()) for survey in surveys)
    seconds = (last - record.accepted_at).total_seconds()
    return WaitReport(record.number, nodes, seconds)
