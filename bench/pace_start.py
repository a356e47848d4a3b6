"""Compares limits on the concurrency of servers that have just started.

Uses the fleet of :mod:`bench.pace` at a steady load of 0.85. The figures are those of
the requests that arrive in the 5 s after the start.
Usage: python -m bench.pace_start [processes]
"""

import random
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from bench.pace import SERVERS, SLOTS, Features, Machine, Simulation
from daisylink.serving._concurrency_limit import ConcurrencyLimit, ServerOutcome

START_AT = 8.0
OBSERVED_SECONDS = 5.0
COLD_SECONDS = 3.0
REJECT_SECONDS = 0.01
LOAD = 0.85
SEEDS = (1, 2)


class FromOne(ConcurrencyLimit):
    """Begins at 1 after a start, then the rule of :class:`ConcurrencyLimit`."""

    def restart(self, _now):
        self.value = 1.0


class Reactive(ConcurrencyLimit):
    """The rule of :class:`ConcurrencyLimit`: no limit before the first failure."""

    def restart(self, now):
        self.reset(now)


class Doubling(FromOne):
    """Begins at 1 and doubles each round until the first failure."""

    def __init__(self):
        super().__init__()
        self.has_failed = False

    def record(self, outcome, running, now, many_fail=True):
        is_answered = outcome is ServerOutcome.ANSWERED
        self.has_failed = self.has_failed or not is_answered
        if not self.has_failed:
            self.value += 1
        else:
            super().record(outcome, running, now, many_fail)


class Unlimited:
    """No limit."""

    value = float("inf")

    def restart(self, _now):
        pass

    def get(self, slots):
        return slots

    def record(self, outcome, running, now, many_fail=True):
        pass


class Ramp(Unlimited):
    """Grows from 1 to all slots in :data:`COLD_SECONDS`, whatever the responses."""

    now = staticmethod(lambda: 0.0)

    def restart(self, now):
        self.started_at = now

    def get(self, slots):
        if not hasattr(self, "started_at"):
            return slots
        age = self.now() - self.started_at
        return max(1, min(slots, round(1 + (slots - 1) * age / COLD_SECONDS)))


class Gradient(Unlimited):
    """The limit times usual time over present time, plus one, smoothed.

    ``ratio`` is the present time over the usual one, corrected by the slowness.
    """

    def restart(self, _now):
        self.value = 1.0

    def get(self, slots):
        return slots if self.value >= slots else int(self.value)

    def record(self, outcome, running, now, _many_fail=True, ratio=1.0):
        if self.value == float("inf"):
            self.value = float(SLOTS)
        gradient = max(0.5, min(1.0, 1 / max(ratio, 0.01)))
        if outcome is not ServerOutcome.ANSWERED:
            gradient = 0.5
        target = self.value * gradient + 1
        self.value = max(1.0, min(SLOTS, self.value + 0.2 * (target - self.value)))


class Scenario(NamedTuple):
    """What happens to some servers at :data:`START_AT`.

    :param servers: number of servers that start.
    :param factor: how much longer work takes there while they are cold.
    :param floods: whether they reject or fail what exceeds their present ability.
    :param reject_share: part of that which they reject, the rest fails.
    :param every: seconds after which they start again, 0 for once.
    :param node_only: whether the node starts again and the server does not.
    :param speeds: lasting speeds of the starting servers.
    :param fault_share: requests that fail at all servers for reasons of their own.
    """

    servers: int = 9
    factor: float = 1.0
    floods: bool = False
    reject_share: float = 0.5
    every: float = 0.0
    node_only: bool = False
    speeds: tuple[float, ...] = ()
    fault_share: float = 0.0


SCENARIOS = {
    "cold, 2 times slower": Scenario(factor=2.0),
    "fails when flooded": Scenario(floods=True),
    "the same, rejects none": Scenario(floods=True, reject_share=0.0),
    "slower and flooded": Scenario(factor=2.0, floods=True),
    "slow for good": Scenario(speeds=(1.6, 0.5)),
    "flaps every 1.7 s": Scenario(servers=4, factor=2.0, floods=True, every=1.7),
    "all cold": Scenario(servers=SERVERS, factor=2.0),
    "all cold, flooded": Scenario(servers=SERVERS, factor=2.0, floods=True),
    "node restarted": Scenario(node_only=True),
    "a third fails anyway": Scenario(node_only=True, fault_share=0.35),
    "a tenth fails anyway": Scenario(node_only=True, fault_share=0.1),
}
LIMITS = {
    "none": Unlimited,
    "ramp": Ramp,
    "gradient": Gradient,
    "from 1": FromOne,
    "doubling": Doubling,
    "reactive": Reactive,
}


class ColdMachine(Machine):
    """A machine whose server starts, with what it can run at once after that."""

    started_at = float("inf")
    scenario = Scenario()

    def find_end(self, now, work):
        cold = self.started_at <= now < self.started_at + COLD_SECONDS
        return super().find_end(now, work * (self.scenario.factor if cold else 1.0))

    def can_run(self, now):
        age = now - self.started_at
        if age < 0 or not self.scenario.floods:
            return SLOTS
        return min(SLOTS, 1 + (SLOTS - 1) * age / COLD_SECONDS)


class StartSimulation(Simulation):
    """A fleet in which some servers start."""

    def __init__(self, scenario, limit, seed):
        features = Features(admits=True, tells=True)
        super().__init__(LOAD, features, START_AT + OBSERVED_SECONDS, seed)
        self.scenario = scenario
        self.failed = 0
        self.now = 0.0
        self.flood_rng = random.Random(seed)
        for number, node in enumerate(self.entries[:SERVERS]):
            node.machine.__class__ = ColdMachine
            node.admission.concurrency = limit()
            node.admission.concurrency.now = lambda: self.now
            if number < scenario.servers and scenario.speeds:
                node.machine.speed = scenario.speeds[number % len(scenario.speeds)]
        self.push(START_AT, "start", None)

    def get_rate(self, kind, now):
        self.now = now
        return kind.per_second * SERVERS * self.load

    def is_counted(self, request):
        return START_AT < request.arrived_at <= self.seconds

    def start(self, _item, now):
        scenario = self.scenario
        for node in self.entries[: scenario.servers]:
            if not scenario.node_only:
                node.machine.scenario = scenario
                node.machine.started_at = now
            admission = node.admission
            admission.service_times.clear()
            admission.measured_at.clear()
            admission.service_time = 0.0
            admission.concurrency.restart(now)
        if scenario.every and now + scenario.every < self.seconds:
            self.push(now + scenario.every, "start", None)

    def find_fault_share(self, now):
        return self.scenario.fault_share if now >= START_AT else 0.0

    def begin(self, request, now):
        self.now = now
        node = self.nodes[request.node]
        unrelated = self.flood_rng.random() < self.find_fault_share(now)
        if node.admission.in_use <= node.machine.can_run(now) and not unrelated:
            super().begin(request, now)
            return
        request.attempt += 1
        if node.admission.in_use <= node.machine.can_run(now):
            self.push(now + request.work, "fail", (request, now, False))
            return
        rejects = self.flood_rng.random() < self.scenario.reject_share
        self.push(now + REJECT_SECONDS, "fail", (request, now, rejects))

    def fail(self, item, now):
        """The server rejects a request, which goes elsewhere, or fails it."""
        request, began_at, rejects = item
        self.now = now
        node = self.nodes[request.node]
        node.health.record(True, now)
        outcome = ServerOutcome.REJECTED if rejects else ServerOutcome.FAILED
        unwell = node.health.is_unwell(now)
        node.admission.concurrency.record(outcome, node.admission.in_use, now, unwell)
        admitted = node.admission.release(
            now - began_at, now, request.plan.route, has_run=not rejects
        )
        self.report(request, node, now)
        if rejects:
            self.send_on(request, now)
        else:
            request.entry.balancer.end(request.node)
            self.failed += self.is_counted(request)
        for other in admitted:
            self.begin(other, now)
        for other in node.admission.pop_expired():
            self.send_on(other, now)

    def finish(self, item, now):
        request, began_at = item
        self.now = now
        node = self.nodes[request.node]
        node.health.record(False, now)
        concurrency = node.admission.concurrency
        if isinstance(concurrency, Gradient):
            times = request.entry.balancer.response_times
            usual = times.usual_seconds.get(request.plan.route, now - began_at)
            slowness = node.admission.slowness.average(began_at, now)
            ratio = (now - began_at) / usual / slowness
            concurrency.record(
                ServerOutcome.ANSWERED, node.admission.in_use, now, ratio=ratio
            )
        else:
            concurrency.record(ServerOutcome.ANSWERED, node.admission.in_use, now)
        super().finish(item, now)


def run(job):
    """Return the mean shares in time, failed and refused of a case."""
    name, limit = job
    totals = [0.0, 0.0, 0.0]
    for seed in SEEDS:
        done = StartSimulation(SCENARIOS[name], LIMITS[limit], seed).run()
        shares = (done.in_time, done.failed, done.refused)
        totals = [
            total + share / done.asked / len(SEEDS)
            for total, share in zip(totals, shares, strict=True)
        ]
    return " / ".join(f"{total:.3f}" for total in totals)


def main():
    processes = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    print("In time / failed / refused")
    print(f"| start | {' | '.join(LIMITS)} |")
    print("| --- " * (len(LIMITS) + 1) + "|")
    with ProcessPoolExecutor(processes) as executor:
        jobs = [(name, limit) for name in SCENARIOS for limit in LIMITS]
        results = executor.map(run, jobs)
        for name in SCENARIOS:
            cells = [next(results) for _ in LIMITS]
            print(f"| {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
