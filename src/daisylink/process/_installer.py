"""Installs versions, and provides the version in force to other nodes."""

from collections import deque
from enum import Enum

from daisylink.errors import ResultCode, VersionError
from daisylink.process._messages import VersionUpdate
from daisylink.version import (
    Version,
    pack_content,
    version_from_delta,
    version_from_snapshot,
)

MAX_KEPT_DELTAS = 64


class InstallResult(Enum):
    """Result of an attempt to install a version.

    ``KNOWN`` means that the version in force is the same or newer, ``GAP`` that the
    delta is absent or does not apply to the version in force, and ``REFUSED`` that the
    content is invalid.
    """

    INSTALLED = "installed"
    KNOWN = "known"
    GAP = "gap"
    REFUSED = "refused"


class Installer:
    """The version in force, replaced by a single assignment and only by a newer one."""

    def __init__(self):
        self.current: Version | None = None
        self.recent_updates: deque[VersionUpdate] = deque(maxlen=MAX_KEPT_DELTAS)
        self.pending_updates: dict[int, VersionUpdate] = {}
        self.packed_snapshot: tuple[int, bytes] = (0, b"")
        self.refused_count = 0

    @property
    def number(self) -> int:
        """Return the number of the version in force, 0 for none."""
        return self.current.number if self.current is not None else 0

    def apply_delta(self, update: VersionUpdate) -> InstallResult:
        """Install a version from its delta if it directly follows the one in force.

        A delta that arrives early is kept and applied after the one before it.
        """
        if update.number <= self.number:
            return InstallResult.KNOWN
        if update.number != self.number + 1 or self.current is None:
            if (
                update.delta is not None
                and update.number <= self.number + MAX_KEPT_DELTAS
            ):
                self.pending_updates[update.number] = update
            return InstallResult.GAP
        if update.delta is None:
            return InstallResult.GAP
        try:
            version = version_from_delta(self.current, update.stamp, update.delta)
        except VersionError:
            self.refused_count += 1
            return InstallResult.REFUSED
        self.activate(version)
        self.recent_updates.append(update)
        self._apply_pending()
        return InstallResult.INSTALLED

    def apply_snapshot(self, update: VersionUpdate, packed: bytes) -> InstallResult:
        """Install a version from its complete packed content."""
        if update.number <= self.number:
            return InstallResult.KNOWN
        try:
            version = version_from_snapshot(update.stamp, packed)
        except VersionError:
            self.refused_count += 1
            return InstallResult.REFUSED
        self.activate(version)
        self.recent_updates.clear()
        self.packed_snapshot = (update.number, packed)
        self._apply_pending()
        return InstallResult.INSTALLED

    def activate(self, version: Version) -> None:
        """Put a complete, checked version in force.

        :raises VersionError: ``VERSION_NOT_NEWER`` if it is not newer.
        """
        if version.number <= self.number:
            raise VersionError(
                f"version {version.number} is not newer than {self.number}",
                ResultCode.VERSION_NOT_NEWER,
            )
        self.current = version

    def updates_since(self, number: int) -> tuple[VersionUpdate, ...]:
        """Return the deltas that lead from a version to the one in force.

        :returns: updates in order; empty if the deltas are no longer kept.
        """
        if number == 0 or number >= self.number:
            return ()
        updates = tuple(item for item in self.recent_updates if item.number > number)
        return updates if len(updates) == self.number - number else ()

    def snapshot(self) -> tuple[VersionUpdate, bytes] | None:
        """Return the version in force as an update and packed content, or None."""
        if self.current is None:
            return None
        if self.packed_snapshot[0] != self.number:
            _, packed = pack_content(self.current.content)
            self.packed_snapshot = (self.number, packed)
        stamp = self.current.stamp
        update = VersionUpdate(stamp.number, stamp.digest, stamp.accepted_at)
        return update, self.packed_snapshot[1]

    def _apply_pending(self) -> None:
        """Apply the deltas that arrived early and are next now."""
        for number in [
            number for number in self.pending_updates if number <= self.number
        ]:
            del self.pending_updates[number]
        update = self.pending_updates.pop(self.number + 1, None)
        if update is not None:
            self.apply_delta(update)
