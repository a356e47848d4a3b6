"""Moves a service's traffic to another version of its servers, without I/O."""

from daisylink.rollout._controller import (
    ControllerSettings,
    ServerView,
    ServiceRollout,
)
from daisylink.rollout._evidence import EvidenceCounter, KindCounts
from daisylink.rollout._exposure import Exposure, ExposureSettings
from daisylink.rollout._gate import ALLOWANCE_SECONDS, HOLD_SECONDS, VersionGate
from daisylink.rollout._judge import Judge, Suspicion
from daisylink.rollout._messages import EvidenceReply, EvidenceReport
from daisylink.rollout._order import (
    CONTROLLER_KEY,
    ROLLOUT_PREFIX,
    STATE_PREFIX,
    RolloutOrder,
    RolloutState,
    Step,
    begin_state,
    state_key,
)
from daisylink.rollout._table import RolloutTable, Side

__all__ = [
    "ALLOWANCE_SECONDS",
    "CONTROLLER_KEY",
    "HOLD_SECONDS",
    "ROLLOUT_PREFIX",
    "STATE_PREFIX",
    "ControllerSettings",
    "EvidenceCounter",
    "EvidenceReply",
    "EvidenceReport",
    "Exposure",
    "ExposureSettings",
    "Judge",
    "KindCounts",
    "RolloutOrder",
    "RolloutState",
    "RolloutTable",
    "ServerView",
    "ServiceRollout",
    "Side",
    "Step",
    "Suspicion",
    "VersionGate",
    "begin_state",
    "state_key",
]
