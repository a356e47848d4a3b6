"""What a sidecar knows of the fleet: the version in force and the members.

Keys come from the store or, while that is away, from peers; either way they are ordered
by the store's revisions.
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

# Under which the fleet's own keys lie.
FLEET_PREFIX = "daisylink/"
MEMBER_PREFIX = FLEET_PREFIX + "members/"

log = get_logger("knowledge")


def member_key(node: str) -> str:
    """Return the key of a node's record."""
    return MEMBER_PREFIX + node


class FleetState:
    """The version in force and the members.

    :param config_key: key of the configuration.
    :param decode_configuration: decodes and builds a version.
    :param publisher: told what was read, and what is published already.
    :param now: the monotonic clock.
    :param on_version: told each version that comes in force.
    :param on_members: told that members changed.
    :param on_strikes: told what a member says of requests that crashed its server.
    :param on_gone: told each node that is no member any more.
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
        on_gone: Callable[[str], None],
    ):
        self.members = members
        self.config_key = config_key
        self.decode_configuration = decode_configuration
        self.publisher = publisher
        self.now = now
        self.on_version = on_version
        self.on_members = on_members
        self.on_strikes = on_strikes
        self.on_gone = on_gone
        self.version: Version | None = None
        self.compressed_version: Item | None = None
        self.accepts_compressed_versions = False
        self.is_own_record_missing = False

    @property
    def version_number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.version.number if self.version is not None else 0

    def handle_item(self, item: Item) -> None:
        """Take a key that is new, changed or deleted."""
        if item.key == self.config_key:
            self._handle_configuration(item)
        elif item.key == COMPRESSED_VERSION_KEY:
            self._handle_compressed_version(item)
        elif item.key.startswith(MEMBER_PREFIX):
            self._handle_member(item)

    def accept_compressed_versions(self) -> None:
        """Begin with a published version from now on: this node is no reader.

        A reader begins with the configuration itself. In a small fleet nobody
        publishes, so an edition may be left over from when the fleet was large.
        """
        self.accepts_compressed_versions = True
        if self.compressed_version is not None:
            self._handle_compressed_version(self.compressed_version)

    def tick(self, now: float) -> None:
        """Drop the members whose time is over."""
        dropped = self.members.tick(now)
        for node in dropped:
            log.bind(node=node).info("member gone: its record did not come back")
            self.on_gone(node)
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
        """Install a version that a reader published, if it is higher."""
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
            bound_log.bind(code=int(error.code)).error("edition refused: {}", error)

    def _install(self, document: bytes, revision: int) -> bool:
        """Put a version in force; return whether its number is higher.

        :raises VersionError: if it cannot be read.
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
            self.on_gone(node)
        if record.strikes:
            bound_log.bind(strikes=len(record.strikes)).info(
                "news of crashing requests"
            )
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
