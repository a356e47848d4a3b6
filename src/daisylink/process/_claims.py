"""Claims on idempotency keys, made by a node before it runs a keyed request.

A request with a key runs only after a majority of the replicas of the key's shard
granted the claim. Without a majority it is refused and has certainly not run.
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
    """Time limits of claims.

    :param resend_interval: time after which a claim is sent again to the replicas
        that have not answered.
    :param timeout: time after which a claim without a majority is refused.
    """

    resend_interval: timedelta = timedelta(milliseconds=60)
    timeout: timedelta = timedelta(milliseconds=400)


@dataclass
class PendingClaim:
    """A claim that is waiting for a majority."""

    claim: Claim
    ticket: Any
    placement: ShardPlacement
    deadline: float
    resend_at: float
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    known: ClaimReply | None = None


class GrantedClaim(NamedTuple):
    """A granted claim whose request is running."""

    claim: Claim
    placement: ShardPlacement


class Claims:
    """Sends the claims of one node and decides them from the verdicts.

    :param own_node: name of the own node.
    :param replica_manager: provides the replicas of each shard.
    """

    def __init__(
        self,
        settings: ClaimSettings,
        own_node: str,
        replica_manager: ReplicaManager,
        rng: random.Random,
    ):
        self.resend_interval = settings.resend_interval.total_seconds()
        self.timeout = settings.timeout.total_seconds()
        self.own_node = own_node
        self.replica_manager = replica_manager
        self.rng = rng
        self.pending_claims: dict[int, PendingClaim] = {}
        self.granted_claims: dict[Any, GrantedClaim] = {}

    @property
    def wake_at(self) -> float:
        """Return when :meth:`tick` is due next."""
        return min(
            (
                min(item.resend_at, item.deadline)
                for item in self.pending_claims.values()
            ),
            default=float("inf"),
        )

    def request(self, ticket: Any, key: bytes, now: float) -> list[Send | ClaimDecided]:
        """Send a claim on a key to the replicas of its shard.

        :param ticket: opaque handle of the request, returned with the outcome.
        :param key: digest of the idempotency key.
        :returns: the claims to send, or a refusal if the shard has no replicas.
        """
        shard = find_shard(key)
        placement = self.replica_manager.find_placement(shard)
        if placement is None or not placement.keepers:
            return [self._refuse(ticket)]
        claim_id = self.rng.getrandbits(CLAIM_ID_BITS)
        claim = Claim(claim_id, self.own_node, shard, placement.epoch, key)
        self.pending_claims[claim_id] = PendingClaim(
            claim, ticket, placement, now + self.timeout, now + self.resend_interval
        )
        return [Send(replica.node, claim) for replica in placement.keepers]

    def handle_reply(self, reply: ClaimReply) -> list[Send | ClaimDecided]:
        """Record a replica's verdict, and decide the claim if possible."""
        item = self.pending_claims.get(reply.claim_id)
        if item is None:
            return []
        item.verdicts[reply.sender] = reply.verdict
        if reply.verdict is Verdict.KNOWN and (item.known is None or reply.done):
            item.known = reply
        return self._decide(item)

    def tick(self, now: float) -> list[Send | ClaimDecided]:
        """Resend the claims that are due, and end those past their deadline."""
        actions: list[Send | ClaimDecided] = []
        for item in list(self.pending_claims.values()):
            if now >= item.deadline:
                actions += self._end(item)
            elif now >= item.resend_at:
                item.resend_at = now + self.resend_interval
                for replica in item.placement.keepers:
                    if replica.node not in item.verdicts:
                        actions.append(Send(replica.node, item.claim))
        return actions

    def complete(
        self, ticket: Any, run_result: RunResult, response: bytes
    ) -> list[Send]:
        """Report a request's response to the replicas, or release the claim.

        Nothing is sent if it is unknown whether the request ran: the replicas keep the
        record, so that a resend does not run.
        """
        held = self.granted_claims.pop(ticket, None)
        if held is None or run_result is RunResult.UNKNOWN:
            return []
        released = run_result is RunResult.NOT_RUN
        return self._notify_replicas(held.claim, held.placement, response, released)

    def _decide(self, item: PendingClaim) -> list[Send | ClaimDecided]:
        verdicts = list(item.verdicts.values())
        needed = majority(item.placement)
        granted = verdicts.count(Verdict.GRANTED)
        if granted >= needed and item.known is None:
            del self.pending_claims[item.claim.claim_id]
            self.granted_claims[item.ticket] = GrantedClaim(item.claim, item.placement)
            return [ClaimDecided(item.ticket, ClaimGranted())]
        missing = len(item.placement.keepers) - len(verdicts)
        known_done = item.known is not None and item.known.done
        if known_done or granted + missing < needed or not missing:
            return self._end(item)
        return []

    def _end(self, item: PendingClaim) -> list[Send | ClaimDecided]:
        """End a claim that was not granted, and release the grants it did get."""
        del self.pending_claims[item.claim.claim_id]
        actions: list[Send | ClaimDecided] = []
        actions += self._notify_replicas(item.claim, item.placement, b"", released=True)
        if item.known is not None:
            known = ClaimKnown(item.known.done, item.known.answer)
            return [*actions, ClaimDecided(item.ticket, known)]
        return [*actions, self._refuse(item.ticket)]

    def _notify_replicas(
        self, claim: Claim, placement: ShardPlacement, response: bytes, released: bool
    ) -> list[Send]:
        completion = ClaimCompletion(
            claim.claim_id, claim.shard, claim.key, response, released
        )
        return [Send(replica.node, completion) for replica in placement.keepers]

    def _refuse(self, ticket: Any) -> ClaimDecided:
        refused = ClaimRefused(ResultCode.REQUEST_KEY_UNSETTLED, RETRY_MS)
        return ClaimDecided(ticket, refused)
