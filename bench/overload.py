"""Compares admission under overload and choice of servers with simpler methods.

Runs the real Admission and LoadBalancer on an event queue with random service times.
Usage: python -m bench.overload
"""

import heapq
import itertools
import random
import statistics
from collections import deque

from daisylink.process import MemberRecord, ServerState
from daisylink.process._directory import Directory
from daisylink.request import Admitted, Queued
from daisylink.serving._admission import Admission, AdmissionLimits
from daisylink.serving._load_balancer import LoadBalancer
from daisylink.version import Priority

SLOTS = 10
QUEUE = 20
SERVICE_SECONDS = 0.05
DEADLINE_SECONDS = 1.0
RUN_SECONDS = 60.0
LOADS = (0.8, 1.0, 2.0, 5.0)
MIX = ((Priority.URGENT, 0.1), (Priority.NORMAL, 0.6), (Priority.BULK, 0.3))
SERVERS = 10
ENTRIES = 30
SLOW_FACTOR = 4.0


class UnboundedQueue:
    """First-in, first-out queue without limit, deadlines or priorities."""

    def __init__(self):
        self.in_use = 0
        self.waiting = deque()

    def try_admit(self, ticket, _priority, _deadline, _now):
        if self.in_use < SLOTS:
            self.in_use += 1
            return Admitted()
        self.waiting.append(ticket)
        return Queued()

    def release(self, _seconds, _now):
        if self.waiting:
            return [self.waiting.popleft()]
        self.in_use -= 1
        return []


class OnePriority(Admission):
    """The real queue, with all requests at the same priority."""

    def try_admit(self, ticket, _priority, deadline, now):
        return super().try_admit(ticket, Priority.NORMAL, deadline, now)


class NewestFirst(Admission):
    """The real queue, with the newest request of a priority first."""

    def _pop_next(self, now):
        for priority in Priority:
            for waiting in reversed(self.queue.requests):
                if waiting.priority is priority:
                    self.queue.remove(waiting.ticket)
                    if waiting.deadline > now:
                        return waiting
        return None


def open_admission(kind):
    admission = kind()
    if isinstance(admission, Admission):
        admission.open(AdmissionLimits(SLOTS, 110, QUEUE))
    return admission


def run_admission(kind, load, seed=1):
    """Simulate one server.

    :param load: offered load, as a multiple of the server's capacity.
    :returns: goodput as a share of capacity, share of urgent requests served in time,
        and 99th percentile of their latency in milliseconds.
    """
    rng = random.Random(seed)
    admission = open_admission(kind)
    rate = load * SLOTS / SERVICE_SECONDS
    order = itertools.count()
    queue = []
    now = 0.0
    while now < RUN_SECONDS:
        now += rng.expovariate(rate)
        priority = rng.choices([p for p, _ in MIX], [w for _, w in MIX])[0]
        heapq.heappush(queue, (now, next(order), "arrive", (priority, now)))
    served = dict.fromkeys(Priority, 0)
    offered = dict.fromkeys(Priority, 0)
    urgent = []

    def begin(ticket, at):
        priority, arrived = ticket
        seconds = rng.expovariate(1 / SERVICE_SECONDS)
        expires_at = arrived + DEADLINE_SECONDS
        work = (
            seconds
            if at < expires_at
            else 0.0
            if kind is not UnboundedQueue
            else seconds
        )
        heapq.heappush(queue, (at + work, next(order), "finish", (ticket, work)))

    while queue:
        now, _, event, item = heapq.heappop(queue)
        if event == "arrive":
            priority, arrived = item
            offered[priority] += 1
            deadline = arrived + DEADLINE_SECONDS
            if isinstance(admission.try_admit(item, priority, deadline, now), Admitted):
                begin(item, now)
            continue
        ticket, work = item
        priority, arrived = ticket
        if now - arrived <= DEADLINE_SECONDS and work:
            served[priority] += 1
            if priority is Priority.URGENT:
                urgent.append(now - arrived)
        for waiting in admission.release(work, now):
            begin(waiting, now)
    capacity = RUN_SECONDS * SLOTS / SERVICE_SECONDS
    p99 = statistics.quantiles(urgent, n=100)[98] * 1000 if len(urgent) > 1 else 0.0
    return (
        sum(served.values()) / capacity,
        served[Priority.URGENT] / max(1, offered[Priority.URGENT]),
        p99,
    )


class Entry:
    """An entry node that chooses a server for each request.

    :param kind: name of the method of choice.
    """

    def __init__(self, kind, records, seed):
        self.kind = kind
        self.rng = random.Random(seed)
        own_record = MemberRecord(f"10.9.{seed >> 8}.{seed & 255}:1", "z", 1)
        directory = Directory(own_record)
        for record in records:
            directory.merge(record, 0.0)
        self.records = records
        self.balancer = LoadBalancer(directory, self.rng)
        self.next_index = itertools.count(seed)

    def choose(self, now):
        counts = self.balancer.in_flight
        match self.kind:
            case "random":
                return self.rng.choice(self.records)
            case "round robin":
                return self.records[next(self.next_index) % len(self.records)]
            case "least in flight":
                min_in_flight = min(counts.get(r.node, 0) for r in self.records)
                candidates = [
                    r for r in self.records if counts.get(r.node, 0) == min_in_flight
                ]
                return self.rng.choice(candidates)
            case _:
                return self.balancer.choose("p", (), SLOTS, now)


def run_choice(kind, load, seed=1):
    """Simulate several servers, one of them slow.

    :param kind: name of the method of choice.
    :returns: 50th and 99th percentile of latency in ms, and the share refused.
    """
    rng = random.Random(seed)
    records = [
        MemberRecord(f"10.0.0.{n}:1", "z", 1, pool="p", server=ServerState.SERVING)
        for n in range(SERVERS)
    ]
    servers = {record.node: open_admission(Admission) for record in records}
    entries = [Entry(kind, records, n) for n in range(ENTRIES)]
    rate = load * SERVERS * SLOTS / SERVICE_SECONDS
    order = itertools.count()
    queue = [(0.0, next(order), "arrive", None)]
    latencies, refused, arrivals = [], 0, 0

    def begin(ticket, at):
        _, entry, node = ticket
        mean = SERVICE_SECONDS * (SLOW_FACTOR if node == records[0].node else 1)
        seconds = rng.expovariate(1 / mean)
        heapq.heappush(queue, (at + seconds, next(order), "finish", (ticket, seconds)))

    while queue:
        now, _, event, item = heapq.heappop(queue)
        if event == "arrive":
            if now < RUN_SECONDS / 2:
                arrival = now + rng.expovariate(rate)
                heapq.heappush(queue, (arrival, next(order), "arrive", None))
            arrivals += 1
            entry = rng.choice(entries)
            node = entry.choose(now).node
            ticket = (now, entry, node)
            entry.balancer.begin(node)
            server = servers[node]
            decision = server.try_admit(
                ticket, Priority.NORMAL, now + DEADLINE_SECONDS, now
            )
            if isinstance(decision, Admitted):
                begin(ticket, now)
            elif not isinstance(decision, Queued):
                refused += 1
                entry.balancer.end(node)
            continue
        ticket, seconds = item
        started, entry, node = ticket
        latencies.append(now - started)
        server = servers[node]
        entry.balancer.end(node)
        entry.balancer.response_times.record_report(
            node, (server.in_use + server.queued) / SLOTS, now, server.service_time, ""
        )
        for waiting in server.release(seconds, now):
            begin(waiting, now)
    cuts = statistics.quantiles(latencies, n=100)
    return cuts[49] * 1000, cuts[98] * 1000, refused / arrivals


def main():
    print(f"one server of {SLOTS} slots, {SERVICE_SECONDS * 1000:g} ms, deadline 1 s")
    print("| queue | load | goodput / capacity | urgent served | urgent p99 ms |")
    print("| --- | --- | --- | --- | --- |")
    methods = (
        ("unbounded, oldest first", UnboundedQueue),
        ("bounded, one priority", OnePriority),
        ("bounded, newest first", NewestFirst),
        ("bounded, oldest first, by priority (ours)", Admission),
    )
    for load in LOADS:
        for name, kind in methods:
            goodput, urgent, p99 = run_admission(kind, load)
            print(f"| {name} | {load} | {goodput:.2f} | {urgent:.3f} | {p99:.0f} |")
    print()
    print(f"{SERVERS} servers, one {SLOW_FACTOR:g} times slower, {ENTRIES} entry nodes")
    print("| choice | load | p50 ms | p99 ms | refused |")
    print("| --- | --- | --- | --- | --- |")
    for load in (0.5, 0.8):
        for kind in (
            "random",
            "round robin",
            "least in flight",
            "fewest from here, then by report (ours)",
        ):
            p50, p99, refused = run_choice(kind, load)
            print(f"| {kind} | {load} | {p50:.0f} | {p99:.0f} | {refused:.4f} |")


if __name__ == "__main__":
    main()
