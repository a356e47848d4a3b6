"""Membership of the fleet and distribution of versions.

:class:`FleetNode` makes the decisions without I/O; :class:`Node` connects it to the
network, the clock and the platform.
"""

from daisylink.process._fleet import FleetNode, first_incarnation
from daisylink.process._fleet_settings import FleetSettings
from daisylink.process._messages import (
    MAX_DATAGRAM_BYTES,
    SurveyReply,
    SurveyRequest,
    encode_message,
)
from daisylink.process._node import Node
from daisylink.process._reader import READER_PREFIX, ZONES_KEY, reader_key
from daisylink.process._survey import merge_survey_replies
from daisylink.process._transport import ControlClient
from daisylink.serving._burn import (
    WINDOWS,
    BurnReply,
    ServiceBurn,
    ServiceCounts,
    merge_burns,
)
from daisylink.serving._records import MemberRecord, MemberState, ServerState

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "READER_PREFIX",
    "WINDOWS",
    "ZONES_KEY",
    "BurnReply",
    "ControlClient",
    "FleetNode",
    "FleetSettings",
    "MemberRecord",
    "MemberState",
    "Node",
    "ServerState",
    "ServiceBurn",
    "ServiceCounts",
    "SurveyReply",
    "SurveyRequest",
    "encode_message",
    "first_incarnation",
    "merge_burns",
    "merge_survey_replies",
    "reader_key",
]
