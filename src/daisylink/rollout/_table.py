"""The rollouts that a node knows, and which servers its requests may go to."""

import random
from enum import Enum

from daisylink.rollout._order import RolloutState, Step

# Share of the requests of a kind that go to the canaries while they have seen too few
# of it, and by how much those of other kinds are fewer then: allowances bound the sum.
BOOSTED_DRAW = 0.5
UNBOOSTED_FACTOR = 0.6


class Side(Enum):
    """Which servers of a service a request is sent to."""

    ANY = "any"
    OLD = "old"
    NEW = "new"


class RolloutTable:
    """States by service. A service without one has equal servers.

    :param rng: draws which requests go to the target version.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.states: dict[str, RolloutState] = {}

    def put(self, service: str, state: RolloutState) -> bool:
        """Store a state; return whether it changed anything.

        A rollout that has ended does not begin again, also if the store has come back
        from an older copy.
        """
        known = self.states.get(service)
        if known is not None:
            is_same = known.order == state.order and known.target == state.target
            if known == state or (is_same and known.is_ended and not state.is_ended):
                return False
        self.states[service] = state
        return True

    def get(self, service: str) -> RolloutState | None:
        """Return the state of a service's last rollout, None if there was none."""
        return self.states.get(service)

    def draw_side(self, service: str, kind: str, is_retry: bool) -> Side:
        """Return which servers the next attempt of a request goes to.

        :param kind: name of the route.
        :param is_retry: whether the request was sent to a server before; it then goes
            to an old one while there are any.
        """
        state = self.states.get(service)
        if state is None:
            return Side.ANY
        match state.step:
            case Step.FINISH | Step.COMPLETED:
                return Side.NEW
            case Step.ROLLED_BACK:
                return Side.OLD
        share = state.share
        if kind in state.boosted:
            share = BOOSTED_DRAW
        elif state.boosted:
            share *= UNBOOSTED_FACTOR
        if is_retry or self.rng.random() >= share:
            return Side.OLD
        return Side.NEW

    def find_other_side(self, service: str, side: Side) -> Side | None:
        """Return where a request goes if a side has no server left, None if nowhere."""
        state = self.states.get(service)
        if state is None or state.step not in (Step.CANARY, Step.SHIFT):
            return None
        return Side.OLD if side is Side.NEW else Side.NEW

    def is_candidate(self, service: str, side: Side, node: str, version: str) -> bool:
        """Return whether a request of a side may be sent to a server.

        :param node: the node beside the server.
        :param version: version of the server's software.
        """
        state = self.states.get(service)
        if state is None:
            return True
        if not state.may_serve(version):
            return False
        is_target = state.is_target(version)
        if is_target and state.step is Step.CANARY and node not in state.canaries:
            return False
        return side is Side.ANY or is_target == (side is Side.NEW)
