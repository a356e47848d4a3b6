"""The fault matrix of acceptance, distribution and membership.

Each cell injects one fault at one step, in a fabric of eight nodes in two zones that
runs the real decision objects, and checks the invariants.
``python -m tests.fleet_matrix`` writes the table to docs.
"""

from pathlib import Path

from bench.fabric import FleetSimulator
from daisylink.errors import PlatformError
from daisylink.process import MemberState, ServerState
from daisylink.process._events import (
    AcquireKey,
    CallStore,
    Pull,
    ReadKey,
    Send,
    ServerChanged,
    StopRequested,
    WatchKey,
)
from daisylink.process._messages import Push, PushAck
from daisylink.serving._local_server import (
    Announcement,
    LocalServer,
    LocalServerSettings,
)
from daisylink.version import (
    HEAD_KEY,
    Acceptance,
    Accepted,
    Conflict,
    Read,
    Unchanged,
    Write,
    decode_head,
    pack_content,
    unpack_content,
)
from tests.support import (
    fail_action,
    make_content,
    make_proposal,
    perform_action,
    run_acceptance,
)

ZONES = ("x", "y")
NODES_IN_ZONE = 4
SETTLE_SECONDS = 8.0
FAULT_SECONDS = 5.0
TARGET_SECONDS = 16.0
SERVER_LEASE_SECONDS = 5.0
TABLE = Path(__file__).parent.parent / "docs" / "MATRIX-FLEET.md"
CONTENTS = [make_content(*"abcdefgh"[: size + 1]) for size in range(8)]

INTRODUCTION = """# Fault matrix: acceptance, distribution, membership

Written by `python -m tests.fleet_matrix` from a run of every cell against the real
decision objects (eight nodes, two zones). A number is the simulated time in seconds
from the first of two acceptances, 0.5 s apart, to agreement of all nodes on version
and directory; the fault itself lasts 5 s, and a crashed node is back after 5 s.
Checked in each cell: no node goes back, no version in part, no server that left is
revived, no draining server gets new work, acceptance ends truthfully, all converge.
"""

STEPS = (
    "accept", "write", "swap", "watch", "read", "push", "pull", "install",
    "announce", "renew", "drain", "leave",
)  # fmt: skip
SERVER_STEPS = ("announce", "renew", "drain", "leave")
FAULTS = (
    "crash before", "crash after", "lost", "late", "twice", "reordered",
    "paused past the lease", "platform down", "answer lost", "zone cut",
)  # fmt: skip


class CellError(AssertionError):
    """An invariant did not hold in a cell."""


def check(condition, message):
    if not condition:
        raise CellError(message)


class Cell:
    """One fault at one step.

    :param seed: seed of the fabric.
    """

    def __init__(self, step, fault, seed=1):
        self.step = step
        self.fault = fault
        self.fabric = FleetSimulator(seed)
        self.was_injected = False
        self.held_action = None
        self.drop_ack_to = None
        self.dead = []
        self.left = {}
        self.planner_done = None

    # Running

    def run(self):
        """Run the cell; return the seconds from its change to convergence."""
        fabric = self.fabric
        for number in range(NODES_IN_ZONE * len(ZONES)):
            fabric.add(ZONES[number % len(ZONES)])
        self.accept(1)
        self.run_until_converged("the first version")
        fabric.run(SETTLE_SECONDS)
        started = fabric.now
        if self.step in ("accept", "write", "swap"):
            self.run_planner_step()
        elif self.step in SERVER_STEPS:
            self.run_server_step()
        else:
            self.run_distribution_step()
        self.run_until_converged("the change")
        seconds = fabric.now - started
        fabric.run(SETTLE_SECONDS)
        check(self.was_injected, "the fault was not injected")
        fabric.on_action = None
        self.run_until_converged("the end")
        self.check_properties()
        return seconds

    def accept(self, index, name=None):
        """Accept one of the contents by a planner without faults."""
        proposal = make_proposal(CONTENTS[index], name or f"accept-{index}")
        outcome = run_acceptance(Acceptance(proposal), self.fabric.store)
        self.fabric.notify_watches(HEAD_KEY)
        return outcome

    @property
    def head(self):
        return decode_head(self.fabric.store.get(HEAD_KEY).value)

    def live_hosts(self):
        return [host for host in self.fabric.hosts.values() if host.alive]

    def run_until_converged(self, what):
        """Run until every node has installed the head and agrees on the directory."""

        def converged():
            number = self.head.number
            hosts = self.live_hosts()
            digests = {host.fleet.directory.digest for host in hosts}
            behind = [h for h in hosts if h.fleet.installer.number != number]
            whole = len(hosts) + len(self.left) == NODES_IN_ZONE * len(ZONES)
            return not behind and len(digests) == 1 and whole

        limit = TARGET_SECONDS + FAULT_SECONDS
        check(self.fabric.run(limit, until=converged), f"{what} did not converge")

    # Faults of nodes

    def inject_fault(self, host, action, perform, kind):
        """Inject the fault once; return whether it replaces the action."""
        if self.was_injected:
            return False
        self.was_injected = True
        fabric = self.fabric
        match self.fault:
            case "crash before":
                self.crash(host)
            case "crash after":
                perform()
                fabric.call_later(0.0, lambda: self.crash(host))
            case "lost":
                self.lose(host, action, takes_effect=False)
            case "late":
                fabric.call_later(FAULT_SECONDS, perform)
            case "twice":
                perform()
                fabric.call_later(0.05, perform)
            case "reordered":
                self.held_action = (kind, perform)
                fabric.call_later(1.0, self.release)
            case "paused past the lease":
                host.paused_until = fabric.now + FAULT_SECONDS
                fabric.call_later(FAULT_SECONDS, perform)
            case "platform down":
                fabric.store_down = True
                fabric.call_later(FAULT_SECONDS, self.restore_platform)
                perform()
            case "answer lost":
                self.lose(host, action, takes_effect=True)
            case "zone cut":
                self.cut(host.fleet.own_record.zone)
                perform()
        return True

    def crash(self, host):
        """Kill a node, and restart it later."""
        self.fabric.kill(host)
        self.fabric.call_later(FAULT_SECONDS, lambda: self.fabric.restart(host))

    def cut(self, zone):
        """Cut a zone off from the other one and from the platform for a while."""
        other = ZONES[1 - ZONES.index(zone)]
        self.fabric.partition(zone, other)
        self.fabric.partition(zone, "platform")
        self.fabric.call_later(FAULT_SECONDS, self.fabric.heal_partitions)

    def restore_platform(self):
        self.fabric.store_down = False

    def release(self):
        """Perform the held action, unless it has been released already."""
        if self.held_action is not None:
            _, perform = self.held_action
            self.held_action = None
            perform()

    def lose(self, host, action, takes_effect):
        fabric = self.fabric
        match action:
            case CallStore(call):
                fabric.fail_store_call(host, call, takes_effect)
            case Pull():
                fabric.fail_pull(host, action)
            case Send(_, Push()) if takes_effect:
                self.drop_ack_to = host.fleet.own_record.node
                fabric.perform_action(host, action)

    def release_after(self, kind):
        """Release the held action shortly after another one of the same kind."""
        if self.held_action is not None and self.held_action[0] == kind:
            self.fabric.call_later(0.02, self.release)

    # Distribution

    def run_distribution_step(self):
        """Accept changes while the tap looks for the step."""
        self.fabric.on_action = self.tap
        if self.step == "pull":
            self.make_gap()
        if self.step == "read":
            self.make_reader_read()
        self.accept(2)
        self.fabric.run(0.5)
        self.accept(3)

    def make_gap(self):
        """Restart a node, which then pulls."""
        host = self.live_hosts()[-1]
        self.fabric.kill(host)
        self.fabric.restart(host)

    def make_reader_read(self):
        """Restart a reader, so that another node acquires its slot and reads."""
        reader = next(h for h in self.live_hosts() if h.fleet.reader.slot == 0)
        self.crash(reader)

    def tap(self, host, action):
        """Inject the fault when an action of any node is the step."""
        if isinstance(action, Send) and isinstance(action.message, PushAck):
            lost = action.address == self.drop_ack_to
            self.drop_ack_to = None if lost else self.drop_ack_to
            return lost
        match self.step, action:
            case "watch", CallStore(WatchKey()):
                kind = WatchKey
            case "read", CallStore(ReadKey(key)) if key == HEAD_KEY:
                kind = ReadKey
            case "push", Send(_, Push(version=version)) if version is not None:
                kind = Push
            case "install", Send(_, Push(version=version)) if version is not None:
                kind = Push
            case "pull", Pull():
                kind = Pull
            case _:
                return False
        self.release_after(kind)
        subject = host
        if self.step == "install":
            subject = self.fabric.hosts[action.address]
        return self.inject_fault(
            subject, action, lambda: self.fabric.perform_action(host, action), kind
        )

    # Planners

    def run_planner_step(self):
        """Inject the fault at a planner's step, then let the planner retry."""
        outcome = self.drive_planner("planner")
        if outcome is None:
            self.fabric.run(FAULT_SECONDS + 1.0)
            outcome = self.drive_planner("planner-again")
        self.fabric.notify_watches(HEAD_KEY)
        kept = self.content_of_head()
        if isinstance(outcome, Unchanged):
            check(
                outcome.record.acceptance_id == "planner",
                "the head was accepted by another planner",
            )
            outcome = Accepted(outcome.record)
        check(
            isinstance(outcome, Accepted | Conflict), f"unexpected outcome: {outcome}"
        )
        if isinstance(outcome, Accepted):
            check(kept in (CONTENTS[2], CONTENTS[3]), "accepted content lost")
        else:
            check(kept == CONTENTS[3], "conflict without rival content")

    def drive_planner(self, name):
        """Run an acceptance; return its outcome, or None if it was aborted."""
        steps = Acceptance(make_proposal(CONTENTS[2], name)).steps()
        event = None
        while True:
            try:
                action = steps.send(event)
            except StopIteration as end:
                return end.value
            except PlatformError:
                return None
            if not self.was_injected and self.is_planner_step(action):
                self.was_injected = True
                event = self.perform_with_fault(action)
                if event is None:
                    return None
            elif self.fabric.store_down:
                event = fail_action(action, self.fabric.store, False)
                self.fabric.run(1.0)
            else:
                event = perform_action(action, self.fabric.store)

    def is_planner_step(self, action):
        match self.step, action:
            case "accept", Read(key):
                return key == HEAD_KEY
            case "write", Write(key):
                return key != HEAD_KEY
            case "swap", Write(key):
                return key == HEAD_KEY
        return False

    def perform_with_fault(self, action):
        """Perform an action with the fault; return its event, None for a crash."""
        fabric = self.fabric
        match self.fault:
            case "crash before":
                return None
            case "crash after":
                perform_action(action, fabric.store)
                return None
            case "lost":
                return fail_action(action, fabric.store, False)
            case "late":
                fabric.call_later(
                    FAULT_SECONDS, lambda: perform_action(action, fabric.store)
                )
                failed = fail_action(action, fabric.store, False)
                return failed
            case "twice":
                perform_action(action, fabric.store)
                return perform_action(action, fabric.store)
            case "reordered":
                self.accept(3, "rival")
                return perform_action(action, fabric.store)
            case "paused past the lease":
                fabric.run(1.0)
                self.accept(3, "rival")
                fabric.run(FAULT_SECONDS)
                return perform_action(action, fabric.store)
            case "platform down":
                fabric.store_down = True
                fabric.call_later(FAULT_SECONDS, self.restore_platform)
                return fail_action(action, fabric.store, False)
            case "answer lost":
                return fail_action(action, fabric.store, True)
            case "zone cut":
                self.cut(ZONES[0])
                return perform_action(action, fabric.store)

    def content_of_head(self):
        store = self.fabric.store
        record = self.head
        prefix = f"daisylink/content/{record.number}/{record.acceptance_id}/"
        parts = [store.get(f"{prefix}{part}").value for part in range(record.parts)]
        return unpack_content(b"".join(parts), record.digest)

    # Backend servers

    def run_server_step(self):
        """Announce, renew, drain and remove a backend server despite the fault."""
        host = self.live_hosts()[-1]
        local_server = LocalServer(LocalServerSettings())
        self.update_server(host, local_server)
        self.fabric.run(1.0)
        self.fabric.on_action = self.tap_records
        self.change_server(host, local_server, "announce")
        self.run_server(host, local_server, 4)
        if self.step in ("drain", "leave"):
            self.change_server(host, local_server, "drain")
            self.fabric.run(1.0)
        if self.step == "leave":
            self.change_server(host, local_server, "leave")
            self.fabric.run(1.0)
            if host.alive:
                self.fabric.deliver_event(host, StopRequested())
                self.left[host.fleet.own_record.node] = (
                    host.fleet.own_record.incarnation
                )
                self.fabric.call_later(0.5, lambda: self.fabric.kill(host))
        self.fabric.run(FAULT_SECONDS + 3.0)
        self.fabric.on_action = None
        self.subject = host.fleet.own_record.node

    def run_server(self, host, local_server, renewals):
        """Renew the announcement a few times."""
        for _ in range(renewals):
            self.fabric.run(1.5)
            self.change_server(host, local_server, "renew")

    def change_server(self, host, local_server, what):
        """Send a change from the server to its node, with the fault at its step.

        :param what: one of :data:`SERVER_STEPS`.
        """

        def apply_change():
            if not host.alive:
                return
            now = self.fabric.now
            match what:
                case "announce":
                    local_server.handle_announcement(
                        Announcement("10.9.9.9:9", "p", 10), now
                    )
                case "renew" if local_server.announcement is not None:
                    local_server.renew(now)
                case "drain" if local_server.announcement is not None:
                    local_server.drain()
                case "leave":
                    local_server.remove()
            self.update_server(host, local_server)

        if what != self.step or self.was_injected:
            apply_change()
            self.release_after(LocalServer)
            return
        if self.fault in ("lost", "answer lost"):
            self.was_injected = True
            if self.fault == "answer lost":
                apply_change()
            self.fabric.call_later(1.5, apply_change)
            return
        self.inject_fault(host, None, apply_change, LocalServer)

    def update_server(self, host, local_server):
        local_server.tick(self.fabric.now)
        wanted = local_server.update_record(host.fleet.own_record, self.fabric.now)
        if wanted != host.fleet.own_record and host.alive:
            self.fabric.deliver_event(host, ServerChanged(wanted))

    def tap_records(self, _host, action):
        """Drop writes of reader slots while the platform is down.

        The fault itself is injected by :meth:`change_server`.
        """
        return (
            isinstance(action, CallStore)
            and isinstance(action.call, AcquireKey)
            and (self.fabric.store_down)
        )

    # Properties

    def check_properties(self):
        """Check the invariants at the end of a cell."""
        store = self.fabric.store
        record = self.head
        accepted = {1: CONTENTS[1], record.number: self.content_of_head()}
        for host in self.fabric.hosts.values():
            history = host.installed_numbers
            check(history == sorted(set(history)), f"a node went back: {history}")
            current = host.fleet.installer.current
            if current is None or not host.alive:
                continue
            digest, _ = pack_content(current.content)
            check(digest == current.stamp.digest, "an incomplete version is in force")
            if current.number in accepted:
                check(current.content == accepted[current.number], "wrong content")
        for host in self.live_hosts():
            records = host.fleet.directory.records
            for node, incarnation in self.left.items():
                state = records.get(node)
                has_left = state is None or state.state is not MemberState.ALIVE
                check(has_left, "a server that left was revived")
                check(
                    node not in host.fleet.directory.serving("p"),
                    "a server that left is listed as serving",
                )
                check(state is None or state.incarnation >= incarnation, "older record")
        readers = [k for k in store.entries if k.startswith("daisylink/reader/")]
        check(len(readers) <= 2 * len(ZONES), "more readers than slots")
        if self.step == "drain":
            self.check_drained()

    def check_drained(self):
        subject = self.fabric.hosts[self.subject]
        if subject.fleet.own_record.server is not ServerState.DRAINING:
            return
        for host in self.live_hosts():
            serving = host.fleet.directory.serving("p")
            check(self.subject not in serving, "a draining server gets new work")


def write_table():
    """Run every cell and write the table to docs."""
    lines = [
        INTRODUCTION,
        "| step | " + " | ".join(FAULTS) + " |",
        "| --- " * (len(FAULTS) + 1) + "|",
    ]
    for step in STEPS:
        cells = []
        for fault in FAULTS:
            try:
                seconds = Cell(step, fault).run()
                timed = step not in SERVER_STEPS
                cells.append(f"held, {seconds:.1f}" if timed else "held")
            except CellError as error:
                cells.append(f"RED: {error}")
        lines.append(f"| {step} | " + " | ".join(cells) + " |")
    TABLE.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    write_table()
