"""Rollouts decided by the real objects in a simulated service, without a network.

    python -m bench.rollout_drill --seeds 20

Twenty-four servers of each version, 350 requests a second of five kinds, and a time
limit of 12 s. Nodes learn the state 0.1 to 1.0 s after it is written; a part of the
datagrams is lost; the controller may be killed. Prints for each scenario how many of
the seeds ended as they must, and the exposure of the bad ones.
"""

import argparse
import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

import msgspec

from bench.rollout_scenarios import BAD, GOOD, SERVERS
from daisylink.rollout import (
    EvidenceReply,
    EvidenceReport,
    RolloutOrder,
    RolloutTable,
    ServerView,
    ServiceRollout,
    Step,
    VersionGate,
    begin_state,
)

SERVICE = "s"
SLOTS = 4
RATE = 350.0
DEADLINE_SECONDS = 2.0
# Name, share of the requests and mean run time in seconds; 53 of 96 slots are in use.
KINDS = (
    ("a", 0.55, 0.08),
    ("b", 0.25, 0.15),
    ("c", 0.15, 0.3),
    ("d", 0.03, 0.5),
    ("e", 0.02, 0.2),
)
REPORT_SECONDS = 0.3
TICK_SECONDS = 0.1
WRITE_SECONDS = 0.06
LEARN_SECONDS = (0.1, 1.0)
TAKEOVER_SECONDS = 3.6
ORDER_AT = 2.0
MAX_HOPS = 5
ROLLBACK_SECONDS = 5.0


@dataclass
class Server:
    """A server and the node beside it.

    :param slowness: factor of the run times.
    :param is_grey: whether it is one of the old servers that fail or are slow.
    """

    name: str
    version: str
    slowness: float
    starts_at: float
    gate: VersionGate
    table: RolloutTable
    is_grey: bool = False
    running: int = 0
    revision: int = 0

    def __post_init__(self):
        # Kind, run time in seconds and deadline of each waiting request.
        self.queue = []


class Drill:
    """One run."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.servers = {}
        spread = scenario.speed_spread
        for index in range(SERVERS):
            self._add(f"o{index}", "v1", 0.0, spread, is_grey=index < SERVERS // 10)
        for index in range(scenario.started):
            start = 1.0 + scenario.start_spread * index / SERVERS
            self._add(f"n{index}", "v2", ORDER_AT + start, spread)
        self.state = None
        self.revision = 0
        self.rollout = None
        self.write_pending = False
        self.counts = Counter()
        self.bad_times = []
        self.new_times = []
        self.ended_at = None
        self.limit_at = ORDER_AT + scenario.duration
        self.in_flight_at_end = 0

    def _add(self, name, version, starts_at, spread, is_grey=False):
        slowness = spread ** self.rng.uniform(-0.5, 0.5)
        table = RolloutTable(self.rng)
        gate = VersionGate(name, table, lambda: self.now)
        server = Server(name, version, slowness, starts_at, gate, table, is_grey)
        self.servers[name] = server

    def at(self, time, call, *args):
        heapq.heappush(self.events, (time, next(self.numbers), call, args))

    def run(self):
        self.at(0.0, self.arrive)
        self.at(ORDER_AT, self.order)
        self.at(ORDER_AT + self.scenario.kill_at, self.kill)
        for server in self.servers.values():
            self.at(server.starts_at, self.begin_server, server)
        while self.events and self.now < self.limit_at + 3.0:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    # Traffic

    def arrive(self):
        self.at(self.now + self.rng.expovariate(RATE * self.scenario.load), self.arrive)
        shares = [share for _, share, _ in KINDS]
        kind, _, seconds = self.rng.choices(KINDS, shares)[0]
        if ORDER_AT <= self.now < self.limit_at:
            self.counts["requests"] += 1
        alive = [item for item in self.servers.values() if item.starts_at <= self.now]
        self.send(self.rng.choice(alive), kind, seconds, self.now + DEADLINE_SECONDS, 0)

    def send(self, entry, kind, seconds, deadline, hops, tried=()):
        if hops >= MAX_HOPS:
            self.counts["refused"] += 1
            return
        side = entry.table.draw_side(SERVICE, kind, is_retry=hops > 0)
        server = self.choose(entry, side, tried)
        if server is None:
            other = entry.table.find_other_side(SERVICE, side)
            server = self.choose(entry, other, tried) if other else None
        if server is None:
            self.counts["refused"] += 1
            return
        if not server.gate.try_admit():
            self.counts["held"] += 1
            tried = (*tried, server.name)
            self.send(entry, kind, seconds, deadline, hops + 1, tried)
            return
        if server.running < SLOTS:
            self.start(server, kind, seconds, deadline)
        elif len(server.queue) < 3 * SLOTS:
            server.queue.append((kind, seconds, deadline))
        else:
            self.counts["overloaded"] += 1

    def choose(self, entry, side, tried):
        found = [
            item
            for item in self.servers.values()
            if item.starts_at <= self.now
            and item.name not in tried
            and entry.table.is_candidate(SERVICE, side, item.name, item.version)
            and not item.gate.holds_back({"v1"}, 0.0)
        ]
        if not found:
            return None
        drawn = self.rng.sample(found, min(2, len(found)))
        return min(drawn, key=lambda item: item.running + len(item.queue))

    def start(self, server, kind, seconds, deadline):
        server.running += 1
        if server.version == "v2":
            self.new_times.append(self.now)
        seconds *= server.slowness * self.rng.lognormvariate(-0.06, 0.35)
        failed, slower, is_bad = self.find_fault(server, kind)
        seconds *= slower
        left = deadline - self.now
        given_up = seconds > left
        end = self.now + min(seconds, left)
        self.at(end, self.end, server, kind, failed, given_up, self.now, is_bad)

    def find_fault(self, server, kind):
        scenario = self.scenario
        if server.version == "v1":
            if server.is_grey and scenario.grey == "fail":
                return self.rng.random() < 0.4, 1.0, False
            slower = self.rng.uniform(4, 8) if server.is_grey else 1.0
            return False, slower if scenario.grey == "slow" else 1.0, False
        is_bad = (
            scenario.bad
            and self.now >= server.starts_at + scenario.onset
            and scenario.bad_kind in ("", kind)
            and (not scenario.only_loaded or server.running >= SLOTS * 0.75)
            and self.rng.random() < scenario.bad_share
        )
        if not is_bad:
            return False, 1.0, False
        return scenario.bad == "fail", 1.0 if scenario.bad == "fail" else 8.0, True

    def end(self, server, kind, failed, given_up, started, is_bad):
        server.running -= 1
        if is_bad:
            self.bad_times.append(self.now)
        if given_up:
            server.gate.record_given_up(kind, self.now - started)
        else:
            server.gate.record_response(kind, failed, self.now - started)
        while server.queue and server.running < SLOTS:
            kind, seconds, deadline = server.queue.pop(0)
            if deadline > self.now:
                self.start(server, kind, seconds, deadline)
            else:
                self.counts["late"] += 1

    # Nodes

    def begin_server(self, server):
        server.gate.set_server(SERVICE, server.version, (server.name, 1))
        if self.state is not None:
            self.at(self.now + 0.3, self.learn, server, self.state, self.revision)
        self.report(server)

    def learn(self, server, state, revision):
        if revision <= server.revision:
            return
        server.revision = revision
        if not server.table.put(SERVICE, state):
            return
        server.gate.refresh()
        if server.gate.is_closed():
            server.queue.clear()

    def report(self, server):
        self.at(self.now + REPORT_SECONDS, self.report, server)
        for report in server.gate.make_reports(server.running + len(server.queue)):
            if self.rng.random() >= self.scenario.loss:
                data = msgspec.msgpack.encode(report)
                assert len(data) < 1150, len(data)
                self.at(self.now + 0.002, self.handle_report, server, data)

    def handle_report(self, server, data):
        if self.rollout is None:
            return
        report = msgspec.msgpack.decode(data, type=EvidenceReport)
        reply = self.rollout.handle_report(report, self.now)
        if reply is not None and self.rng.random() >= self.scenario.loss:
            data = msgspec.msgpack.encode(reply)
            reply = msgspec.msgpack.decode(data, type=EvidenceReply)
            self.at(self.now + 0.002, server.gate.handle_reply, reply)

    # The controller

    def order(self):
        order = RolloutOrder(SERVICE, "v2", self.scenario.duration, 7)
        self.at(self.now + 0.4, self.stored, begin_state(order, None, "o0"), 0)
        self.at(self.now + 0.5, self.begin_control, 0)

    def begin_control(self, term):
        self.term = term
        self.rollout = ServiceRollout(self.state, ORDER_AT, self.now)
        self.write_pending = False
        self.control(term)

    def kill(self):
        self.rollout = None
        self.term = -1
        self.at(self.now + TAKEOVER_SECONDS, self.begin_control, 1)

    def control(self, term):
        if self.rollout is None or self.term != term:
            return
        self.at(self.now + TICK_SECONDS, self.control, term)
        if self.write_pending:
            return
        views = [
            ServerView(item.name, item.version, SLOTS, True)
            for item in self.servers.values()
            if item.starts_at <= self.now
        ]
        state = self.rollout.decide(views, self.now)
        if state is not None:
            self.write_pending = True
            self.at(self.now + WRITE_SECONDS, self.stored, state, term)

    def stored(self, state, term):
        if self.rollout is not None and self.term != term:
            return
        self.state = state
        self.revision += 1
        if self.rollout is not None:
            self.rollout.adopt(state, self.now)
            self.write_pending = False
        if state.is_ended:
            self.ended_at = self.now
            self.in_flight_at_end = sum(
                item.running for item in self.servers.values() if item.version == "v1"
            )
        for server in self.servers.values():
            if server.starts_at <= self.now:
                delay = self.rng.uniform(*LEARN_SECONDS)
                self.at(self.now + delay, self.learn, server, state, self.revision)

    # Results

    @property
    def exposure(self):
        """Return the requests to new servers in excess of their bound."""
        sent = sum(ORDER_AT <= at <= self.limit_at for at in self.new_times)
        return sent - 0.1 * self.counts["requests"] - 50

    @property
    def is_late_stop(self):
        """Return whether one was sent too long after the 50th bad response."""
        if len(self.bad_times) < 50 or not self.new_times:
            return False
        limit = sorted(self.bad_times)[49] + ROLLBACK_SECONDS
        return max(self.new_times) > limit

    @property
    def step(self):
        return self.state.step

    @property
    def is_in_time(self):
        return self.ended_at is not None and self.ended_at <= self.limit_at


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    for name, scenario in (*GOOD.items(), *BAD.items()):
        if options.only not in name:
            continue
        runs = [Drill(scenario, seed).run() for seed in range(options.seeds)]
        wanted = Step.ROLLED_BACK if scenario.bad else Step.COMPLETED
        right = [run for run in runs if run.step is wanted and run.is_in_time]
        ends = sorted((run.ended_at or 99) - ORDER_AT for run in runs)
        line = (
            f"{name}: {len(right)} of {len(runs)}, ended {ends[0]:.1f}-{ends[-1]:.1f}"
        )
        if scenario.bad:
            exposed = max(run.exposure for run in runs)
            late = sum(run.is_late_stop for run in runs)
            bound = sum(run.exposure > 0 for run in runs)
            line += f", over the bound {bound} (at most {exposed:.0f}), late {late}"
        else:
            flying = max(run.in_flight_at_end for run in right) if right else "-"
            line += f", in flight at the end {flying}"
        print(line)
        reasons = Counter(run.state.reason[:60] for run in runs if run not in right)
        for reason, count in reasons.most_common(3):
            print(f"    {count} x {reason}")


if __name__ == "__main__":
    main()
