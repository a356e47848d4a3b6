"""Surveys the versions in force in a zone, along a tree like that of broadcasts."""

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
    """Answers surveys of a segment of the own zone's ring.

    :param fleet: the node's decision object.
    :param client: calls the other nodes.
    :param read_burn: returns the own node's request counts.
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
        """Return the versions in force at this node and between two ring positions."""
        directory = self.fleet.directory
        segments = split_around_own(directory, request.low, request.high, SURVEY_FANOUT)
        replies = await asyncio.gather(
            *(self._survey_segment(segment) for segment in segments)
        )
        return merge_survey_replies([self._own_reply(), *replies])

    def _own_reply(self) -> SurveyReply:
        own_record = self.fleet.own_record
        number = self.fleet.installer.number
        laggard = LaggingNode(own_record.node, number)
        return SurveyReply(
            own_record.zone, {number: 1}, 0, self.installed_at, (laggard,)
        )

    async def answer_burn(self, request: SurveyRequest) -> BurnReply:
        """Return the request counts of this node and between two ring positions."""
        directory = self.fleet.directory
        segments = split_around_own(directory, request.low, request.high, SURVEY_FANOUT)
        replies = await asyncio.gather(
            *(self._fetch_burn(segment) for segment in segments)
        )
        return merge_burns([self.read_burn(), *replies])

    async def _fetch_burn(self, segment: RingSegment) -> BurnReply:
        """Ask the nodes of a segment in order until one answers."""
        for node in segment.nodes:
            try:
                return await self.client.burn(
                    node, SurveyRequest(segment.low, segment.high)
                )
            except NodeError:
                continue
        return BurnReply(0, [])

    async def _survey_segment(self, segment: RingSegment) -> SurveyReply:
        """Ask the nodes of a segment in order; count failing ones as unreachable."""
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
    """Merge the replies for several segments of a zone."""
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
