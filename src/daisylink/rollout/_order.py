"""Orders of rollouts, and the state of a rollout that all nodes share."""

from collections.abc import Collection
from enum import StrEnum
from typing import NamedTuple

import msgspec
from msgspec.structs import replace

ROLLOUT_PREFIX = "daisylink/rollouts/"
CONTROLLER_KEY = ROLLOUT_PREFIX + "controller"
STATE_PREFIX = ROLLOUT_PREFIX + "services/"


class Step(StrEnum):
    """How far a rollout is.

    ``CANARY``: a bounded number of requests goes to the target version. ``SHIFT``: the
    version was judged good and gets a share of the traffic. ``FINISH``: the other
    servers get nothing new. The last two end the rollout.
    """

    CANARY = "canary"
    SHIFT = "shift"
    FINISH = "finish"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(NamedTuple):
    """An operator's order.

    :param revision: number of the store's revision of the order. Its era is left out:
        an order that a store has kept when it came back is not a new one.
    :param duration: seconds until the rollout has to be decided.
    """

    service: str
    target: str
    duration: float
    revision: int


class RolloutState(msgspec.Struct, frozen=True):
    """The state of a service's rollout, as stored.

    :param order: number of the store's revision of the order.
    :param target: the version that was ordered.
    :param duration: seconds from the order to its time limit.
    :param share: share of the requests that entry nodes send to the target version.
    :param canaries: nodes whose servers take the canary's requests.
    :param boosted: kinds of requests that the canaries get more often, as too few of
        them were seen.
    :param rejected: versions that were rolled back or replaced by a later order.
    :param baseline: version that the last completed rollout moved to, "" for none.
    :param controller: node that wrote the state.
    :param elapsed: seconds since the order when the state was written.
    :param granted: requests granted to target servers when the state was written.
    :param observed_from: seconds from the order to the first response of the target
        version, negative if there was none.
    :param reason: why the step was taken.
    """

    order: int
    target: str
    duration: float
    step: Step = Step.CANARY
    share: float = 0.0
    canaries: tuple[str, ...] = ()
    boosted: tuple[str, ...] = ()
    rejected: tuple[str, ...] = ()
    baseline: str = ""
    controller: str = ""
    elapsed: float = 0.0
    granted: int = 0
    observed_from: float = -1.0
    reason: str = ""

    @property
    def is_ended(self) -> bool:
        """Return whether the rollout was completed or rolled back."""
        return self.step in (Step.COMPLETED, Step.ROLLED_BACK)

    def is_target(self, version: str) -> bool:
        """Return whether a server of a version is one of the new ones."""
        return version == self.target

    def is_old(self, version: str) -> bool:
        """Return whether a server of a version bears the traffic until the end."""
        if version == self.target or version in self.rejected:
            return False
        return not self.baseline or version == self.baseline

    def may_serve(self, version: str) -> bool:
        """Return whether servers of a version may get requests at this step."""
        if self.is_target(version):
            return self.step is not Step.ROLLED_BACK
        if self.step in (Step.FINISH, Step.COMPLETED):
            return False
        return self.is_old(version)


def begin_state(
    order: RolloutOrder,
    previous: RolloutState | None,
    controller: str,
    serving: Collection[str] = (),
) -> RolloutState:
    """Return the first state of an ordered rollout.

    :param previous: the state of the service's last rollout, None if there was none.
        A target that it did not complete is rejected from now on.
    :param serving: versions of the servers that accept requests. If the target is the
        only one left, as when an operator orders the old version again, it gets all
        traffic at once.
    """
    rejected: tuple[str, ...] = ()
    baseline = ""
    if previous is not None:
        rejected, baseline = previous.rejected, previous.baseline
        if previous.step is Step.COMPLETED:
            baseline = previous.target
        elif previous.target not in rejected:
            rejected = (*rejected, previous.target)
    rejected = tuple(name for name in rejected if name != order.target)
    state = RolloutState(
        order.revision,
        order.target,
        order.duration,
        rejected=rejected,
        baseline=baseline,
        controller=controller,
    )
    has_old = any(state.is_old(version) for version in serving)
    if has_old or order.target not in serving:
        return state
    return replace(state, step=Step.FINISH, share=1.0, reason="no old servers")


def state_key(service: str) -> str:
    """Return the key of a service's state."""
    return STATE_PREFIX + service
