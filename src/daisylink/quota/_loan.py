"""Lends this node's share of a shard to one coordinator at a time.

It is designed for coordinators that are killed, frozen, cut off, or of an earlier
release, which never reply. A share is used in one place only: by the coordinator until
its lease has certainly ended, and then by this node, until another one replies.
"""

from collections.abc import Container, Sequence

from daisylink.quota._messages import QuotaLend, QuotaLent

LEASE_SECONDS = 1.0
RENEWAL_SECONDS = 0.4
# Time for a reply, above the round trip between machines of a zone.
REPLY_SECONDS = 0.1
MAX_UNANSWERED = 3
# A node that did not reply is not tried for this time.
SILENT_SECONDS = 5.0
# Clocks of two machines may differ in speed by some parts in a thousand.
CLOCK_MARGIN_SECONDS = 0.02

Message = tuple[str, QuotaLend]


class Loan:
    """The loan of this node's share of one shard.

    :ivar coordinator: node that may hold the share, "" while this node uses it.
    :ivar ends_at: when the coordinator's lease has certainly ended. The coordinator
        stated its time before its reply arrived, and counts the lease from that time.
    """

    def __init__(self, shard: int):
        self.shard = shard
        self.coordinator = ""
        self.ends_at = float("-inf")
        self.is_retiring = False
        self.candidate = ""
        self.silent_until: dict[str, float] = {}
        self.unanswered = 0
        self.candidate_attempts = 0
        self._sent_at = float("-inf")
        self._candidate_sent_at = float("-inf")
        self._replied_at = float("-inf")
        self._process = 0
        self._time = 0.0

    @property
    def is_answering(self) -> bool:
        """Return whether the coordinator holds the share and replies."""
        return bool(self.coordinator) and self.unanswered < MAX_UNANSWERED

    def tick(
        self, ranking: Sequence[str], unreachable: Container[str], size: int, now: float
    ) -> list[Message]:
        """Return the messages that are due.

        :param ranking: nodes of the zone, the preferred coordinator first.
        :param unreachable: nodes that do not respond to requests.
        :param size: number of nodes that share each quota, 0 to lend nothing.
        :param now: seconds of a clock that may not run faster than the coordinator's.
        """
        if self.coordinator and now >= self.ends_at:
            self._end()
        if not size:
            self.is_retiring = True
            return []
        messages = []
        if self.coordinator and not self.is_retiring:
            interval = REPLY_SECONDS if self.unanswered else RENEWAL_SECONDS
            if now >= self._sent_at + interval:
                messages.append(self._renew(size, now))
                if self.unanswered > MAX_UNANSWERED:
                    self.silent_until[self.coordinator] = now + SILENT_SECONDS
        best = self._choose(ranking, unreachable, now)
        if best and best != self.coordinator:
            messages += self._probe(best, size, now)
        return messages

    def handle_reply(
        self, node: str, reply: QuotaLent, size: int, now: float
    ) -> list[Message]:
        """Handle a coordinator's reply; return the messages that are due.

        :param size: number of nodes that share each quota, 0 to lend nothing.
        """
        self.silent_until.pop(node, None)
        if node == self.coordinator:
            is_old = reply.process == self._process and reply.time <= self._time
            if not is_old:
                is_restarted = reply.process != self._process
                self._record(reply, now)
                if is_restarted and size and not self.is_retiring:
                    return [self._renew(size, now)]
            return []
        if node != self.candidate or not size:
            return []
        self.candidate_attempts = 0
        if self.coordinator:
            # The lease is left to end; then the preferred coordinator is asked again.
            self.is_retiring = True
            return []
        self.coordinator, self.candidate = node, ""
        self.is_retiring = False
        self._record(reply, now)
        return [self._renew(size, now)]

    def _record(self, reply: QuotaLent, now: float) -> None:
        self._process, self._time = reply.process, reply.time
        self._replied_at = now
        self.unanswered = 0

    def _renew(self, size: int, now: float) -> Message:
        self._sent_at = now
        self.unanswered += 1
        end = self._replied_at + LEASE_SECONDS + CLOCK_MARGIN_SECONDS
        self.ends_at = max(self.ends_at, end)
        message = QuotaLend(self.shard, size, self._process, self._time)
        return self.coordinator, message

    def _end(self) -> None:
        self.coordinator = ""
        self.is_retiring = False
        self.unanswered = 0
        self.candidate = ""

    def _choose(
        self, ranking: Sequence[str], unreachable: Container[str], now: float
    ) -> str:
        """Return the first node by rank that may coordinate, "" without one."""
        for node in ranking:
            if self.silent_until.get(node, 0.0) > now:
                continue
            if node == self.coordinator or node not in unreachable:
                return node
        return ""

    def _probe(self, node: str, size: int, now: float) -> list[Message]:
        """Ask a node for its time; after unanswered attempts it counts as silent."""
        if node != self.candidate:
            self.candidate, self.candidate_attempts = node, 0
        else:
            has_replied = self.is_retiring and not self.candidate_attempts
            if has_replied or now < self._candidate_sent_at + REPLY_SECONDS:
                return []
        if self.candidate_attempts >= MAX_UNANSWERED:
            self.silent_until[node] = now + SILENT_SECONDS
            self.candidate = ""
            self.is_retiring = False
            return []
        self.candidate_attempts += 1
        self._candidate_sent_at = now
        return [(node, QuotaLend(self.shard, size))]
