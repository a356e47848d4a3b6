"""What a sidecar knows of the fleet: the version in force and the members.

Keys come from the store or, while that is away, from peers; either way they are ordered
by the store's revisions.
"""

from collections.abc import Callable

import msgspec

from daisylink.errors import VersionError
from daisylink.logs import get_logger
from daisylink.registry import Item, Members
from daisylink.serving import MemberRecord, MemberState
from daisylink.version import Version

MEMBER_PREFIX = "daisylink/members/"

log = get_logger("knowledge")


def member_key(node: str) -> str:
    """Return the key of a node's record."""
    return MEMBER_PREFIX + node


class Knowledge:
    """The version in force and the members.

    :param config_key: key of the configuration.
    :param read_configuration: decodes and builds a version.
    :param now: the monotonic clock.
    :param on_version: told each version that comes in force.
    :param on_members: told that members changed.
    :param on_gone: told each node that is no member any more.
    """

    def __init__(
        self,
        members: Members,
        config_key: str,
        read_configuration: Callable[[bytes], Version],
        now: Callable[[], float],
        on_version: Callable[[Version], None],
        on_members: Callable[[], None],
        on_gone: Callable[[str], None],
    ):
        self.members = members
        self.config_key = config_key
        self.read_configuration = read_configuration
        self.now = now
        self.on_version = on_version
        self.on_members = on_members
        self.on_gone = on_gone
        self.version: Version | None = None
        self.is_own_missing = False

    @property
    def number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.version.number if self.version is not None else 0

    def take_item(self, item: Item) -> None:
        """Take a key that is new, changed or deleted."""
        if item.key == self.config_key:
            self._take_configuration(item)
        elif item.key.startswith(MEMBER_PREFIX):
            self._take_member(item)

    def tick(self, now: float) -> None:
        """Drop the members whose time is over."""
        dropped = self.members.tick(now)
        for node in dropped:
            log.bind(node=node).info("member gone: its record did not come back")
            self.on_gone(node)
        if dropped:
            self.on_members()

    def _take_configuration(self, item: Item) -> None:
        """Install a configuration if its number is higher than the one in force."""
        fields = log.bind(revision=item.revision, in_force=self.number)
        if item.value is None:
            fields.warning("configuration deleted; the version in force stays")
            return
        try:
            version = self.read_configuration(item.value)
        except VersionError as error:
            fields.bind(code=int(error.code)).error("version refused: {}", error)
            return
        if version.number <= self.number:
            fields.bind(version=version.number).info("version is not newer; ignored")
            return
        self.version = version
        fields.bind(version=version.number).info("version in force")
        self.on_version(version)

    def _take_member(self, item: Item) -> None:
        node = item.key.removeprefix(MEMBER_PREFIX)
        if node == self.members.own.node:
            self.is_own_missing = item.value is None
            return
        fields = log.bind(node=node, revision=item.revision)
        if item.value is None:
            if self.members.lapse(node, self.now()):
                fields.info("member's record left the store")
            return
        try:
            record = msgspec.msgpack.decode(item.value, type=MemberRecord)
        except msgspec.MsgspecError as error:
            fields.warning("member's record cannot be read: {}", error)
            return
        if record.state is MemberState.LEFT:
            self.on_gone(node)
        if self.members.put(record):
            fields.bind(
                state=record.state.name,
                server=record.server.name,
                pool=record.pool,
                zone=record.zone,
                instance=record.instance,
            ).info("member changed")
            self.on_members()
