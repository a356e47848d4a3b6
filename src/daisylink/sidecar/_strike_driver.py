"""Connects the strikes to the gateway, to the members' records and to this node's."""

from collections.abc import Callable

from daisylink.clock import Clock
from daisylink.logs import get_logger
from daisylink.registry import MemberTable
from daisylink.request import Fingerprint, LostRequest
from daisylink.serving import Gateway, Strike
from daisylink.sidecar._strikes import StrikeReporter, StrikeReporterSettings

log = get_logger("sidecar")


class StrikeDriver:
    """Passes crashes, answers and records to the :class:`StrikeReporter`.

    :param on_changed: called when this node's own record has to list other strikes.
    """

    def __init__(
        self,
        gateway: Gateway,
        members: MemberTable,
        clock: Clock,
        on_changed: Callable[[], None],
    ):
        self.now = clock.monotonic
        self.on_changed = on_changed
        self.reporter = StrikeReporter(
            StrikeReporterSettings(),
            members.own_record.node,
            gateway.quarantine,
            clock,
            members.list_current,
        )
        gateway.on_server_crashed = self._handle_crash
        gateway.on_suspect_answered = self._handle_answered

    def list_current(self) -> tuple[Strike, ...]:
        """Return the strikes and pardons that this node's record should contain."""
        return self.reporter.list_current(self.now())

    def handle_record(
        self, node: str, strikes: tuple[Strike, ...], is_starting: bool
    ) -> None:
        """Handle the strikes that the newest record of another node lists.

        :param is_starting: whether this node reads the records for the first time.
        """
        if self.reporter.handle_record(node, strikes, self.now(), is_starting):
            self.on_changed()

    def handle_member_removed(self, node: str) -> None:
        """Handle a node that is no longer a member."""
        if self.reporter.handle_member_removed(node, self.now()):
            self.on_changed()

    def _handle_crash(self, lost: tuple[LostRequest, ...]) -> None:
        log.bind(in_flight=len(lost)).warning("backend server crashed")
        self.reporter.record_crash(lost, self.now())
        self.on_changed()

    def _handle_answered(self, fingerprint: Fingerprint) -> None:
        changed = self.reporter.record_answered(fingerprint, self.now())
        if not changed:
            return
        pardoned = sum(strike.pardoned for strike in changed)
        log.bind(pardoned=pardoned, caller_bound=len(changed) - pardoned).info(
            "strikes withdrawn after an answer"
        )
        self.on_changed()
