"""Late copies of a backend server's answers, of any kind and cut anywhere.

Drives a node whose server sends, before the answer to a request, a copy of the one that
it sent last on the connection. Counts what callers must never see: a request that may
run once that ran at two servers, or that ran and is answered as not run; an answer of
another request.

    python -m bench.late_copies 50000 --seed 1
"""

import random
from collections import Counter
from typing import Annotated

import typer

from daisylink.logs import configure_logging
from tests.connection_model import read_messages
from tests.platform_standin import SEAL
from tests.simulated_network import HOST, SimulatedNode, deliver_read, make_response

REQUESTS_PER_NODE = 200
COPY_SHARE = 0.3
REJECT_SHARE = 0.25
ID_SHARE = 0.5
CUT_SHARE = 0.3
MAY_RUN_ONCE_SHARE = 0.5
SETTLE_SECONDS = 0.005
ATTEMPT_SECONDS = 2.0
NOT_RUN = {"408", "421", "429", "503"}


class Server:
    """The backend server of one node.

    :param knows_ids: whether its successes and failures bear the request's id.
    """

    def __init__(self, node, rng, counts, knows_ids):
        self.node = node
        self.rng = rng
        self.counts = counts
        self.knows_ids = knows_ids
        self.last_answers = {}
        self.runs = Counter()
        self.handled = Counter()

    def serve(self):
        """Answer each request that waits; return whether there was one."""
        found = False
        for end in self.node.server_ends:
            for message in read_messages(bytes(end.received))[self.handled[end] :]:
                if message.is_whole and not end.is_closed:
                    self.handled[end] += 1
                    self.answer(end, message)
                    found = True
        for end in self.node.relay_ends:
            for message in read_messages(bytes(end.received))[self.handled[end] :]:
                self.handled[end] += 1
                self.runs[message.name] += 1
                end.send(make_response(message.name, message.name.encode()))
                found = True
        return found

    def answer(self, end, message):
        """Answer a request, perhaps behind a copy of the last answer."""
        rng = self.rng
        if end in self.last_answers and rng.random() < COPY_SHARE:
            self.counts["copies"] += 1
            copy = self.last_answers[end]
            if rng.random() < CUT_SHARE:
                copy = copy[: rng.randrange(1, len(copy))]
            answer = self.make_answer(message)
            pieces = [copy, answer] if rng.random() < 0.5 else [copy + answer]
        else:
            answer = self.make_answer(message)
            pieces = [answer]
        self.last_answers[end] = answer
        for piece in pieces:
            if not end.transport.closing:
                deliver_read(end.transport.protocol, piece)
            if rng.random() < 0.5:
                self.node.advance(SETTLE_SECONDS)

    def make_answer(self, message):
        """Run a request or reject it; return the bytes of the answer."""
        rng = self.rng
        id_line = f"X-Daisylink-Request-Id: {message.name}\r\n"
        if rng.random() < REJECT_SHARE:
            id_line *= self.knows_ids and rng.random() < ID_SHARE
            lines = "X-Daisylink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            status = rng.choice(("503 Busy", "429 Busy", "421 Misdirected"))
            return f"HTTP/1.1 {status}\r\n{id_line}{lines}".encode()
        self.runs[message.name] += 1
        id_line *= self.knows_ids
        body = message.name
        seal = f"X-Daisylink-Response-Seal: {SEAL}\r\nContent-Length: {len(body)}"
        status = rng.choice(("200 OK", "200 OK", "500 Error"))
        return f"HTTP/1.1 {status}\r\n{id_line}{seal}\r\n\r\n{body}".encode()


def make_request(name, may_run_once):
    """Return the bytes of a request."""
    method, path = ("POST", "y") if may_run_once else ("PUT", "x")
    return (
        f"{method} /{path}/{name} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Daisylink-Request-Id: {name}\r\nX-Daisylink-Deadline-Ms: 5000\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


def judge(name, may_run_once, answer, runs, counts):
    """Count what the caller must not see."""
    status, body = answer.first[1], answer.body.decode("latin-1")
    is_own = body == name or "daisylink-code" in answer.headers or not body
    counts["answer of another request"] += not is_own
    if may_run_once:
        counts["ran twice"] += runs[name] > 1
        counts["answered as not run and ran"] += status in NOT_RUN and runs[name] > 0
    counts["served"] += status == "200"


def play(number, requests, seed, knows_ids, counts):
    """Send requests to a node of their own."""
    rng = random.Random(f"{seed}/{number}")
    node = SimulatedNode(runs_once_prefix="/y/")
    if number % 2:
        # A request that its server rejects can run at another node.
        node.add_node()
    server = Server(node, rng, counts, knows_ids)
    for count in range(requests):
        name = f"r{number}-{count}."
        may_run_once = rng.random() < MAY_RUN_ONCE_SHARE
        caller = node.connect()
        caller.send(make_request(name, may_run_once))
        waited = 0.0
        while not caller.received and waited < ATTEMPT_SECONDS:
            node.advance(SETTLE_SECONDS)
            waited += SETTLE_SECONDS
            server.serve()
        node.advance(SETTLE_SECONDS)
        server.serve()
        counts["requests"] += 1
        messages = read_messages(bytes(caller.received))
        if not messages:
            counts["without an answer"] += 1
            continue
        judge(name, may_run_once, messages[0], server.runs, counts)
        caller.close()
    counts["connections to the server"] += len(node.server_ends)
    node.close()


def main(
    requests: Annotated[int, typer.Argument(help="Requests in all.")] = 50_000,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
):
    """Print the counts for servers that send request ids and for servers that don't."""
    configure_logging("CRITICAL")
    for knows_ids in (True, False):
        counts = Counter()
        for number in range(max(1, requests // REQUESTS_PER_NODE)):
            play(number, REQUESTS_PER_NODE, seed, knows_ids, counts)
        kind = "send ids" if knows_ids else "never send ids"
        typer.echo(f"servers that {kind}: {dict(sorted(counts.items()))}")


if __name__ == "__main__":
    typer.run(main)
