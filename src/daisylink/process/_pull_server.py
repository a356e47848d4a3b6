"""Answers the pulls of nodes that lack versions, records or the replica map."""

from daisylink.process._directory import BUCKET_COUNT, Directory
from daisylink.process._installer import Installer
from daisylink.process._messages import PullReply, PullRequest, ReplicaMap
from daisylink.process._replicas import ReplicaManager
from daisylink.process._snapshot_limiter import SnapshotLimiter
from daisylink.serving._records import MemberRecord


class PullServer:
    """Chooses what a node that pulls gets, and when it has to wait.

    :param installer: has the version in force.
    :param directory: has the records.
    :param replica_manager: has the replica map.
    :param snapshot_limiter: admits large replies.
    """

    def __init__(
        self,
        installer: Installer,
        directory: Directory,
        replica_manager: ReplicaManager,
        snapshot_limiter: SnapshotLimiter,
    ):
        self.installer = installer
        self.directory = directory
        self.replica_manager = replica_manager
        self.snapshot_limiter = snapshot_limiter

    def answer(self, request: PullRequest, now: float) -> PullReply:
        """Return the data that a node lacks, or the delay before it may ask again.

        :param now: time of the monotonic clock in seconds.
        """
        number = self.installer.number
        records = self._find_records(request)
        is_behind = request.number < number
        updates = self.installer.updates_since(request.number) if is_behind else ()
        needs_snapshot = is_behind and not updates
        is_large = len(records) > BUCKET_COUNT or needs_snapshot
        if is_large and not self.snapshot_limiter.admit(request.sender, now):
            retry_ms = self.snapshot_limiter.retry_after_ms()
            alternates = self.snapshot_limiter.alternates(request.sender)
            return PullReply(number, retry_ms, alternates)
        snapshot = b""
        if needs_snapshot:
            latest, snapshot = self.installer.snapshot()
            updates = (latest,)
        replica_map = self._find_replica_map(request)
        return PullReply(number, 0, (), updates, snapshot, records, replica_map)

    def _find_records(self, request: PullRequest) -> tuple[MemberRecord, ...]:
        """Return the records of the buckets in which the directories differ."""
        if len(request.buckets) != BUCKET_COUNT:
            return ()
        return tuple(self.directory.records_in_differing_buckets(request.buckets))

    def _find_replica_map(self, request: PullRequest) -> ReplicaMap | None:
        """Return the replica map if the other node's is older."""
        replica_map = self.replica_manager.map
        return replica_map if replica_map.number > request.keepers else None
