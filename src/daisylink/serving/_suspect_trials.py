"""Tries again, now and then, a request that is refused because servers crashed with it.

Nothing else could show that it is sound: it was in flight when servers crashed for
another reason, and nothing of it runs any more.
"""

from daisylink.request import Fingerprint
from daisylink.serving._load_balancer import PoolDirectory
from daisylink.serving._quarantine import Quarantine
from daisylink.serving._records import MemberRecord, compute_ring_position

# Time after a trial at this node before the next one of the same request, in seconds.
# It may have ended without an answer and without a crash.
MIN_PAUSE_SECONDS = 5.0


class SuspectTrials:
    """The trials of quarantined requests, each at one server of the fleet at a time.

    All nodes choose the same node from the members and the crashes that they know. It
    lets one such request run and refuses the others meanwhile.

    :param quarantine: tells when a trial is due.
    :param directory: the nodes that serve a pool.
    """

    def __init__(self, quarantine: Quarantine, directory: PoolDirectory):
        self.quarantine = quarantine
        self.directory = directory
        # When the next trial may begin here, by fingerprint.
        self.pauses: dict[bytes, float] = {}

    def find_node(
        self, fingerprint: Fingerprint, pool: str, now: float
    ) -> MemberRecord | None:
        """Return the node that may try a quarantined request now, None without one.

        :param now: seconds of the monotonic clock.
        """
        if now < self.quarantine.find_trial_at(fingerprint, now):
            return None
        crashes = self.quarantine.count_crashes(fingerprint, now)
        prefix = f"{fingerprint.whole.hex()}/{crashes}"
        return min(
            self.directory.serving(pool).values(),
            key=lambda record: compute_ring_position(f"{prefix}/{record.node}"),
            default=None,
        )

    def begin(self, fingerprint: Fingerprint, pool: str, now: float) -> bool:
        """Begin a trial at this node's backend server.

        :param now: seconds of the monotonic clock.
        :returns: whether the request may run.
        """
        record = self.find_node(fingerprint, pool, now)
        if record is None or record.node != self.directory.own_record.node:
            return False
        if self.quarantine.is_running(fingerprint):
            return False
        self.pauses = {key: end for key, end in self.pauses.items() if end > now}
        if fingerprint.whole in self.pauses:
            return False
        self.pauses[fingerprint.whole] = now + MIN_PAUSE_SECONDS
        self.quarantine.begin(fingerprint)
        return True

    def record_answered(self, fingerprint: Fingerprint) -> None:
        """End the pause after a trial: requests of other callers need trials too."""
        self.pauses.pop(fingerprint.whole, None)
