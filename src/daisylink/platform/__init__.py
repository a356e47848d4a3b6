"""The platform's names, formats and calls, converted to daisylink's types.

This package makes no decisions, and no other package contains the platform's names.
"""

from daisylink.platform._announcements import decode_announcement, make_response
from daisylink.platform._configuration import (
    CONFIG_KEY,
    ConfigurationDecoder,
    decode_configuration,
)
from daisylink.platform._draft import read_draft
from daisylink.platform._headers import HEADER_NAMES
from daisylink.platform._rollouts import (
    ORDER_PREFIX,
    decode_order,
    encode_status,
    status_key,
)
from daisylink.platform._settings import (
    decode_settings,
    load_settings,
    settings_path,
)
from daisylink.platform._store import MetadataStore

READY_PATH = "/-/ready"

__all__ = [
    "CONFIG_KEY",
    "HEADER_NAMES",
    "ORDER_PREFIX",
    "READY_PATH",
    "ConfigurationDecoder",
    "MetadataStore",
    "decode_announcement",
    "decode_configuration",
    "decode_order",
    "decode_settings",
    "encode_status",
    "load_settings",
    "make_response",
    "read_draft",
    "settings_path",
    "status_key",
]
