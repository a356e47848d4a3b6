"""The state of the fleet as a sidecar knows it: the version in force and the members.

Keys come from the store or, while it is unavailable, from peers; either way they are
ordered by the store's eras and revisions. Versions are ordered by their own numbers, so
that a store that came back from an older copy takes none out of force.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from daisylink.errors import VersionError
from daisylink.logs import get_logger, line_gate
from daisylink.quota import FLEET_SIZE_KEY
from daisylink.registry import (
    NO_REVISION,
    EraTracker,
    Item,
    MemberTable,
    Publisher,
    StoreRevision,
)
from daisylink.serving import MemberRecord, MemberState, Strike
from daisylink.sidecar._compressed_version import (
    COMPRESSED_VERSION_KEY,
    CompressedVersion,
)
from daisylink.sidecar._tenant_log import log_tenant_faults
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


def ignore_item(_item: Item) -> None:
    """Handle a key that is of no use here."""


class FleetListeners(NamedTuple):
    """Who is told of changes of the fleet's state.

    :param on_version: called with each version that comes into force.
    :param on_members: called after members have changed.
    :param on_strikes: called with each other node whose record was read and the strikes
        that the record lists.
    :param on_member_removed: called with each node that is no longer a member.
    :param on_own_departures: called with the key of this node's departures.
    :param on_told_departures: called with this node's departures as a peer knows them.
    :param on_departures: called with another node's name and the key of its departures.
    :param on_fleet_size: called with the key of the fleet's size.
    :param on_rollout_item: called with every other key, such as those of rollouts.
    """

    on_version: Callable[[Version], None]
    on_members: Callable[[], None]
    on_strikes: Callable[[str, tuple[Strike, ...]], None]
    on_member_removed: Callable[[str], None]
    on_own_departures: Callable[[Item], None]
    on_told_departures: Callable[[Item], None]
    on_departures: Callable[[str, Item], None]
    on_fleet_size: Callable[[Item], None] = ignore_item
    on_rollout_item: Callable[[Item], None] = ignore_item


class Candidate(NamedTuple):
    """A version that was read and is not in force yet.

    :param document: the configuration, uncompressed.
    :param is_configuration: whether it was read from the configuration itself.
    """

    version: Version
    document: bytes
    revision: StoreRevision
    is_configuration: bool


class FleetState:
    """The version in force and the members.

    :param config_key: store key of the configuration.
    :param decode_configuration: decodes a configuration and builds its version.
    :param publisher: receives the versions that were read and those already published.
    :param era_tracker: knows the newest era of the store.
    :param now: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        members: MemberTable,
        config_key: str,
        decode_configuration: Callable[[bytes], Version],
        publisher: Publisher,
        era_tracker: EraTracker,
        now: Callable[[], float],
        listeners: FleetListeners,
    ):
        self.members = members
        self.config_key = config_key
        self.decode_configuration = decode_configuration
        self.publisher = publisher
        self.era_tracker = era_tracker
        self.now = now
        self.listeners = listeners
        self.own_departure_key = departure_key(members.own_record.node)
        self.version: Version | None = None
        self.document = b""
        self.compressed_document = b""
        self.compressed_version: Item | None = None
        self.accepts_compressed_versions = False
        # What the store holds as this node's record, if that has changed.
        self.stored_own_record: Item | None = None
        self.has_listed = False
        # Whether the store may be behind the fleet, so that peers are asked for the
        # first version, and the newest version read until then.
        self.is_deferring = False
        self.candidate: Candidate | None = None

    @property
    def version_number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.version.number if self.version is not None else 0

    def handle_item(self, item: Item) -> None:
        """Handle a key that is new, changed or deleted.

        A key that cannot be handled changes nothing: the others hold.
        """
        try:
            self._handle_item(item)
        except Exception:
            log.bind(key=item.key, revision=item.revision).exception(
                "a key could not be handled"
            )

    def _handle_item(self, item: Item) -> None:
        if item.key == self.config_key:
            self._handle_configuration(item)
        elif item.key == COMPRESSED_VERSION_KEY:
            self._handle_compressed_version(item)
        elif item.key.startswith(MEMBER_PREFIX):
            self._handle_member(item)
        elif item.key == self.own_departure_key:
            self.listeners.on_own_departures(item)
        elif item.key.startswith(DEPARTURE_PREFIX):
            self.listeners.on_departures(item.key.removeprefix(DEPARTURE_PREFIX), item)
        elif item.key == FLEET_SIZE_KEY:
            self.listeners.on_fleet_size(item)
        else:
            self.listeners.on_rollout_item(item)

    def handle_older_item(self, item: Item) -> None:
        """Handle a peer's key that is not newer than the known one.

        It may still hold what the store has lost, a version or departures.
        """
        if item.value is None:
            return
        if item.key == self.own_departure_key:
            self.listeners.on_told_departures(item)
        if item.key == self.config_key:
            self._handle_configuration(item)
        elif item.key == COMPRESSED_VERSION_KEY:
            self._read_compressed_version(item)

    def handle_listing(self, revision: StoreRevision, has_compressed: bool) -> None:
        """Handle a listing of the store's keys, after :meth:`handle_item`.

        :param has_compressed: whether it has a compressed version.
        """
        self.has_listed = True
        if not has_compressed:
            self.publisher.record_deleted(revision)

    def accept_compressed_versions(self) -> None:
        """Accept a compressed version as the first one: this node is not a reader.

        A reader starts with the configuration itself. In a small fleet no node
        publishes, so the stored version may be an old one of a larger fleet.
        """
        self.accepts_compressed_versions = True
        if self.compressed_version is not None:
            self._handle_compressed_version(self.compressed_version)

    def end_deferral(self) -> None:
        """Put the newest version that was read into force."""
        self.is_deferring = False
        candidate, self.candidate = self.candidate, None
        if candidate is not None and candidate.version.number > self.version_number:
            self._put_in_force(candidate)

    def compress_version(self) -> bytes:
        """Return the version in force as a compressed one, encoded."""
        if not self.compressed_document:
            self.compressed_document = CompressedVersion.from_document(
                self.version_number, self.document
            ).to_bytes()
        return self.compressed_document

    def tick(self, now: float) -> None:
        """Drop the members whose expired records did not return in time."""
        was_lapse = self.members.is_lapse
        dropped = self.members.tick(now)
        for node in dropped:
            log.bind(node=node).info("member dropped: its record was not written again")
            self.listeners.on_member_removed(node)
        if dropped or was_lapse != self.members.is_lapse:
            self.listeners.on_members()

    def _handle_configuration(self, item: Item) -> None:
        """Install a configuration if its number is higher than the one in force."""
        bound_log = log.bind(revision=item.revision, in_force=self.version_number)
        if item.value is None:
            bound_log.warning("configuration deleted; the version in force stays")
            return
        try:
            self._install(item.value, item.revision, is_configuration=True)
        except VersionError as error:
            bound_log.bind(code=int(error.code)).error("version refused: {}", error)

    def _handle_compressed_version(self, item: Item) -> None:
        """Install a version that a reader published if its number is higher."""
        self.compressed_version = item if item.value is not None else None
        if item.value is None:
            self.publisher.record_deleted(item.revision)
            return
        compressed = self._read_compressed_version(item)
        number = compressed.number if compressed is not None else 0
        self.publisher.record_published(number, item.revision, self.now())

    def _read_compressed_version(self, item: Item) -> CompressedVersion | None:
        """Decode a compressed version, and install it if its number is higher."""
        is_first = self.version is None
        may_install = self.accepts_compressed_versions or not is_first
        try:
            compressed = CompressedVersion.from_bytes(item.value)
            if compressed.number > self.version_number and (
                may_install or item.revision == NO_REVISION
            ):
                self._install(compressed.decompress(), item.revision)
        except VersionError as error:
            log.bind(
                revision=item.revision,
                in_force=self.version_number,
                code=int(error.code),
            ).error("compressed version refused: {}", error)
            return None
        return compressed

    def _install(
        self, document: bytes, revision: StoreRevision, is_configuration: bool = False
    ) -> None:
        """Put a version into force if its number is higher.

        :raises VersionError: if it cannot be decoded.
        """
        version = self.decode_configuration(document)
        bound_log = log.bind(
            revision=revision, in_force=self.version_number, version=version.number
        )
        if version.number <= self.version_number:
            bound_log.info("version is not newer; ignored")
            if is_configuration and version.number == self.version_number:
                # The first copy may have come from a peer.
                self.publisher.handle_version(version.number, document, self.now())
            return
        candidate = Candidate(version, document, revision, is_configuration)
        if not self.is_deferring:
            self._put_in_force(candidate)
            return
        bound_log.info("version deferred: the store may be behind the fleet")
        if self.candidate is None or version.number > self.candidate.version.number:
            self.candidate = candidate

    def _put_in_force(self, candidate: Candidate) -> None:
        version = candidate.version
        log.bind(
            revision=candidate.revision,
            in_force=self.version_number,
            version=version.number,
        ).info("version in force")
        log_tenant_faults(version)
        self.version = version
        self.document = candidate.document
        self.compressed_document = b""
        self.listeners.on_version(version)
        if candidate.is_configuration:
            self.publisher.handle_version(
                version.number, candidate.document, self.now()
            )

    def _handle_member(self, item: Item) -> None:
        node = item.key.removeprefix(MEMBER_PREFIX)
        if node == self.members.own_record.node:
            self._handle_own_record(item)
            return
        bound_log = log.bind(node=node, revision=item.revision)
        if item.value is None:
            if self.members.mark_expired(node, self.now()):
                bound_log.info("member's record left the store")
                self.listeners.on_members()
            return
        record = self._decode_record(item)
        if record is None:
            return
        if self._is_outdated(record):
            self._handle_outdated_member(record)
            return
        if record.strikes:
            bound_log.bind(strikes=len(record.strikes)).info("strikes received")
        self.listeners.on_strikes(node, record.strikes)
        if record.state is MemberState.LEFT:
            self.listeners.on_member_removed(node)
        if self.members.put(record):
            # In a large fleet most of these lines are left out.
            if line_gate.may_log("INFO"):
                bound_log.bind(
                    state=record.state.name,
                    server=record.server.name,
                    pool=record.pool,
                    zone=record.zone,
                    instance=record.instance,
                ).info("member changed")
            self.listeners.on_members()

    def _handle_own_record(self, item: Item) -> None:
        self.stored_own_record = item
        if item.value is not None and not self.has_listed:
            self._decode_record(item)

    def _decode_record(self, item: Item) -> MemberRecord | None:
        """Decode a record; it tells a starting process whether the fleet has settled.

        After the store has come back from an older copy, it may lack what the fleet, or
        a former process at this address, has known.
        """
        try:
            record = msgspec.msgpack.decode(item.value, type=MemberRecord)
        except msgspec.MsgspecError as error:
            log.bind(key=item.key, revision=item.revision).warning(
                "member's record cannot be read: {}", error
            )
            return None
        is_settled = record.is_settled and not self._is_outdated(record)
        if not self.has_listed and not is_settled:
            self.is_deferring = self.version is None
        return record

    def _is_outdated(self, record: MemberRecord) -> bool:
        """Return whether a record was written in an earlier era, so is an old copy."""
        return 0 < record.era < self.era_tracker.current

    def _handle_outdated_member(self, record: MemberRecord) -> None:
        """Handle a record of an earlier era, which its node has not written again yet.

        A known member stays as it is known and has the usual time to write; one that
        is not known has left. A process that has just started knows none: it uses the
        records, and asks their nodes for what the store has lost.
        """
        if not self.has_listed:
            self.members.put(record)
        if self.members.mark_expired(record.node, self.now()):
            log.bind(node=record.node, era=record.era).info(
                "member's record is of an earlier era"
            )
            self.listeners.on_members()
