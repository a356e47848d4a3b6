"""Processor time of a refused and a declined request, compared with a served one.

Drives a real gateway with fake transports, as bench.hotpath does. The server's slots
and queue are full while requests are refused or declined by its node; an entry node
whose pool has refused everything in the last second refuses at once.
Usage: python -m bench.refusal_cost [requests] [--profile NAME]
"""

import cProfile
import os
import pstats
import sys
import time

from bench.hotpath import RESPONSE
from bench.single_node import start_single_node
from daisylink.errors import ResultCode
from daisylink.logs import configure_json_logging
from daisylink.loop import LoopRunner
from daisylink.request import RequestPlan
from daisylink.serving import _placer, _pool_answers
from daisylink.serving._admission import AdmissionLimits
from daisylink.serving._waiting_queue import QueuedRequest
from daisylink.version import Priority
from tests.support import HOST

BATCHES = 20
QUEUED = 256
SLOTS = 4
WARM_UP = 500
HEAD = f"GET /a/read HTTP/1.1\r\nhost: {HOST}\r\nuser-agent: bench\r\naccept: */*\r\n"
ENTERING = (HEAD + "\r\n").encode()
RELAYED = (
    HEAD + "daisylink-hop: a 1500 i normal a - 1 100 a-read\r\ndaisylink-depth: 0\r\n"
)
DECLINED = (RELAYED + "daisylink-wait: no\r\n\r\n").encode()
REFUSED = (RELAYED + "\r\n").encode()


def fill(gateway):
    """Take every slot and fill the queue."""
    admission = gateway.admission
    admission.open(AdmissionLimits(SLOTS, 64, QUEUED))
    now = gateway.now()
    for number in range(SLOTS):
        admission.try_admit(number, Priority.NORMAL, now + 3600, now, kind="a-read")
    for number in range(QUEUED):
        waiting = QueuedRequest(
            number, "a-read", Priority.NORMAL, now + 3600, now, seconds=0.1
        )
        admission.queue.push(waiting)


def refuse_pool(gateway):
    """Let the pool refuse everything, as the entry node has seen."""
    plan = RequestPlan("a", "a", True, Priority.NORMAL, 0.0, 0, 1, 4, 0, "a-read")
    for _ in range(100):
        gateway.placer.record_refused(
            plan, ResultCode.REQUEST_OVERLOADED, gateway.now()
        )


def measure(send, requests, profile=False):
    """Return the microseconds of one request, the fastest of the batches."""
    for _ in range(WARM_UP):
        send()
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    batches = []
    for _ in range(BATCHES):
        started = time.process_time()
        for _ in range(requests // BATCHES):
            send()
        batches.append((time.process_time() - started) / (requests // BATCHES))
    profiler.disable()
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(25)
    return min(batches) * 1e6


async def run(application, requests, profiled):
    async with start_single_node(application) as node:
        compare(node, requests, profiled)


def compare(node, requests, profiled):
    gateway, hop = node.gateway, node.hop
    caller, relay = node.connect_caller(), node.connect_relay()

    def serve():
        caller.data_received(ENTERING)
        hop.data_received(RESPONSE)

    costs = {"served": measure(serve, requests, profiled == "served")}
    fill(gateway)
    for name, data in (("declined", DECLINED), ("refused", REFUSED)):
        costs[name] = measure(
            lambda data=data: relay.data_received(data), requests, profiled == name
        )

    _pool_answers.WINDOW_SECONDS = 3600.0
    _pool_answers.PROBE_SHARE = _placer.PROBE_SHARE = 0.0
    refuse_pool(gateway)
    name = "refused at once"
    costs[name] = measure(
        lambda: caller.data_received(ENTERING), requests, profiled == name
    )
    print("| request | processor time us | of a served one |")
    print("| --- | --- | --- |")
    for name, cost in costs.items():
        print(f"| {name} | {cost:.1f} | {cost / costs['served']:.2f} |")
    print("refused at once:", gateway.placer.refused_at_once)


def main():
    arguments = sys.argv[1:]
    profiled = ""
    if "--profile" in arguments:
        at = arguments.index("--profile")
        profiled = arguments[at + 1]
        del arguments[at : at + 2]
    requests = int(arguments[0]) if arguments else 10_000
    configure_json_logging(descriptor=os.open(os.devnull, os.O_WRONLY))
    runner = LoopRunner()
    runner.run(run(runner.application, requests, profiled))


if __name__ == "__main__":
    main()
