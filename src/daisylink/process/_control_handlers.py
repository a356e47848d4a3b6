"""What a node answers to the control calls of other nodes and of operators."""

from collections.abc import Callable

from daisylink.errors import NodeError, ResultCode
from daisylink.process._fleet import FleetNode
from daisylink.process._messages import (
    PullReply,
    PullRequest,
    ReplicaReply,
    ReplicaRequest,
    SurveyReply,
    SurveyRequest,
)
from daisylink.process._survey import Surveyor
from daisylink.serving._burn import BurnReply


class ControlHandlers:
    """Handlers of the control server, which listens before the node has started.

    Each raises :class:`~daisylink.errors.NodeError` ``NODE_NOT_READY`` until then.

    :param now: returns the monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float]):
        self.now = now
        self._fleet: FleetNode | None = None
        self._surveyor: Surveyor | None = None

    def begin(self, fleet: FleetNode, surveyor: Surveyor) -> None:
        """Answer from now on: the node has started."""
        self._fleet = fleet
        self._surveyor = surveyor

    @property
    def fleet(self) -> FleetNode:
        """Return the node's decision object."""
        return _require_started(self._fleet)

    @property
    def surveyor(self) -> Surveyor:
        """Return the object that surveys the zone."""
        return _require_started(self._surveyor)

    def answer_pull(self, request: PullRequest) -> PullReply:
        """Return what a node lacks."""
        return self.fleet.answer_pull(request, self.now())

    def answer_replica_request(self, request: ReplicaRequest) -> ReplicaReply:
        """Seal a shard of key records, or store copied records."""
        return self.fleet.answer_replica_request(request, self.now())

    async def answer_survey(self, request: SurveyRequest) -> SurveyReply:
        """Return the versions in force in a segment of the zone."""
        return await self.surveyor.answer(request)

    async def answer_burn(self, request: SurveyRequest) -> BurnReply:
        """Return the request counts of a segment of the zone."""
        return await self.surveyor.answer_burn(request)


def _require_started(part):
    if part is None:
        raise NodeError("not started", ResultCode.NODE_NOT_READY)
    return part
