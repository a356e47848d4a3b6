"""Asks a whole zone which versions its nodes route by, along the same kind of tree."""

import asyncio
from collections.abc import Callable
from datetime import datetime

from daisylink.errors import NodeError
from daisylink.process._broadcaster import RingSegment, split_around_own
from daisylink.process._fleet import FleetNode
from daisylink.process._messages import LaggingNode, SurveyReply, SurveyRequest
from daisylink.process._transport import ControlClient
from daisylink.serving._burn import BurnReply, merge_burns

SURVEY_FANOUT = 8
MAX_LAGGARDS = 16
UNREACHABLE_NUMBER = -1


class Surveyor:
    """Answers surveys for a part of the own zone.

    :param fleet: the node's decision object.
    :param client: how other nodes are asked.
    :param read_burn: returns the node's own counts.
    """

    def __init__(
        self,
        fleet: FleetNode,
        client: ControlClient,
        read_burn: Callable[[], BurnReply],
    ):
        self.fleet = fleet
        self.client = client
        self.read_burn = read_burn
        self.installed_at: datetime | None = None

    async def answer(self, request: SurveyRequest) -> SurveyReply:
        """Return what the nodes between two ring positions route by, and this one."""
        directory = self.fleet.directory
        segments = split_around_own(directory, request.low, request.high, SURVEY_FANOUT)
        replies = await asyncio.gather(*(self._ask(segment) for segment in segments))
        return merge_survey_replies([self._own_reply(), *replies])

    def _own_reply(self) -> SurveyReply:
        own_record = self.fleet.own_record
        number = self.fleet.installer.number
        laggard = LaggingNode(own_record.node, number)
        return SurveyReply(
            own_record.zone, {number: 1}, 0, self.installed_at, (laggard,)
        )

    async def answer_burn(self, request: SurveyRequest) -> BurnReply:
        """Return the counts of the nodes between two positions, and of this one."""
        directory = self.fleet.directory
        segments = split_around_own(directory, request.low, request.high, SURVEY_FANOUT)
        replies = await asyncio.gather(
            *(self._ask_burn(segment) for segment in segments)
        )
        return merge_burns([self.read_burn(), *replies])

    async def _ask_burn(self, segment: RingSegment) -> BurnReply:
        """Ask the first node of a part that answers."""
        for node in segment.nodes:
            try:
                return await self.client.burn(
                    node, SurveyRequest(segment.low, segment.high)
                )
            except NodeError:
                continue
        return BurnReply(0, [])

    async def _ask(self, segment: RingSegment) -> SurveyReply:
        """Ask the first node of a part that answers; count the others as silent."""
        zone = self.fleet.own_record.zone
        unreachable_nodes: list[LaggingNode] = []
        for index, node in enumerate(segment.nodes):
            positions = self.fleet.directory.positions
            low = segment.low if index == 0 else positions.get(node, segment.high)
            try:
                reply = await self.client.survey(node, SurveyRequest(low, segment.high))
            except NodeError:
                unreachable_nodes.append(LaggingNode(node, UNREACHABLE_NUMBER))
                continue
            return merge_survey_replies(
                [
                    reply,
                    SurveyReply(
                        zone, {}, len(unreachable_nodes), None, tuple(unreachable_nodes)
                    ),
                ]
            )
        return SurveyReply(
            zone, {}, len(unreachable_nodes), None, tuple(unreachable_nodes)
        )


def merge_survey_replies(replies: list[SurveyReply]) -> SurveyReply:
    """Return one answer for several parts of a zone."""
    counts: dict[int, int] = {}
    for reply in replies:
        for number, count in reply.counts.items():
            counts[number] = counts.get(number, 0) + count
    newest = max(counts, default=0)
    times = [
        reply.last_installed
        for reply in replies
        if reply.last_installed is not None
        and max(reply.counts, default=UNREACHABLE_NUMBER) == newest
    ]
    laggards = sorted(
        (laggard for reply in replies for laggard in reply.laggards),
        key=lambda laggard: laggard.number,
    )
    return SurveyReply(
        replies[0].zone,
        counts,
        sum(reply.unreachable for reply in replies),
        max(times, default=None),
        tuple(laggards[:MAX_LAGGARDS]),
    )
