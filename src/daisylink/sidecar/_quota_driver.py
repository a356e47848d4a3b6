"""Connects the decisions on quotas to datagrams, timers, members and the store.

Without a tenant that has a limit, it sends no message and sets no timer.
"""

import asyncio
import random
from collections.abc import Callable, Container
from typing import Any

from daisylink.errors import PlatformError
from daisylink.logs import get_logger
from daisylink.quota import (
    FLEET_SIZE_KEY,
    SHARDS,
    CoordinatorDirectory,
    Decision,
    FleetSize,
    LimitTable,
    Loan,
    NodeQuota,
    Pool,
    QuotaAnswer,
    QuotaAsk,
    QuotaBounds,
    QuotaLend,
    QuotaLent,
    WriteFleetSize,
    find_shard,
    rank_coordinators,
)
from daisylink.registry import NO_REVISION, Item, MemberTable
from daisylink.sidecar._quota_gauges import add_quota_gauges
from daisylink.sidecar._quota_requests import QuotaRequests, QuotaTransport
from daisylink.version import Version

TICK_SECONDS = 0.1
FORGET_SECONDS = 60.0
# Refusals of a tenant are logged once in this time, with their number.
LOG_SECONDS = 1.0
PROCESS_BITS = 31

log = get_logger("quota")


class QuotaDriver:
    """The quotas at one node.

    :param unreachable: nodes that do not respond to requests.
    :param now: seconds of a clock that counts while the machine is suspended.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        members: MemberTable,
        unreachable: Container[str],
        transport: QuotaTransport,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self.members = members
        self.unreachable = unreachable
        self.transport = transport
        self.rng = rng
        self.now = now
        self.node = members.own_record.node
        zone = members.own_record.zone
        self.directory = CoordinatorDirectory(zone, unreachable, rng)
        self.limits = LimitTable(bounds)
        self.is_active = False
        started_at = now()
        self.fleet_size = FleetSize(started_at)
        self.share_size = 0
        self.node_quota = NodeQuota(rng, started_at)
        self.loans = [Loan(shard) for shard in range(SHARDS)]
        process = rng.getrandbits(PROCESS_BITS) | 1
        self.pools = [
            Pool(shard, process, self.limits.find, started_at)
            for shard in range(SHARDS)
        ]
        self.are_members_outdated = True
        self.timer: asyncio.TimerHandle | None = None
        self.forget_at = started_at + FORGET_SECONDS
        self.requests = QuotaRequests(
            self.node,
            self.limits,
            self.node_quota,
            self.loans,
            self.pools,
            self.directory,
            transport,
            rng,
            now,
        )
        self.refusals_logged_at = started_at

    # Events

    def set_version(self, version: Version) -> None:
        """Use the tenants of a version from now on."""
        tenants = version.tenants
        self.is_active = any(tenant.rate > 0 for tenant in tenants.by_name.values())

        def find_quota(name: str) -> tuple[float, float] | None:
            tenant = tenants.get(name)
            return None if tenant is None else (tenant.rate, tenant.burst)

        self.limits.set_tenants(find_quota)
        if self.is_active and self.timer is None:
            # Nodes that start at once do not renew their loans at once.
            delay = self.rng.uniform(0, TICK_SECONDS)
            self.timer = self.transport.call_later(delay, self.tick)

    def handle_members_change(self) -> None:
        """Rank the coordinators anew when next needed."""
        self.are_members_outdated = True

    def handle_fleet_size(self, item: Item) -> None:
        """Handle the fleet's size on the store."""
        self.fleet_size.handle_stored(item.value, item.revision)

    def handle_member_removed(self, node: str) -> None:
        """Handle a node that is no longer a member.

        A node that left is still in the table of members at this moment; one whose
        record expired is not.
        """
        if node in self.members.records:
            self.fleet_size.record_left(node)

    def check(self, tenant: str, on_decision: Callable[[Decision], None]) -> Decision:
        """Decide on a request of a tenant.

        :param on_decision: called later with the decision if the result is
            :class:`MustAsk`, unless :meth:`cancel` is called first. The decision is
            :class:`MustAsk` once more, with another number, if a coordinator of
            another zone is asked next.
        """
        if self.are_members_outdated:
            self._update_members()
        return self.requests.check(tenant, on_decision)

    def cancel(self, number: int) -> None:
        """Forget a request that waits for an answer."""
        self.requests.cancel(number)

    def close(self) -> None:
        """Cancel all timers."""
        if self.timer is not None:
            self.timer.cancel()
        for number in list(self.requests.pending):
            self.cancel(number)

    # Messages

    def handle_lend(self, message: QuotaLend, node: str) -> None:
        """Take a share that another node lends."""
        if 0 <= message.shard < SHARDS:
            reply = self.pools[message.shard].handle_lend(node, message, self.now())
            self._send(node, reply)

    def handle_lent(self, message: QuotaLent, node: str) -> None:
        """Handle a coordinator's reply to a loan."""
        if not 0 <= message.shard < SHARDS:
            return
        loan = self.loans[message.shard]
        now = self.now()
        was_lent = bool(loan.coordinator)
        messages = loan.handle_reply(node, message, self.share_size, now)
        if loan.coordinator and not was_lent:
            log.bind(shard=loan.shard, coordinator=node).info("share lent")
        self._update_share(loan, now)
        for target, lend in messages:
            self._send(target, lend)

    def handle_ask(self, message: QuotaAsk, node: str) -> None:
        """Decide on a request of another node."""
        pool = self.pools[find_shard(message.tenant)]
        self._send(node, pool.handle_ask(node, message, self.now()))

    # Shares

    def tick(self) -> None:
        """Lend and renew what is due, and log what was refused."""
        self.timer = None
        if not self.is_active:
            return
        self.timer = self.transport.call_later(TICK_SECONDS, self.tick)
        now = self.now()
        self._update_members()
        self._update_size(now)
        for loan in self.loans:
            previous = loan.coordinator
            ranking = self.directory.rank(self.directory.zone, loan.shard)
            messages = loan.tick(ranking, self.unreachable, self.share_size, now)
            if previous and not loan.coordinator:
                log.bind(shard=loan.shard, coordinator=previous).info("share is back")
            self._update_share(loan, now)
            for target, lend in messages:
                self._send(target, lend)
        if now >= self.refusals_logged_at + LOG_SECONDS:
            self._log_refusals(now)
        if now >= self.forget_at:
            self._forget(now)

    def _update_share(self, loan: Loan, now: float) -> None:
        is_lent = bool(loan.coordinator) or not self.fleet_size.may_use_lent_part(now)
        self.node_quota.set_share(loan.shard, self.share_size, is_lent, now)

    def _update_size(self, now: float) -> None:
        size = self.fleet_size.find_share_size(now)
        if size != self.share_size:
            log.bind(
                size=size,
                previous=self.share_size,
                stored=self.fleet_size.stored,
                members=len(self.members.records),
            ).info("fleet size changed")
            self.share_size = size
            self.requests.has_share = size > 0
        nodes = rank_coordinators(self.fleet_size.current, SHARDS)[:1]
        write = self.fleet_size.tick(now, self.node in nodes)
        if write is not None:
            self.transport.spawn(self._write(write))

    async def _write(self, write: WriteFleetSize) -> None:
        bound_log = log.bind(size=int(write.value), known=write.revision)
        try:
            await self.transport.store.compare_and_swap(
                FLEET_SIZE_KEY, write.value, write.revision or NO_REVISION
            )
        except PlatformError as error:
            bound_log.bind(code=int(error.code)).info(
                "fleet size not written: {}", error
            )
        else:
            bound_log.info("fleet size written")
        finally:
            self.fleet_size.handle_written()

    def _update_members(self) -> None:
        if not self.are_members_outdated:
            return
        self.are_members_outdated = False
        records = self.members.records.items()
        self.directory.set_members((node, record.zone) for node, record in records)
        self.fleet_size.set_members(self.members.records, self.now())

    def _send(self, node: str, message: Any) -> None:
        if node != self.node:
            self.transport.send(node, message)
            return
        match message:
            case QuotaLend():
                self.handle_lend(message, node)
            case QuotaLent():
                self.handle_lent(message, node)

    def _log_refusals(self, now: float) -> None:
        self.refusals_logged_at = now
        refusals = dict(self.requests.refusals)
        self.requests.refusals.clear()
        for tenant, count in refusals.items():
            limit = self.limits.find(tenant)
            loan = self.loans[find_shard(tenant)]
            log.bind(
                tenant=tenant,
                refused=count,
                rate=limit.rate if limit is not None else 0,
                size=self.share_size,
                shard=loan.shard,
                coordinator=loan.coordinator,
                unanswered=loan.unanswered,
            ).info("tenant is beyond its quota")

    def _forget(self, now: float) -> None:
        self.forget_at = now + FORGET_SECONDS
        self.node_quota.forget_idle(self.limits.find, now)
        for pool in self.pools:
            pool.forget_idle(now)
        self.directory.forget_silent(now)


def connect_quota(sidecar: Any) -> QuotaDriver:
    """Return the driver of a sidecar, connected to its datagrams and requests.

    :param sidecar: the :class:`~daisylink.sidecar._sidecar.Sidecar`.
    """
    settings = sidecar.settings
    datagrams = sidecar.datagrams
    driver = QuotaDriver(
        QuotaBounds(settings.quota_window, settings.quota_over, settings.quota_slack),
        sidecar.members,
        sidecar.balancer.reachability.unreachable,
        QuotaTransport(
            datagrams.send,
            sidecar.loop.call_later,
            lambda work: sidecar._spawn(work),
            sidecar.platform_adapter.store,
        ),
        sidecar.rng,
        sidecar.clock.boot,
    )
    datagrams.register(QuotaLend, driver.handle_lend)
    datagrams.register(QuotaLent, driver.handle_lent)
    datagrams.register(QuotaAsk, driver.handle_ask)
    datagrams.register(QuotaAnswer, driver.requests.handle_answer)
    sidecar.gateway.quota = driver
    add_quota_gauges(sidecar.metrics, driver)
    return driver
