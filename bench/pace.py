"""Compares ways of using what backend servers state of their momentary load.

Runs the real Placer, LoadBalancer and Admission on an event queue: 68 nodes in 3 zones,
36 servers of 5 slots beside the first of them, two kinds of requests, machines that are
slowed for 0.6 s, demand that swings over 15 s. Refused requests do not come back.
Usage: python -m bench.pace [seconds] [processes]
"""

import bisect
import heapq
import itertools
import math
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from bench.placement import Kind, Request
from daisylink.errors import ResultCode
from daisylink.registry import MemberSettings, MemberTable
from daisylink.request import Admitted, Queued, Refused
from daisylink.request._attempts import MAX_HOPS
from daisylink.serving import LoadBalancer, MemberRecord, ServerState
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.serving._placer import Placer
from daisylink.serving._server_health import ServerHealth
from daisylink.version import Priority

POOL = "p"
NODES, SERVERS, ZONES, SLOTS, QUEUE = 68, 36, 3, 5, 256
# Lasting speeds of the servers in turn, work a second in each slot.
SPEEDS = (0.55, 1.2)
# Part of the time in which a machine is slowed, for how long, and by which factor.
SLOWED_SHARE, SLOWED_SECONDS, SLOWNESS = 0.15, 0.6, 2.5
# Amplitude of the demand relative to its mean, and its period.
SWING, SWING_SECONDS = 0.55, 15.0
WARM_UP_SECONDS = 5.0
LOADS = (0.7, 0.85, 1.0, 1.2, 1.4)
# Arrivals for each server at load 1, at the mean rate of its work.
MEAN_RATE = sum(SPEEDS) / 2 * (1 - SLOWED_SHARE + SLOWED_SHARE / SLOWNESS)
PER_SERVER = SLOTS * MEAN_RATE
KINDS = (
    Kind("page", 0.6 * PER_SERVER / 0.3, 0.3, 0.5, 1.0, 2.0, Priority.NORMAL),
    Kind("call", 0.4 * PER_SERVER / 0.08, 0.08, 0.3, 0.3, 1.0, Priority.URGENT),
)


class Features(NamedTuple):
    """What the nodes do with the servers' figures.

    :param admits: the server's node admits by the present slowness.
    :param tells: it tells the other nodes the present slowness and its limit.
    :param asks: whether requests ask for a free slot first.
    """

    admits: bool = False
    tells: bool = False
    asks: bool = True


class Machine:
    """A server and the machine under it.

    :param speed: lasting speed of the server, work a second in each slot.
    :param seconds: time for which moments of slowness are drawn.
    """

    def __init__(self, speed, seconds, rng):
        self.speed = speed
        self.starts, self.slowed = [0.0], [False]
        gap = SLOWED_SECONDS * (1 - SLOWED_SHARE) / SLOWED_SHARE
        at = rng.random() * gap
        while at < seconds:
            self.starts += [at, at + SLOWED_SECONDS]
            self.slowed += [True, False]
            at += SLOWED_SECONDS + rng.expovariate(1 / gap)

    def get_slowness(self, now):
        index = bisect.bisect_right(self.starts, now) - 1
        return SLOWNESS if self.slowed[index] else 1.0

    def find_end(self, now, work):
        """Return when work ends that begins now."""
        index = bisect.bisect_right(self.starts, now) - 1
        while True:
            rate = self.speed / (SLOWNESS if self.slowed[index] else 1.0)
            index += 1
            until = self.starts[index] if index < len(self.starts) else math.inf
            if work <= (until - now) * rate:
                return now + work / rate
            work -= (until - now) * rate
            now = until


class Node:
    """A node, with or without a server beside it."""

    def __init__(self, record, records, rng):
        self.record = record
        members = MemberTable(MemberSettings(), record, lambda _: 0.0)
        for other in records:
            members.put(other)
        self.balancer = LoadBalancer(members, rng)
        self.placer = Placer(self.balancer)
        self.admission = Admission()
        self.health = ServerHealth(rng)
        self.machine = None
        self.asks = True
        if record.pool:
            self.admission.open(AdmissionLimits(SLOTS, 1200, QUEUE))


class Simulation:
    """The fleet under a swinging load."""

    def __init__(self, load, features, seconds, seed=1):
        self.features = features
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.load = load
        records = [
            MemberRecord(
                f"10.0.0.{number}:1",
                f"z{number % ZONES}",
                1,
                pool=POOL if number < SERVERS else "",
                server=ServerState.SERVING if number < SERVERS else ServerState.ABSENT,
                slots=SLOTS if number < SERVERS else 0,
            )
            for number in range(NODES)
        ]
        serving = records[:SERVERS]
        self.nodes = {
            record.node: Node(record, serving, self.rng) for record in records
        }
        self.entries = list(self.nodes.values())
        for number, node in enumerate(self.entries[:SERVERS]):
            speed = SPEEDS[number // ZONES % len(SPEEDS)]
            node.machine = Machine(
                speed, seconds + 10, random.Random(seed * 99 + number)
            )
        self.order = itertools.count()
        self.events = []
        self.asked = self.in_time = self.late = self.refused = 0
        self.waits = []

    def run(self):
        for index in range(len(KINDS)):
            self.push(0.0, "arrive", index)
        while self.events:
            now, _, event, item = heapq.heappop(self.events)
            if now <= self.seconds or event != "arrive":
                getattr(self, event)(item, now)
        return self

    def push(self, at, event, item):
        heapq.heappush(self.events, (at, next(self.order), event, item))

    def get_rate(self, kind, now):
        swing = 1 + SWING * math.sin(2 * math.pi * now / SWING_SECONDS)
        return kind.per_second * SERVERS * self.load * swing

    def arrive(self, index, now):
        kind = KINDS[index]
        at = now + self.rng.expovariate(self.get_rate(kind, now))
        self.push(at, "arrive", index)
        sigma = math.sqrt(math.log(1 + kind.spread**2))
        work = self.rng.lognormvariate(math.log(kind.seconds) - sigma**2 / 2, sigma)
        entry = self.rng.choice(self.entries)
        request = Request(kind, entry, now, work)
        request.search.may_ask = self.features.asks
        if self.is_counted(request):
            self.asked += 1
        self.send(request, now)

    def is_counted(self, request):
        return WARM_UP_SECONDS < request.arrived_at <= self.seconds

    def send(self, request, now):
        """Send a request on until it runs, waits or is given up."""
        while request.hops < MAX_HOPS:
            entry = request.entry
            if entry.machine is not None:
                self.report(request, entry, now)
            placement = entry.placer.place(request.plan, request.search, now)
            if placement is None:
                break
            request.hops += 1
            request.attempt += 1
            request.node = placement.record.node
            node = self.nodes[request.node]
            decision = self.admit(node, request, placement.may_wait, now)
            match decision:
                case Admitted():
                    if not placement.may_wait:
                        entry.placer.record_answer(POOL, declined=False)
                    entry.balancer.begin(request.node)
                    self.begin(request, now)
                    return
                case Queued(displaced, expires):
                    entry.balancer.begin(request.node)
                    self.push(expires, "expire", (request, request.attempt))
                    if displaced is not None:
                        self.send_on(displaced, now)
                    return
                case Refused(code):
                    self.report(request, node, now)
                    if code is ResultCode.REQUEST_NO_FREE_SLOT:
                        request.search.record_declined(placement.record)
                        entry.placer.record_answer(POOL, declined=True)
                    else:
                        request.search.record_tried(request.node)
        self.refused += self.is_counted(request)

    def admit(self, node, request, may_wait, now):
        if not may_wait and not node.health.may_try(now):
            return Refused(ResultCode.REQUEST_NO_FREE_SLOT)
        plan = request.plan
        return node.admission.try_admit(
            request,
            plan.priority,
            plan.deadline,
            now,
            plan.slo_deadline,
            plan.route,
            may_wait,
        )

    def begin(self, request, now):
        request.attempt += 1
        if self.is_counted(request):
            self.waits.append(now - request.arrived_at)
        end = self.nodes[request.node].machine.find_end(now, request.work)
        self.push(min(end, request.plan.deadline), "finish", (request, now))

    def send_on(self, request, now):
        """Send a request on that waited in vain."""
        request.attempt += 1
        request.entry.balancer.end(request.node)
        request.search.record_tried(request.node)
        self.send(request, now)

    def expire(self, item, now):
        request, attempt = item
        if request.attempt == attempt:
            self.nodes[request.node].admission.withdraw(request)
            self.send_on(request, now)

    def finish(self, item, now):
        request, began_at = item
        if self.is_counted(request):
            in_time = now <= request.plan.slo_deadline
            self.in_time += in_time
            self.late += not in_time
        node = self.nodes[request.node]
        if self.features.admits:
            node.admission.slowness.record(node.machine.get_slowness(now), now)
        admitted = node.admission.release(now - began_at, now, request.plan.route)
        self.report(request, node, now)
        request.entry.balancer.end(request.node)
        for other in admitted:
            self.begin(other, now)
        for other in node.admission.pop_expired():
            self.send_on(other, now)

    def report(self, request, node, now):
        """Tell the entry node of a request what the load header would."""
        admission = node.admission
        load = (admission.in_use + admission.queued) / admission.slots
        kind = request.plan.route
        seconds = admission.get_service_time(kind)
        times = request.entry.balancer.response_times
        times.record_report(node.record.node, load, now, seconds, kind)
        limit = admission.capacity if admission.is_limited else 0
        times.record_pace(node.record.node, limit=limit if self.features.tells else 0)
        slowness = admission.slowness
        if self.features.tells and slowness.is_known(now):
            times.record_slowness(node.record.node, slowness.last, slowness.at)

    def describe(self):
        """Return shares in time, refused and late, and the 90th percentile of waits."""
        waits = sorted(self.waits)
        p90 = waits[int(len(waits) * 0.9)] * 1000 if waits else 0.0
        shares = (self.in_time, self.refused, self.late)
        cells = [f"{share / self.asked:.3f}" for share in shares]
        return " / ".join(cells) + f" / {p90:.0f}"


CASES = {
    "without": Features(),
    "admits": Features(admits=True),
    "admits, tells": Features(admits=True, tells=True),
}


def run(job):
    """Return the description of a case."""
    load, name, seconds = job
    return Simulation(load, CASES[name], seconds).run().describe()


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 35.0
    processes = int(sys.argv[2]) if len(sys.argv) > 2 else 2
    print("In time / refused / late / 90th percentile of the waits in ms")
    print(f"| load | {' | '.join(CASES)} |")
    print("| --- " * (len(CASES) + 1) + "|")
    with ProcessPoolExecutor(processes) as executor:
        jobs = [(load, name, seconds) for load in LOADS for name in CASES]
        results = executor.map(run, jobs)
        for load in LOADS:
            cells = [next(results) for _ in CASES]
            print(f"| {load} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
