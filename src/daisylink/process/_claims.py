"""Claims of keyed requests by the node that is about to run them.

A request with a key is run only after a majority of its shard's keepers granted the
claim. Without a majority it is refused, certainly not run.
"""

import random
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

from daisylink.errors import ResultCode
from daisylink.process._events import ClaimDecided, Send
from daisylink.process._messages import (
    Claim,
    ClaimCompletion,
    ClaimReply,
    ShardPlacement,
    Verdict,
)
from daisylink.process._replicas import ReplicaManager, find_shard, majority
from daisylink.request import ClaimGranted, ClaimKnown, ClaimRefused, RunResult

CLAIM_ID_BITS = 62
RETRY_MS = 300


class ClaimSettings(NamedTuple):
    """Patience of claims.

    :param resend_interval: a claim that was not answered is sent again after this time.
    :param timeout: after this time without a majority the request is refused.
    """

    resend_interval: timedelta = timedelta(milliseconds=60)
    timeout: timedelta = timedelta(milliseconds=400)


@dataclass
class PendingClaim:
    """A claim that waits for a majority."""

    claim: Claim
    ticket: Any
    placement: ShardPlacement
    deadline: float
    resend_at: float
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    known: ClaimReply | None = None


class GrantedClaim(NamedTuple):
    """A granted claim, whose request runs."""

    claim: Claim
    placement: ShardPlacement


class Claims:
    """The claims of one node.

    :param own_node: the node's name.
    :param keepers: where the keepers of a shard are found.
    """

    def __init__(
        self,
        settings: ClaimSettings,
        own_node: str,
        keepers: ReplicaManager,
        rng: random.Random,
    ):
        self.resend = settings.resend_interval.total_seconds()
        self.patience = settings.timeout.total_seconds()
        self.own_node = own_node
        self.keepers = keepers
        self.rng = rng
        self.pending_claims: dict[int, PendingClaim] = {}
        self.held: dict[Any, GrantedClaim] = {}

    @property
    def wake_at(self) -> float:
        """Return when something is due."""
        return min(
            (
                min(item.resend_at, item.deadline)
                for item in self.pending_claims.values()
            ),
            default=float("inf"),
        )

    def request(self, ticket: Any, key: bytes, now: float) -> list[Send | ClaimDecided]:
        """Claim a key for a request.

        :param ticket: what the shell knows the request by.
        :param key: digest of the key.
        """
        shard = find_shard(key)
        placement = self.keepers.find_placement(shard)
        if placement is None or not placement.keepers:
            return [self._refuse(ticket)]
        claim_id = self.rng.getrandbits(CLAIM_ID_BITS)
        claim = Claim(claim_id, self.own_node, shard, placement.epoch, key)
        self.pending_claims[claim_id] = PendingClaim(
            claim, ticket, placement, now + self.patience, now + self.resend
        )
        return [Send(replica.node, claim) for replica in placement.keepers]

    def handle_reply(self, reply: ClaimReply) -> list[Send | ClaimDecided]:
        """Take a keeper's verdict."""
        item = self.pending_claims.get(reply.claim_id)
        if item is None:
            return []
        item.verdicts[reply.sender] = reply.verdict
        if reply.verdict is Verdict.KNOWN and (item.known is None or reply.done):
            item.known = reply
        return self._decide(item)

    def tick(self, now: float) -> list[Send | ClaimDecided]:
        """Send claims again, and refuse those whose time is over."""
        actions: list[Send | ClaimDecided] = []
        for item in list(self.pending_claims.values()):
            if now >= item.deadline:
                actions += self._end(item)
            elif now >= item.resend_at:
                item.resend_at = now + self.resend
                for replica in item.placement.keepers:
                    if replica.node not in item.verdicts:
                        actions.append(Send(replica.node, item.claim))
        return actions

    def complete(self, ticket: Any, fate: RunResult, answer: bytes) -> list[Send]:
        """Tell the keepers a claim's answer, or that its request was not run."""
        held = self.held.pop(ticket, None)
        if held is None or fate is RunResult.UNKNOWN:
            return []
        released = fate is RunResult.NOT_RUN
        return self._notify_replicas(held.claim, held.placement, answer, released)

    def _decide(self, item: PendingClaim) -> list[Send | ClaimDecided]:
        verdicts = list(item.verdicts.values())
        needed = majority(item.placement)
        granted = verdicts.count(Verdict.GRANTED)
        if granted >= needed and item.known is None:
            del self.pending_claims[item.claim.claim_id]
            self.held[item.ticket] = GrantedClaim(item.claim, item.placement)
            return [ClaimDecided(item.ticket, ClaimGranted())]
        missing = len(item.placement.keepers) - len(verdicts)
        known_done = item.known is not None and item.known.done
        if known_done or granted + missing < needed or not missing:
            return self._end(item)
        return []

    def _end(self, item: PendingClaim) -> list[Send | ClaimDecided]:
        """Give a claim up; it was not run, so its grants are taken back."""
        del self.pending_claims[item.claim.claim_id]
        actions: list[Send | ClaimDecided] = []
        actions += self._notify_replicas(item.claim, item.placement, b"", released=True)
        if item.known is not None:
            known = ClaimKnown(item.known.done, item.known.answer)
            return [*actions, ClaimDecided(item.ticket, known)]
        return [*actions, self._refuse(item.ticket)]

    def _notify_replicas(
        self, claim: Claim, placement: ShardPlacement, answer: bytes, released: bool
    ) -> list[Send]:
        settle = ClaimCompletion(
            claim.claim_id, claim.shard, claim.key, answer, released
        )
        return [Send(replica.node, settle) for replica in placement.keepers]

    def _refuse(self, ticket: Any) -> ClaimDecided:
        refused = ClaimRefused(ResultCode.REQUEST_KEY_UNSETTLED, RETRY_MS)
        return ClaimDecided(ticket, refused)
