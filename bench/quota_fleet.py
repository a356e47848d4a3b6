"""A fleet's quotas in simulated time: real drivers, simulated datagrams and store.

Datagrams are delayed and lost, nodes are killed and started, zones are cut off. The
members that a node knows follow the store with a delay, as in a running fleet.
"""

import heapq
import random
from collections import defaultdict
from itertools import count
from types import SimpleNamespace

from daisylink.errors import PlatformError, ResultCode
from daisylink.quota import (
    FLEET_SIZE_KEY,
    Admitted,
    QuotaAnswer,
    QuotaAsk,
    QuotaBounds,
    QuotaLend,
    QuotaLent,
)
from daisylink.registry import NO_REVISION, Item, StoreRevision
from daisylink.sidecar._quota_driver import QuotaDriver
from daisylink.sidecar._quota_requests import QuotaTransport
from daisylink.version import Tenant, TenantTable

# Least delay of a datagram in a zone and between zones, in seconds; twice that at most.
ZONE_DELAY = 0.0005
CROSS_DELAY = 0.001
# Time until a node learns of a change on the store.
WATCH_SECONDS = (0.1, 0.8)
# Time until the record of a killed or cut-off node expires.
EXPIRY_SECONDS = 3.0


def make_tenants(number=82, largest=278.0):
    """Return tenants whose sizes are 1/rank^1.2, with a burst of 1 s of the rate."""
    rates = [largest / rank**1.2 for rank in range(1, number + 1)]
    return [Tenant(f"t{rank}", None, rate, rate) for rank, rate in enumerate(rates)]


class Handle:
    """A timer of the simulation."""

    def __init__(self):
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class Machine:
    """One node."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.is_up = False
        self.is_frozen = False
        self.held = []
        self.driver = None
        self.starts = 0

    def start(self, members=()):
        """Start the process, which knows the members that the store has."""
        fleet = self.fleet
        self.is_up = True
        self.starts += 1
        start = self.starts
        own = SimpleNamespace(node=self.name, zone=self.zone)
        records = {self.name: own}
        for name in sorted(members):
            zone = fleet.machines[name].zone
            records[name] = SimpleNamespace(node=name, zone=zone)
        table = SimpleNamespace(own_record=own, records=records)
        transport = QuotaTransport(
            lambda node, message: fleet.send(self, node, message),
            self._call_later,
            fleet.run_task,
            SimpleNamespace(compare_and_swap=self._compare_and_swap),
        )
        self.driver = QuotaDriver(
            fleet.bounds,
            table,
            set(),
            transport,
            random.Random(f"{fleet.seed}/{self.name}/{start}"),
            lambda: fleet.now,
        )
        if fleet.stored is not None:
            self.driver.handle_fleet_size(fleet.stored)
        self.driver.set_version(fleet.version)

    def kill(self):
        self.is_up = False
        self.driver.close()

    def receive(self, message, sender):
        """Handle a datagram; a frozen process handles it when it continues."""
        if self.is_frozen:
            self.held.append((message, sender))
            return
        driver = self.driver
        handlers = {
            QuotaLend: driver.handle_lend,
            QuotaLent: driver.handle_lent,
            QuotaAsk: driver.handle_ask,
            QuotaAnswer: driver.requests.handle_answer,
        }
        handlers[type(message)](message, sender)

    def thaw(self):
        self.is_frozen = False
        held, self.held = self.held, []
        for item in held:
            if isinstance(item[0], int):
                self._run(*item)
            else:
                self.receive(*item)

    def _call_later(self, delay, call, *args):
        start = self.starts
        handle = self.fleet.call_later(
            delay, lambda: self._run(start, handle, call, args)
        )
        return handle

    def _run(self, start, handle, call, args):
        if start != self.starts or not self.is_up or handle.is_cancelled:
            return
        if self.is_frozen:
            self.held.append((start, handle, call, args))
            return
        call(*args)

    async def _compare_and_swap(self, key, value, revision):
        fleet = self.fleet
        if not fleet.has_store(self):
            raise PlatformError("store unavailable")
        known = fleet.stored.revision if fleet.stored is not None else NO_REVISION
        if revision != known:
            raise PlatformError("changed", ResultCode.PLATFORM_CONFLICT)
        fleet.store_writes += 1
        fleet.stored = Item(key, value, StoreRevision(1, known.number + 1))
        fleet.announce_size()
        return fleet.stored.revision


class QuotaFleet:
    """The fleet.

    :param zones: nodes of each zone.
    :param loss: share of datagrams that are lost.
    :param stored: fleet size on the store, 0 for none.
    """

    def __init__(self, tenants, zones, seed=1, loss=0.01, stored=0):
        self.rng = random.Random(seed)
        self.seed = seed
        self.bounds = QuotaBounds()
        self.tenants = {tenant.name: tenant for tenant in tenants}
        table = TenantTable.from_keys((tenant, ()) for tenant in tenants)
        self.version = SimpleNamespace(tenants=table)
        self.loss = loss
        self.now = 0.0
        self.events = []
        self.order = count()
        self.machines = {}
        self.members = set()
        self.cut = set()
        self.has_any_store = True
        self.sent = defaultdict(int)
        self.store_writes = 0
        self.stored = None
        if stored:
            value = str(stored).encode()
            self.stored = Item(FLEET_SIZE_KEY, value, StoreRevision(1, 1))
        self.arrivals = defaultdict(list)
        self.admitted = defaultdict(list)
        self.asks = defaultdict(int)
        for zone, number in zones.items():
            for index in range(number):
                self.add_machine(f"{zone}{index}:7", zone)

    # Time

    def call_later(self, delay, call):
        handle = Handle()
        event = (self.now + delay, next(self.order), handle, call)
        heapq.heappush(self.events, event)
        return handle

    def run(self, until):
        """Run what is due until a moment."""
        while self.events and self.events[0][0] <= until:
            self.now, _, handle, call = heapq.heappop(self.events)
            if not handle.is_cancelled:
                call()
        self.now = until

    def run_task(self, work):
        """Run a task that never waits."""
        try:
            work.send(None)
        except StopIteration:
            return
        raise RuntimeError("a task waits")

    # Nodes, members and the store

    def add_machine(self, name, zone):
        self.machines[name] = Machine(self, name, zone)
        return self.machines[name]

    def start_all(self):
        """Start all machines, which know each other."""
        self.members.update(self.machines)
        for machine in self.machines.values():
            machine.start(self.members)

    def start(self, machine):
        """Start a machine; the others learn of it by the store."""
        self.members.add(machine.name)
        machine.start(self.members)
        self._announce(machine.name, True)

    def kill(self, machine):
        machine.kill()
        start = machine.starts
        self.call_later(EXPIRY_SECONDS, lambda: self._expire(machine, start))

    def cut_off(self, zone):
        """Cut a zone off from the others and from the store."""
        self.cut.add(zone)
        for machine in self.machines.values():
            if machine.zone == zone:
                start = machine.starts
                self.call_later(
                    EXPIRY_SECONDS,
                    lambda m=machine, s=start: zone in self.cut and self._drop(m, s),
                )

    def rejoin(self, zone):
        self.cut.discard(zone)
        for machine in self.machines.values():
            if machine.zone == zone and machine.is_up:
                self.members.add(machine.name)
                self._announce(machine.name, True)

    def has_store(self, machine):
        return self.has_any_store and machine.zone not in self.cut

    def announce_size(self):
        item = self.stored
        for machine in self.machines.values():
            delay = self.rng.uniform(*WATCH_SECONDS)
            self.call_later(delay, lambda m=machine: self._learn_size(m, item))

    def _learn_size(self, machine, item):
        if machine.is_up and self.has_store(machine):
            machine.driver.handle_fleet_size(item)

    def _expire(self, machine, start):
        if not machine.is_up:
            self._drop(machine, start)

    def _drop(self, machine, start):
        if machine.starts == start:
            self.members.discard(machine.name)
            self._announce(machine.name, False)

    def _announce(self, name, is_member):
        for machine in self.machines.values():
            delay = self.rng.uniform(*WATCH_SECONDS)
            self.call_later(delay, lambda m=machine: self._learn(m, name, is_member))

    def _learn(self, machine, name, is_member):
        if not machine.is_up or not self.has_store(machine) or name == machine.name:
            return
        records = machine.driver.members.records
        if is_member:
            zone = self.machines[name].zone
            records[name] = SimpleNamespace(node=name, zone=zone)
        else:
            records.pop(name, None)
        machine.driver.handle_members_change()

    # Datagrams

    def send(self, machine, node, message):
        self.sent[type(message).__name__] += 1
        if isinstance(message, QuotaAsk):
            self.asks[message.tenant] += 1
        target = self.machines.get(node)
        is_cut = (machine.zone in self.cut) != (target.zone in self.cut)
        if is_cut or self.rng.random() < self.loss:
            return
        delay = ZONE_DELAY if machine.zone == target.zone else CROSS_DELAY
        start = target.starts

        def arrive():
            if target.is_up and target.starts >= start:
                target.receive(message, machine.name)

        self.call_later(delay * self.rng.uniform(1, 2), arrive)

    # Requests

    def offer(self, tenant, machine):
        """Let a request enter at a node."""
        if not machine.is_up or machine.is_frozen:
            return
        self.arrivals[tenant].append(self.now)
        decision = machine.driver.check(
            tenant, lambda later: self._record(tenant, later)
        )
        self._record(tenant, decision)

    def _record(self, tenant, decision):
        if isinstance(decision, Admitted):
            self.admitted[tenant].append(self.now)

    def load(self, choose_rate, choose_zone, start, end):
        """Schedule Poisson arrivals.

        :param choose_rate: returns requests a second of a tenant.
        :param choose_zone: returns the weights of the zones at a moment.
        """
        for name, tenant in self.tenants.items():
            rate = choose_rate(tenant)
            at = start
            while rate > 0:
                at += self.rng.expovariate(rate)
                if at >= end:
                    break
                self.call_later(
                    at - self.now, lambda n=name: self._enter(n, choose_zone)
                )

    def _enter(self, tenant, choose_zone):
        weights = choose_zone(self.now)
        zone = self.rng.choices(list(weights), list(weights.values()))[0]
        up = [m for m in self.by_zone(zone) if m.is_up]
        if not up:
            up = [m for m in self.machines.values() if m.is_up]
        if up:
            self.offer(tenant, self.rng.choice(up))

    def by_zone(self, zone):
        return [m for m in self.machines.values() if m.zone == zone]


def find_bound(tenant, bounds):
    """Return the most requests that may run in a window."""
    allowed = tenant.rate * bounds.window.total_seconds() + tenant.burst
    return allowed * (1 + bounds.over) + bounds.slack


def find_highest(times, window):
    """Return the highest count in any window."""
    highest = first = 0
    for index, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        highest = max(highest, index - first + 1)
    return highest


def count_owed(tenant, arrivals, start, end):
    """Return how many of the arrivals in a span one exact token bucket admits."""
    tokens, at, owed = tenant.burst, 0.0, 0
    for moment in arrivals:
        grown = tokens + (moment - at) * tenant.rate
        tokens, at = min(max(tenant.burst, 1.0), grown), moment
        if tokens >= 1:
            tokens -= 1
            owed += start <= moment < end
    return owed
