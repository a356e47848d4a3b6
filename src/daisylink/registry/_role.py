"""Whether a node reads the configuration itself, and which keys it watches."""

from daisylink.registry._members import MemberTable
from daisylink.registry._readers import ReaderSettings, rank_readers, rank_standbys
from daisylink.registry._source_selector import SourceSelector

# A node that is no longer a reader watches all keys for this long, in case it is
# selected again.
LINGER_SECONDS = 3.0
# A node without a version reads the configuration itself if no reader has published it
# by then.
VERSION_WAIT_SECONDS = 2.0
# Prefix of all keys: the fleet's own ones and the configuration itself.
ALL_KEYS_PREFIX = ""


class ReaderRole:
    """Whether this node is a reader or takes a reader's place, and its rank.

    :param members: the known members.
    :param source_selector: receives the readers that this node may ask.
    :param fleet_prefix: prefix of the fleet's own keys.
    """

    def __init__(
        self,
        settings: ReaderSettings,
        members: MemberTable,
        source_selector: SourceSelector,
        fleet_prefix: str,
    ):
        self.settings = settings
        self.members = members
        self.source_selector = source_selector
        self.fleet_prefix = fleet_prefix
        self.rank: int | None = 0
        self.readers: list[str] = []
        # Rank among the nodes that take the place of readers that do not answer, while
        # this node finds none that does, and whether it is one of them.
        self.standby_rank: int | None = None
        self.is_acting = False
        self.is_standby_ranked = False
        self.last_reader_at = float("-inf")
        self.is_fleet_listed = False
        self.reads_version_at = float("inf")
        # Whether members have changed since the readers were selected.
        self.is_outdated = False

    @property
    def is_reader(self) -> bool:
        """Return whether this node is one of the readers, which the others ask."""
        return self.rank is not None

    @property
    def reads_configuration(self) -> bool:
        """Return whether this node reads the configuration itself."""
        return self.is_reader or self.is_acting

    @property
    def is_small_fleet(self) -> bool:
        """Return whether the fleet is so small that every node is a reader."""
        return len(self.members.records) <= self.settings.max_small_fleet

    @property
    def publish_rank(self) -> int | None:
        """Return the rank for publishing, None if this node does not publish.

        In a small fleet no node does.
        """
        if self.is_small_fleet:
            return None
        return self.rank if self.is_reader else self._acting_rank

    @property
    def _acting_rank(self) -> int | None:
        return self.standby_rank if self.is_acting else None

    def update_rank(self) -> None:
        """Select the readers from the nodes whose records are in the store.

        The fleet's size counts the other members too: most of them will write their
        records again.
        """
        members = self.members
        records = members.list_current()
        readers = rank_readers(records, self.settings, len(members.records))
        self.is_outdated = False
        node = members.own_record.node
        self.rank = readers.index(node) if node in readers else None
        self.readers = readers
        self.is_standby_ranked = False
        candidates = [] if self.is_reader else [records[name] for name in readers]
        self.source_selector.set_readers(candidates)

    def handle_listing(self) -> None:
        """Select the readers after the first listing, which makes the members known."""
        if not self.is_fleet_listed:
            self.is_fleet_listed = True
            self.update_rank()

    def choose_prefix(self, has_version: bool, now: float) -> str:
        """Return the key prefix to watch.

        :param has_version: whether any version is in force, read or published.
        """
        if not self.is_fleet_listed:
            return self.fleet_prefix
        self.reads_version_at = min(self.reads_version_at, now + VERSION_WAIT_SECONDS)
        is_due = not has_version and now >= self.reads_version_at
        self._update_standby(now)
        if self.reads_configuration or is_due:
            self.last_reader_at = now
        if now - self.last_reader_at < LINGER_SECONDS:
            return ALL_KEYS_PREFIX
        return self.fleet_prefix

    def _update_standby(self, now: float) -> None:
        """Take a reader's place, or cease to, as the readers answer or not."""
        if not self.source_selector.uses_store(now):
            self.is_acting = self.is_standby_ranked = False
            return
        if self.is_standby_ranked:
            return
        self.is_standby_ranked = True
        records = self.members.list_current()
        standbys = rank_standbys(records, self.readers, self.settings)
        node = self.members.own_record.node
        self.standby_rank = standbys.index(node) if node in standbys else None
        self.is_acting = self.standby_rank is not None
