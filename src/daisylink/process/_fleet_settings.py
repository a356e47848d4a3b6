"""Settings of a node's decision object and of its components."""

from datetime import timedelta
from typing import NamedTuple

from daisylink.process._broadcaster import BroadcastSettings
from daisylink.process._claims import ClaimSettings
from daisylink.process._detector import DetectorSettings
from daisylink.process._key_records import KeyRecordSettings
from daisylink.process._puller import PullSettings
from daisylink.process._reader import ReaderSettings
from daisylink.process._readiness import ReadinessSettings
from daisylink.process._replicas import ReplicaSettings
from daisylink.process._snapshot_limiter import SnapshotLimitSettings
from daisylink.process._zone_monitor import ZoneMonitorSettings
from daisylink.serving._quarantine import QuarantineSettings


class FleetSettings(NamedTuple):
    """Settings of a :class:`~daisylink.process.FleetNode` and its components.

    :param batch_interval: how long record changes are collected before they are
        broadcast.
    :param gap_timeout: how long a push is held while its version is missing.
    :param directory_quiet_period: directories are compared only after this time
        without a change.
    """

    detector: DetectorSettings = DetectorSettings()
    broadcaster: BroadcastSettings = BroadcastSettings()
    puller: PullSettings = PullSettings()
    reader: ReaderSettings = ReaderSettings()
    zone_monitor: ZoneMonitorSettings = ZoneMonitorSettings()
    snapshot_limiter: SnapshotLimitSettings = SnapshotLimitSettings()
    readiness: ReadinessSettings = ReadinessSettings()
    replicas: ReplicaSettings = ReplicaSettings()
    key_records: KeyRecordSettings = KeyRecordSettings()
    claims: ClaimSettings = ClaimSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    batch_interval: timedelta = timedelta(milliseconds=50)
    gap_timeout: timedelta = timedelta(seconds=1)
    directory_quiet_period: timedelta = timedelta(seconds=1)
