"""A state machine that drives a node's connections in random ways.

The rules divide bytes, pipeline, slow down, leave and break off, beside stops and
pauses of the process. The invariants are what callers and servers are owed in any case.
``python -m tests.connection_machine MINUTES`` searches with fresh seeds.
"""

import sys
import time
from collections import Counter

from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from daisylink.connection import count_held_bytes
from daisylink.logs import configure_logging
from tests.connection_model import (
    CallerModel,
    SentRequest,
    ServerModel,
    make_answer_body,
    make_answer_head,
)
from tests.simulated_network import READ_BYTES, SimulatedNode
from tests.test_response_status import FRAMINGS, INVALID_STATUSES

TIMEOUT_SECONDS = 0.8
SLACK_SECONDS = 0.5
MEMORY_MB = 4
MAX_CALLERS = 6
# Longer answers are handed on while they arrive, and end the connection if they break.
MAX_HELD_BYTES = 64 * 1024
FLOOD = b"4000\r\n" + b"f" * 0x4000 + b"\r\n"
GARBAGE = {
    "no request": b"BAD \x00 REQUEST\r\n\r\n",
    "two lengths": b"GET /x/ HTTP/1.1\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    "no path": b"GET http://a.example/x/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "a header without end": b"GET /x/ HTTP/1.1\r\nX: " + b"y" * 40_000,
    "headers without end": b"GET /x/ HTTP/1.1\r\n" + b"X: y\r\n" * 3000,
}
NO_ANSWERS = {
    "no bytes of HTTP": b"\x00\xff" * 40,
    "a line without end": b"y" * 300_000,
}
CALLER_ACTS = (
    *("stop reading", "stop reading", "read on", "leave", "stay open"),
    *GARBAGE,
)
SERVER_ACTS = ("stop reading", "read on", "close", "reset", *NO_ANSWERS)
PROCESS_ACTS = (0.02, 0.02, 0.1, 0.3, 0.3, 1.0, "freeze", "reload", "stop")
# With these callers are promised that a request has not run and never will.
NOT_RUN_STATUSES = ("408", "421", "429", "503")
FIRST_VERSION = 12
# Of successive versions, by turns.
PRIORITIES = (2, 0)
BODY_SIZES = (0, 1, 3000, 20_000, 70_000)
READ_SIZES = (1, 30, 110, 4000, 20_050, 64_000, 300_000)


class ConnectionMachine(RuleBasedStateMachine):
    """Callers, a node, its backend server and another node, held by the test."""

    @initialize()
    def start(self):
        configure_logging("CRITICAL")
        self.node = SimulatedNode(runs_once_prefix="/y/")
        self.node.add_node()
        self.node.gateway.held_limit.set_memory(MEMORY_MB)
        self.version = FIRST_VERSION
        self.callers = []
        self.servers = []
        self.rejected = Counter()
        self.is_stopping = False
        self.count = 0
        self.connect()
        self.connect()

    # What callers do

    @precondition(lambda self: self.open_callers)
    @rule(
        data=st.data(),
        count=st.sampled_from((1, 2, 2, 3, 12)),
        runs_once=st.booleans(),
        size=st.sampled_from(BODY_SIZES),
        is_chunked=st.booleans(),
        reads=st.lists(st.sampled_from(READ_SIZES), min_size=1, max_size=4),
    )
    def send_requests(self, data, count, runs_once, size, is_chunked, reads):
        caller = self.draw(data, self.open_callers)
        if not caller.is_garbled:
            for _ in range(count):
                self.add_request(caller, runs_once, size, is_chunked)
        for read in reads:
            caller.send(read)
        self.node.advance(0.01)

    @precondition(lambda self: self.open_callers)
    @rule(data=st.data(), read=st.sampled_from(READ_SIZES))
    def send_more(self, data, read):
        self.draw(data, self.open_callers).send(read)
        self.node.advance(0.01)

    @precondition(lambda self: self.open_callers)
    @rule(data=st.data(), act=st.sampled_from(CALLER_ACTS))
    def disturb_as_caller(self, data, act):
        caller = self.draw(data, self.open_callers)
        match act:
            case "stop reading":
                caller.is_excused = True
                caller.end.stop_reading()
            case "read on":
                caller.end.resume_reading()
            case "leave":
                caller.is_excused = True
                caller.end.close()
            case "stay open":
                caller.end.closes_at_end = False
            case _:
                self.send_garbage(caller, GARBAGE[act])
        self.node.advance(0.01)
        if len(self.open_callers) < MAX_CALLERS:
            self.connect()

    # What the backend server does

    @precondition(lambda self: self.waiting_servers)
    @rule(data=st.data(), is_chunked=st.booleans())
    def answer(self, data, is_chunked):
        server = self.draw(data, self.waiting_servers)
        name = server.waiting.name
        body = make_answer_body(name)
        if is_chunked:
            head = make_answer_head(name, "Transfer-Encoding: chunked")
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        else:
            head = make_answer_head(name, f"Content-Length: {len(body)}")
        self.end_answer(server, head + body)

    @precondition(lambda self: self.waiting_servers)
    @rule(data=st.data(), chunks=st.sampled_from((1, 20, 200)))
    def begin_long_answer(self, data, chunks):
        server = self.draw(data, self.waiting_servers)
        name = server.waiting.name
        head = b"" if server.is_open else make_answer_head(name, CHUNKED_LINE)
        server.is_open = server.is_disturbed = True
        server.end.send(head + FLOOD * chunks)
        self.node.advance(0.01)

    @precondition(lambda self: self.waiting_servers)
    @rule(data=st.data(), tail=st.sampled_from((b"0\r\n\r\n", b"zz", b"0\r\nX: ")))
    def end_long_answer(self, data, tail):
        server = self.draw(data, self.waiting_servers)
        if server.is_open:
            flood = b"t" * 400_000 if tail.startswith(b"0\r\nX") else b""
            self.end_answer(server, tail + flood)

    @precondition(lambda self: self.waiting_servers)
    @rule(data=st.data(), count=st.sampled_from((1, 50, 200)))
    def answer_part(self, data, count):
        server = self.draw(data, self.waiting_servers)
        if not server.is_open:
            name = server.waiting.name
            body = make_answer_body(name)
            head = make_answer_head(name, f"Content-Length: {len(body)}")
            server.is_disturbed = server.is_stuck = True
            server.end.send((head + body)[:count])
            self.node.advance(0.01)

    @precondition(lambda self: self.waiting_servers)
    @rule(data=st.data(), extra=st.booleans(), has_id=st.booleans())
    def reject(self, data, extra, has_id):
        server = self.draw(data, self.waiting_servers)
        if not server.is_open and not server.is_relay:
            name = server.waiting.name
            self.rejected[name] += 1
            lines = "X-Daisylink-Not-Executed: 1\r\nContent-Length: 0"
            head = make_answer_head(name * has_id, lines, "503 Full")
            self.end_answer(server, head + head * extra)

    @precondition(lambda self: self.copying_servers)
    @rule(data=st.data(), cut=st.sampled_from((0, 0, 5, 17, 40, 70)))
    def send_late_copy(self, data, cut):
        """Send the last answer of the connection again, whole or cut."""
        server = self.draw(data, self.copying_servers)
        server.end.send(server.last_answer[: cut or None])
        self.node.advance(0.01)

    @precondition(lambda self: self.waiting_servers)
    @rule(
        data=st.data(),
        status=st.sampled_from(INVALID_STATUSES),
        framing=st.sampled_from(tuple(FRAMINGS)),
    )
    def answer_with_an_invalid_status(self, data, status, framing):
        server = self.draw(data, self.waiting_servers)
        if not server.is_open:
            line, body = FRAMINGS[framing]
            head = make_answer_head(server.waiting.name, line, f"{status} Spoiled")
            server.is_disturbed = server.is_stuck = True
            server.end.send(head + body)
            self.node.advance(0.01)

    @precondition(lambda self: self.waiting_servers)
    @rule(data=st.data(), is_one_segment=st.booleans())
    def spoil_answer(self, data, is_one_segment):
        server = self.draw(data, self.waiting_servers)
        if not server.is_open:
            head = make_answer_head(server.waiting.name, CHUNKED_LINE)
            server.is_disturbed = server.is_stuck = True
            if not is_one_segment:
                server.end.send(head)
                self.node.advance(0.01)
                head = b""
            server.end.send(head + NO_ANSWERS["no bytes of HTTP"])
            self.node.advance(0.01)

    @precondition(lambda self: self.waiting_servers)
    @rule(data=st.data())
    def answer_another_request(self, data):
        server = self.draw(data, self.waiting_servers)
        # Nodes do not mix requests up; their answers are taken without an id.
        if not server.is_open and not server.is_relay:
            head = make_answer_head("another", "Content-Length: 3")
            server.end.send(head + b"no\n")
            self.node.advance(0.01)

    @precondition(lambda self: self.open_servers)
    @rule(data=st.data(), act=st.sampled_from(SERVER_ACTS))
    def disturb_as_server(self, data, act):
        server = self.draw(data, self.open_servers)
        server.is_disturbed |= act not in ("stop reading", "read on")
        match act:
            case "stop reading":
                server.end.stop_reading()
            case "read on":
                server.end.resume_reading()
            case "close":
                server.end.close()
            case "reset":
                server.end.close(ConnectionResetError())
            case _ if not server.is_open and not server.is_stuck:
                server.end.send(NO_ANSWERS[act])
        self.node.advance(0.01)

    # What happens to the process

    @rule(act=st.sampled_from(PROCESS_ACTS))
    def pass_time(self, act):
        match act:
            case "freeze":
                # A request that ended meanwhile has its time after the pause.
                self.node.loop.seconds += 3.0
                self.node.advance(SLACK_SECONDS)
            case "reload":
                self.reload()
            case "stop":
                self.is_stopping = True
                self.node.gateway.begin_stop()
            case float():
                self.node.advance(act)

    # What callers and servers are owed

    @invariant()
    def answers_are_whole_and_in_order(self):
        for caller in self.callers:
            caller.check()

    @invariant()
    def requests_arrive_unchanged(self):
        sent = {item.name: item for caller in self.callers for item in caller.requests}
        for server in self.all_servers:
            for message in server.requests:
                request = sent[message.name]
                path = "y" if request.runs_once else "x"
                assert message.first[:2] == ["PUT", f"/{path}/{request.name}"]
                assert request.body.startswith(message.body), "a body was changed"
                if message.is_whole:
                    assert message.body == request.body, "a body was cut"
        for name, count in self.count_arrivals().items():
            has_run_once = count - self.rejected[name] <= 1
            assert has_run_once or not sent[name].runs_once, "a request ran twice"

    @invariant()
    def requests_end_in_time(self):
        now = self.node.loop.time()
        for connection in self.node.callers:
            for exchange in connection.open_requests:
                is_over = exchange.done or not exchange.body.done
                seconds = now - exchange.started_at
                is_late = seconds > TIMEOUT_SECONDS + SLACK_SECONDS
                assert is_over or not is_late, "a request has no end"

    @invariant()
    def refusals_are_true(self):
        """A request that may run once is refused only if no server can run it."""
        arrived = self.count_arrivals()
        for caller in self.callers:
            answers = zip(caller.requests, caller.reader.read(), strict=False)
            for request, answer in answers:
                is_refused = request.runs_once and answer.first[1] in NOT_RUN_STATUSES
                may_run = arrived[request.name] > self.rejected[request.name]
                assert not (is_refused and may_run), "a request was refused and runs"

    @invariant()
    def no_connection_closes_on_requests_of_sound_servers(self):
        if self.is_stopping or self.node.gateway.held_limit.ended_requests:
            return
        sound = {
            message.name
            for server in self.all_servers
            if not server.is_disturbed
            for message in server.requests[server.answered :]
        }
        for caller in self.callers:
            is_excused = caller.is_excused or caller.is_garbled
            if not caller.end.is_closed or is_excused:
                continue
            answers = caller.reader.read()
            is_long = any(len(answer.body) > MAX_HELD_BYTES for answer in answers)
            whole = sum(answer.is_whole for answer in answers)
            lost = [request.name for request in caller.requests[whole:]]
            assert is_long or not sound & set(lost), "a sound server's answer is lost"

    @invariant()
    def held_bytes_are_bounded(self):
        held = count_held_bytes(self.node.callers).total
        limit = self.node.gateway.held_limit.max_bytes
        assert held <= limit * (1 + 1 / 32) + READ_BYTES, "too many bytes are held"

    def teardown(self):
        if not hasattr(self, "node"):
            return
        try:
            self.check_nothing_is_left()
        finally:
            self.node.close()

    def check_nothing_is_left(self):
        for caller in self.callers:
            caller.end.close()
        self.node.advance(0.02)
        for server in self.all_servers:
            server.end.close()
        self.node.advance(0.05)
        gateway = self.node.gateway
        assert not gateway.callers
        assert not gateway.admission.in_use
        assert not gateway.admission.queued
        assert not any(gateway.hop_pool.idle.values())
        assert not gateway.hop_pool.connect_tasks
        assert not gateway.running.runs

    # Helpers

    def reload(self):
        """Put the next version into force, with requests in progress."""
        self.version += 1
        priority = PRIORITIES[self.version % len(PRIORITIES)]
        self.node.install(self.version, priority=priority)
        self.node.advance(0.01)

    def add_request(self, caller, runs_once=False, size=0, is_chunked=False):
        self.count += 1
        name = f"r{self.count}."
        body = name.encode() * (size // len(name))
        caller.add(SentRequest(name, runs_once, body, is_chunked))

    def send_garbage(self, caller, garbage):
        """Send bytes that are no request, in one read with a whole request."""
        if not caller.is_garbled:
            self.add_request(caller)
        caller.is_garbled = True
        caller.outgoing += garbage
        caller.send(len(caller.outgoing))

    def connect(self):
        self.callers.append(CallerModel(self.node.connect()))

    @property
    def open_callers(self):
        return [caller for caller in self.callers if not caller.end.is_closed]

    @property
    def all_servers(self):
        known = {id(server.end) for server in self.servers}
        for ends, is_relay in (
            (self.node.server_ends, False),
            (self.node.relay_ends, True),
        ):
            new = [end for end in ends if id(end) not in known]
            self.servers += [ServerModel(end, is_relay) for end in new]
        return self.servers

    def count_arrivals(self):
        """Return how often each request has arrived at a server."""
        servers = self.all_servers
        return Counter(message.name for item in servers for message in item.requests)

    @property
    def open_servers(self):
        return [server for server in self.all_servers if not server.end.is_closed]

    @property
    def copying_servers(self):
        servers = self.waiting_servers
        return [item for item in servers if item.last_answer and not item.is_relay]

    @property
    def waiting_servers(self):
        return [server for server in self.open_servers if server.waiting is not None]

    def draw(self, data, items):
        return items[data.draw(st.integers(0, len(items) - 1))]

    def end_answer(self, server, data):
        server.answered = len(server.requests)
        server.is_open = False
        server.last_answer = data
        server.end.send(data)
        self.node.advance(0.01)


CHUNKED_LINE = "Transfer-Encoding: chunked"
SETTINGS = settings(
    # A counterexample is shortened by hand: to shrink it takes many minutes.
    phases=[Phase.explicit, Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)


def search(minutes):
    """Run the machine with fresh seeds until some minutes have passed."""
    ends_at = time.monotonic() + minutes * 60
    number = int(time.time())
    profile = settings(SETTINGS, max_examples=100, stateful_step_count=50)
    while time.monotonic() < ends_at:
        number += 1
        print(f"seed {number}", flush=True)
        run_state_machine_as_test(seed(number)(ConnectionMachine), settings=profile)


if __name__ == "__main__":
    search(float(sys.argv[1]) if len(sys.argv) > 1 else 2.0)
