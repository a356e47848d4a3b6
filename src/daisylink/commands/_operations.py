"""Operators' work on versions: accept, inspect, roll back, survey the fleet."""

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
    """Result of an acceptance that was not refused.

    :param record: record of the version that holds the content.
    :param is_new: false if the head already held the same content.
    """

    record: HeadRecord
    is_new: bool


class ZoneReport(NamedTuple):
    """Versions in force in one zone.

    :param survey: counts of nodes by version, None if no node answers.
    """

    zone: str
    survey: SurveyReply | None


class WaitReport(NamedTuple):
    """Result of waiting until every live node routes by a version.

    :param number: number of the version waited for.
    :param nodes: number of nodes counted.
    :param seconds: time from acceptance to the last installation.
    """

    number: int
    nodes: int
    seconds: float


class Operations:
    """Operations on the platform's key-value service and the fleet.

    :param store: the platform's key-value service.
    :param client: client for the nodes' control interface.
    :param clock: source of acceptance times and of timeouts.
    :param rng: source of acceptance identifiers and of retry jitter.
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

        :param note: reason, kept in the history.
        :param base: number of the version that the content was derived from; if it
            is given, the acceptance is refused unless that version is the head.
        :raises AcceptanceError: ``ACCEPT_CONFLICT`` with the changes accepted in the
            meantime, or ``ACCEPT_UNSETTLED`` if the outcome cannot be determined.
        :raises PlatformError: if the platform is unavailable; nothing was accepted.
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
                    f"version {record.number} by {record.author} was accepted first: "
                    f"{changes}"
                )
            case Unsettled(_, number):
                raise AcceptanceError(
                    f"outcome unknown: version {number} may be accepted",
                    ResultCode.ACCEPT_UNSETTLED,
                )

    async def read_content(self, number: int | None = None) -> Content:
        """Return the content of a version.

        :param number: number of the version, the head by default.
        :returns: empty content if no version was accepted yet.
        :raises VersionError: ``VERSION_UNKNOWN`` if the version is not kept.
        """
        if number is not None:
            return await fetch_content(
                self.store, await read_version_record(self.store, number)
            )
        head = await read_head(self.store)
        return await fetch_content(self.store, head) if head else Content()

    async def diff(self, content: Content) -> Delta:
        """Return the changes from the head to the content."""
        return compute_delta(await self.read_content(), content)

    async def roll_back(self, number: int, note: str) -> AcceptReport:
        """Accept the content of an earlier version as a new one.

        :param note: reason, kept in the history; names the version by default.
        :raises VersionError: ``VERSION_UNKNOWN`` if the version is not kept.
        """
        content = await self.read_content(number)
        return await self.accept(content, note or f"content of version {number}")

    async def history(self, count: int) -> list[HeadRecord]:
        """Return the records of the last versions, newest first.

        :param count: maximum number of records.
        """
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
        """Return the versions that the nodes of each zone route by.

        :param nodes: control addresses of one node per zone; by default the zones'
            readers are looked up in the key-value service.
        """
        if nodes:
            replies = [await self._survey_node(node) for node in nodes]
            zones = {reply.zone: reply for reply in replies if reply is not None}
            return [ZoneReport(zone, reply) for zone, reply in sorted(zones.items())]
        entry = await self.store.get(ZONES_KEY)
        names = msgspec.json.decode(entry.value, type=list[str]) if entry.value else []
        return list(await asyncio.gather(*(self._survey_zone(name) for name in names)))

    async def read_burn(self, nodes: tuple[str, ...] = ()) -> BurnReply:
        """Return the fleet's request counts by service, without unreachable nodes.

        :param nodes: control addresses of one node per zone; by default the zones'
            readers are looked up in the key-value service.
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
        """Return the control address of one reader per zone, if it has any."""
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

        :param nodes: see :meth:`survey`.
        :param on_survey: called with the reports of each survey.
        :raises AcceptanceError: ``WAIT_TIMEOUT`` if the time runs out.
        :raises VersionError: ``VERSION_UNKNOWN`` if the version is not kept.
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
