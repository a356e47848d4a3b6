"""A page that many ask for, and a request that crashes servers, when servers crash.

Plays a fleet of nodes with the product's own quarantine, strikes and trials on a
simulated clock. The "before" columns leave out what tells a popular request from a
poisonous one: answers of requests that run already, crashes of one moment, trials.

    python -m bench.popular --seeds 5
"""

import heapq
import random
from datetime import timedelta
from typing import Annotated, NamedTuple

import typer

from daisylink.clock import ManualClock
from daisylink.logs import configure_logging
from daisylink.request import Fingerprint, LostRequest, QuarantineStatus
from daisylink.serving import MemberRecord, Quarantine, ServerState
from daisylink.serving._suspect_trials import SuspectTrials
from daisylink.sidecar._strikes import (
    SIDECAR_QUARANTINE_SETTINGS,
    StrikeReporter,
    StrikeReporterSettings,
)

POOL = "one"
PAGE = Fingerprint(b"h", b"page")
POISON = Fingerprint(b"p", b"poison")
REQUESTS_PER_NODE = 20.0
WORK_SECONDS = (0.09, 0.15)
POISON_SECONDS = 0.02
MAX_ATTEMPTS = 2
# From a crash until its strikes are published, and until another node reads them.
DETECTION_SECONDS = 0.03
READ_SECONDS = (0.02, 0.1)
# For so long nodes read nothing when the servers crash, as after a version: the strikes
# of all crashes then arrive together.
PAUSE_SECONDS = (0.2, 1.0)
DOWN_SECONDS = 4.5
CRASH_AT = 3.0
JUDGED_FROM = CRASH_AT + 5.0
END = JUDGED_FROM + 15.0
POISON_PERIOD_SECONDS = 1.2
POISON_END = 300.0
STABLE_SECONDS = 3.0
FLEETS = ((6, 2), (12, 4), (24, 8), (96, 32))
POPULARITIES = (1.0, 0.1, 0.01, 0.001)


class Run(NamedTuple):
    """A request at a server.

    :param is_suspect: whether the quarantine counts it as running.
    """

    content: Fingerprint
    attempt: int
    is_suspect: bool


class Node:
    """A node and its server."""

    def __init__(self, name, fleet, settings):
        self.name = name
        self.quarantine = Quarantine(settings)
        self.reporter = StrikeReporter(
            StrikeReporterSettings(), name, self.quarantine, fleet.clock, fleet.list
        )
        self.record = MemberRecord(name, "a", 0, pool=POOL, server=ServerState.SERVING)
        self.trials = SuspectTrials(self.quarantine, Directory(self.record, fleet))
        self.is_up = True
        self.boot = 0
        self.reads_from = CRASH_AT + fleet.rng.uniform(*PAUSE_SECONDS)
        self.runs = {}


class Directory(NamedTuple):
    """The nodes whose servers run."""

    own_record: MemberRecord
    fleet: "Fleet"

    def serving(self, _pool):
        """Return the records of the nodes whose servers run."""
        return {node.name: node.record for node in self.fleet.nodes if node.is_up}


class Fleet:
    """A fleet on a simulated clock.

    :param learns_from_runs: whether a request that ends well withdraws strikes that
        arrived after it began.
    """

    def __init__(self, size, seed, settings, learns_from_runs):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.learns_from_runs = learns_from_runs
        self.nodes = []
        self.nodes += [Node(f"n{number}", self, settings) for number in range(size)]
        self.by_name = {node.name: node for node in self.nodes}
        self.events = []
        self.count = 0
        self.outcomes = []
        self.poison_crashes = []

    def list(self):
        """Return the names of the members."""
        return [node.name for node in self.nodes]

    @property
    def now(self):
        return self.clock.monotonic_seconds

    def after(self, seconds, action, *arguments):
        """Schedule an action."""
        self.count += 1
        event = (self.now + seconds, self.count, action, arguments)
        heapq.heappush(self.events, event)

    def play(self, end):
        """Run all events until a time."""
        while self.events and self.events[0][0] <= end:
            at, _, action, arguments = heapq.heappop(self.events)
            self.clock.wall_time += timedelta(seconds=at - self.now)
            self.clock.monotonic_seconds = at
            action(*arguments)

    # Requests

    def send(self, content):
        """Send a request to any node."""
        self.place(self.rng.choice(self.nodes), content, 1, self.now)

    def place(self, entry, content, attempt, sent_at):
        """Choose a server at the node where the request has entered."""
        status = entry.quarantine.find_status(content, self.now)
        if status is QuarantineStatus.QUARANTINED:
            record = None
            if attempt == 1:
                record = entry.trials.find_node(content, POOL, self.now)
            if record is None:
                self.end(content, sent_at, False)
                return
            self.run(self.by_name[record.node], entry, content, attempt, sent_at)
            return
        running = [node for node in self.nodes if node.is_up]
        self.run(self.rng.choice(running), entry, content, attempt, sent_at)

    def run(self, node, entry, content, attempt, sent_at):
        """Run a request at a server, if its node lets it."""
        status = node.quarantine.find_status(content, self.now)
        is_suspect = status is not QuarantineStatus.CLEAR
        if status is QuarantineStatus.QUARANTINED:
            if not node.trials.begin(content, POOL, self.now):
                self.end(content, sent_at, False)
                return
        elif is_suspect:
            node.quarantine.begin(content)
        self.count += 1
        number = self.count
        node.runs[number] = (Run(content, attempt, is_suspect), entry, sent_at)
        if content is POISON:
            self.after(POISON_SECONDS, self.crash_by, node, node.boot, sent_at)
        else:
            seconds = self.rng.uniform(*WORK_SECONDS)
            self.after(seconds, self.answer, node, node.boot, number)

    def answer(self, node, boot, number):
        """Answer a request, unless its server has crashed meanwhile."""
        if node.boot != boot:
            return
        run, _, sent_at = node.runs.pop(number)
        if run.is_suspect:
            node.quarantine.end(run.content)
        has_strike = node.quarantine.count_crashes(run.content, self.now)
        if has_strike and (run.is_suspect or self.learns_from_runs):
            node.reporter.record_answered(run.content, self.now)
            self.publish(node)
        self.end(run.content, sent_at, True)

    def end(self, content, sent_at, is_served):
        """Record how a request for the page ended."""
        if content is PAGE:
            self.outcomes.append((sent_at, is_served))

    # Crashes

    def crash_by(self, node, boot, sent_at):
        """Crash the server that runs the poisonous request."""
        if node.boot == boot:
            self.poison_crashes.append((self.now, sent_at))
            self.crash(node)

    def crash(self, node):
        """Crash a server; what it ran is retried where it may be."""
        node.is_up = False
        node.boot += 1
        runs, node.runs = list(node.runs.values()), {}
        lost = []
        for run, entry, sent_at in runs:
            lost.append(LostRequest(run.content, run.attempt > 1))
            if run.is_suspect:
                node.quarantine.end(run.content)
            if run.attempt < MAX_ATTEMPTS:
                self.after(0.001, self.place, entry, run.content, 2, sent_at)
            else:
                self.end(run.content, sent_at, False)
        self.after(DETECTION_SECONDS, self.report, node, lost)
        self.after(DOWN_SECONDS, self.restart, node)

    def report(self, node, lost):
        """Publish the strikes of a crash."""
        node.reporter.record_crash(lost, self.now)
        self.publish(node)

    def restart(self, node):
        """Start a crashed server again."""
        node.is_up = True

    def publish(self, node):
        """Let each other node read what this node's record lists now."""
        strikes = node.reporter.list_current(self.now)
        for other in self.nodes:
            if other is not node:
                delay = self.rng.uniform(*READ_SECONDS)
                if self.now >= CRASH_AT:
                    delay = max(delay, other.reads_from - self.now)
                self.after(delay, self.read, other, node.name, strikes)

    def read(self, node, name, strikes):
        """Read the strikes of another node's record."""
        node.reporter.handle_record(name, strikes, self.now, False)


def make_fleet(size, seed, is_before):
    """Return a fleet with or without what was added."""
    settings = SIDECAR_QUARANTINE_SETTINGS
    if is_before:
        settings = settings._replace(same_moment=timedelta(0), trial_delays=())
    return Fleet(size, seed, settings, learns_from_runs=not is_before)


def play_page(size, crashed, popularity, seed, is_before):
    """Return the share of the page's requests served from 5 s after the crash."""
    fleet = make_fleet(size, seed, is_before)
    page_rate = REQUESTS_PER_NODE * size * popularity

    def keep_sending():
        fleet.send(PAGE)
        fleet.after(fleet.rng.expovariate(page_rate), keep_sending)

    def crash_some():
        for node in fleet.rng.sample(fleet.nodes, crashed):
            fleet.crash(node)

    fleet.after(fleet.rng.expovariate(page_rate), keep_sending)
    fleet.after(CRASH_AT, crash_some)
    fleet.play(END)
    judged = [served for sent_at, served in fleet.outcomes if sent_at >= JUDGED_FROM]
    return sum(judged) / len(judged) if judged else None


def play_poison(size, seed, is_before):
    """Return all crashes by a poisonous request, and those by retries after the third.

    Retries are those that were sent later than the fleet needs to learn of the third.
    """
    fleet = make_fleet(size, seed, is_before)

    def keep_sending():
        fleet.send(POISON)
        fleet.after(POISON_PERIOD_SECONDS, keep_sending)

    fleet.after(0.0, keep_sending)
    fleet.play(POISON_END)
    crashes = fleet.poison_crashes
    late_from = crashes[2][0] + STABLE_SECONDS
    return len(crashes), sum(sent_at > late_from for _, sent_at in crashes)


def main(seeds: Annotated[int, typer.Option(help="Runs of each row.")] = 5):
    """Print both tables, each beside the code without the parts."""
    configure_logging("CRITICAL")
    typer.echo("fleet  crashed  page is 1 of  served before, after (mean, least)")
    for size, crashed in FLEETS:
        for popularity in POPULARITIES:
            cells = []
            for is_before in (True, False):
                runs = [
                    play_page(size, crashed, popularity, seed, is_before)
                    for seed in range(1, seeds + 1)
                ]
                shares = [share for share in runs if share is not None]
                cells.append(f"{sum(shares) / len(shares):.3f} {min(shares):.3f}")
            row = f"{size:5d}  {crashed:7d}  {1 / popularity:12.0f}"
            typer.echo(f"{row}  {cells[0]}, {cells[1]}")
    typer.echo(
        "fleet  crashes of a poisonous request, by retries: before, after (most)"
    )
    for size, _ in FLEETS:
        cells = []
        for is_before in (True, False):
            runs = [play_poison(size, seed, is_before) for seed in range(1, seeds + 1)]
            crashes, retries = (max(column) for column in zip(*runs, strict=True))
            cells.append(f"{crashes} {retries}")
        typer.echo(f"{size:5d}  {cells[0]}, {cells[1]}")


if __name__ == "__main__":
    typer.run(main)
