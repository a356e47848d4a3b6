"""The state of the fleet as a sidecar knows it: the version in force and the members.

Keys come from the store or, while it is unavailable, from peers; either way they are
ordered by the store's revisions.
"""

from collections.abc import Callable

import msgspec

from daisylink.errors import VersionError
from daisylink.logs import get_logger
from daisylink.registry import Item, MemberTable, Publisher
from daisylink.serving import MemberRecord, MemberState, Strike
from daisylink.sidecar._compressed_version import (
    COMPRESSED_VERSION_KEY,
    CompressedVersion,
)
from daisylink.version import Version

# Prefix of the keys that the fleet itself writes.
FLEET_PREFIX = "daisylink/"
MEMBER_PREFIX = FLEET_PREFIX + "members/"
DEPARTURE_PREFIX = FLEET_PREFIX + "departures/"

log = get_logger("knowledge")


def member_key(node: str) -> str:
    """Return the key of a node's record."""
    return MEMBER_PREFIX + node


def departure_key(node: str) -> str:
    """Return the key of the departures that a node has acknowledged."""
    return DEPARTURE_PREFIX + node


class FleetState:
    """The version in force and the members.

    :param config_key: store key of the configuration.
    :param decode_configuration: decodes a configuration and builds its version.
    :param publisher: receives the versions that were read and those already published.
    :param now: returns the monotonic time in seconds.
    :param on_version: called with each version that comes into force.
    :param on_members: called after members have changed.
    :param on_strikes: called with the strikes that a member reports.
    :param on_member_removed: called with each node that is no longer a member.
    :param on_own_departures: called with the key of this node's departures.
    """

    def __init__(
        self,
        members: MemberTable,
        config_key: str,
        decode_configuration: Callable[[bytes], Version],
        publisher: Publisher,
        now: Callable[[], float],
        on_version: Callable[[Version], None],
        on_members: Callable[[], None],
        on_strikes: Callable[[tuple[Strike, ...]], None],
        on_member_removed: Callable[[str], None],
        on_own_departures: Callable[[Item], None],
    ):
        self.members = members
        self.config_key = config_key
        self.decode_configuration = decode_configuration
        self.publisher = publisher
        self.now = now
        self.on_version = on_version
        self.on_members = on_members
        self.on_strikes = on_strikes
        self.on_member_removed = on_member_removed
        self.on_own_departures = on_own_departures
        self.own_departure_key = departure_key(members.own_record.node)
        self.version: Version | None = None
        self.compressed_version: Item | None = None
        self.accepts_compressed_versions = False
        self.is_own_record_missing = False

    @property
    def version_number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.version.number if self.version is not None else 0

    def handle_item(self, item: Item) -> None:
        """Handle a key that is new, changed or deleted."""
        if item.key == self.config_key:
            self._handle_configuration(item)
        elif item.key == COMPRESSED_VERSION_KEY:
            self._handle_compressed_version(item)
        elif item.key.startswith(MEMBER_PREFIX):
            self._handle_member(item)
        elif item.key == self.own_departure_key:
            self.on_own_departures(item)

    def accept_compressed_versions(self) -> None:
        """Accept a compressed version as the first one: this node is not a reader.

        A reader starts with the configuration itself. In a small fleet no node
        publishes, so the stored version may be an old one of a larger fleet.
        """
        self.accepts_compressed_versions = True
        if self.compressed_version is not None:
            self._handle_compressed_version(self.compressed_version)

    def tick(self, now: float) -> None:
        """Drop the members whose expired records did not return in time."""
        dropped = self.members.tick(now)
        for node in dropped:
            log.bind(node=node).info("member dropped: its record was not written again")
            self.on_member_removed(node)
        if dropped:
            self.on_members()

    def _handle_configuration(self, item: Item) -> None:
        """Install a configuration if its number is higher than the one in force."""
        bound_log = log.bind(revision=item.revision, in_force=self.version_number)
        if item.value is None:
            bound_log.warning("configuration deleted; the version in force stays")
            return
        try:
            if self._install(item.value, item.revision):
                self.publisher.handle_version(
                    self.version_number, item.value, self.now()
                )
        except VersionError as error:
            bound_log.bind(code=int(error.code)).error("version refused: {}", error)

    def _handle_compressed_version(self, item: Item) -> None:
        """Install a version that a reader published if its number is higher."""
        self.compressed_version = item if item.value is not None else None
        if item.value is None:
            return
        bound_log = log.bind(revision=item.revision, in_force=self.version_number)
        try:
            compressed = CompressedVersion.from_bytes(item.value)
            self.publisher.record_published(
                compressed.number, item.revision, self.now()
            )
            is_first = self.version is None
            if compressed.number > self.version_number and (
                self.accepts_compressed_versions or not is_first
            ):
                self._install(compressed.decompress(), item.revision)
        except VersionError as error:
            bound_log.bind(code=int(error.code)).error(
                "compressed version refused: {}", error
            )

    def _install(self, document: bytes, revision: int) -> bool:
        """Put a version into force if its number is higher; return whether it is.

        :raises VersionError: if it cannot be decoded.
        """
        version = self.decode_configuration(document)
        bound_log = log.bind(
            revision=revision, in_force=self.version_number, version=version.number
        )
        if version.number <= self.version_number:
            bound_log.info("version is not newer; ignored")
            return False
        self.version = version
        bound_log.info("version in force")
        self.on_version(version)
        return True

    def _handle_member(self, item: Item) -> None:
        node = item.key.removeprefix(MEMBER_PREFIX)
        if node == self.members.own_record.node:
            self.is_own_record_missing = item.value is None
            return
        bound_log = log.bind(node=node, revision=item.revision)
        if item.value is None:
            if self.members.mark_expired(node, self.now()):
                bound_log.info("member's record left the store")
                self.on_members()
            return
        try:
            record = msgspec.msgpack.decode(item.value, type=MemberRecord)
        except msgspec.MsgspecError as error:
            bound_log.warning("member's record cannot be read: {}", error)
            return
        if record.state is MemberState.LEFT:
            self.on_member_removed(node)
        if record.strikes:
            bound_log.bind(strikes=len(record.strikes)).info("strikes received")
            self.on_strikes(record.strikes)
        if self.members.put(record):
            bound_log.bind(
                state=record.state.name,
                server=record.server.name,
                pool=record.pool,
                zone=record.zone,
                instance=record.instance,
            ).info("member changed")
            self.on_members()
