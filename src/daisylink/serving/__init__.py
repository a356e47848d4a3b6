"""What a process needs to serve requests: choice, admission, slot and gateway."""

from daisylink.serving._chooser import Chooser
from daisylink.serving._gateway import BudgetSettings, Gateway
from daisylink.serving._metrics import Metrics
from daisylink.serving._quarantine import Quarantine, QuarantineSettings, Strike
from daisylink.serving._records import MemberRecord, MemberState, ServerState
from daisylink.serving._slot import Announcement, Departure, Slot, SlotSettings

__all__ = [
    "Announcement",
    "BudgetSettings",
    "Chooser",
    "Departure",
    "Gateway",
    "MemberRecord",
    "MemberState",
    "Metrics",
    "Quarantine",
    "QuarantineSettings",
    "ServerState",
    "Slot",
    "SlotSettings",
    "Strike",
]
