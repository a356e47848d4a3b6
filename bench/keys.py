"""Cost of API keys: processor time of a request, and memory of 10,000 keys.

Drives a real gateway as :mod:`bench.hotpath` does. Three variants of the same request
take turns in one run: with the parts for tenants replaced by nothing, with a version
without tenants, and with a version of 10,000 keys. The ratio of each batch to the one
beside it is taken, and the median of all.
Usage: python -m bench.keys [calls]
"""

import os
import random
import statistics
import sys
import time
import tracemalloc

from bench.hotpath import BODY, RESPONSE
from bench.single_node import start_single_node
from daisylink.logs import configure_json_logging
from daisylink.loop import LoopRunner
from daisylink.request import _exchange
from daisylink.version import NO_TENANTS, Tenant, TenantTable
from tests.support import HOST

TENANTS = 82
KEYS = 10_000
KEY_BYTES = 16
BATCH_CALLS = 200
BOUNDS = {"no tenants": 1.03, "10,000 keys": 1.10}
SEED = 1


def make_keys():
    rng = random.Random(SEED)
    return [rng.randbytes(KEY_BYTES).hex() for _ in range(KEYS)]


def make_table(keys):
    tenants = [Tenant(f"tenant-{number}") for number in range(TENANTS)]
    return TenantTable.from_keys(
        (tenant, keys[number::TENANTS]) for number, tenant in enumerate(tenants)
    )


def measure_table(keys):
    started = time.process_time()
    make_table(keys)
    seconds = time.process_time() - started
    tracemalloc.start()
    table = make_table(keys)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{KEYS} keys: built in {seconds * 1e3:.1f} ms, {size / 2**20:.2f} MiB")
    return table


def make_request(key):
    return (
        f"POST /a/write HTTP/1.1\r\nhost: {HOST}\r\nuser-agent: bench\r\n"
        f"accept: */*\r\nauthorization: Bearer {key}\r\n"
        f"content-length: {len(BODY)}\r\n\r\n"
    ).encode() + BODY


class Variants:
    """Switches a gateway between the variants.

    :param table: the tenants of the last variant.
    """

    def __init__(self, gateway, table):
        self.gateway = gateway
        self.tables = {"none": NO_TENANTS, "no tenants": NO_TENANTS}
        self.tables["10,000 keys"] = table
        self.remove = _exchange.remove_credentials

    def switch(self, name):
        self.gateway.version = self.gateway.version._replace(tenants=self.tables[name])
        keep = name == "none"
        _exchange.remove_credentials = self.keep_head if keep else self.remove

    @staticmethod
    def keep_head(head, _version):
        return head


async def run(application, calls):
    keys = make_keys()
    table = measure_table(keys)
    async with start_single_node(application, SEED) as node:
        measure_calls(node, keys, table, calls)


def measure_calls(node, keys, table, calls):
    caller, hop = node.connect_caller(), node.hop
    requests = [make_request(key) for key in keys[:BATCH_CALLS]]
    variants = Variants(node.gateway, table)
    rounds = max(1, calls // BATCH_CALLS)
    seconds = {name: [] for name in variants.tables}
    for number in range(rounds + 2):
        names = list(variants.tables)
        random.Random(number).shuffle(names)
        for name in names:
            variants.switch(name)
            started = time.process_time()
            for request in requests:
                caller.data_received(request)
                hop.data_received(RESPONSE)
            elapsed = time.process_time() - started
            # The first rounds fill caches.
            if number >= 2:
                seconds[name].append(elapsed / BATCH_CALLS)
    base = seconds["none"]
    print(f"none: {statistics.median(base) * 1e6:.1f} us a request")
    for name, bound in BOUNDS.items():
        pairs = zip(seconds[name], base, strict=True)
        ratio = statistics.median(mine / other for mine, other in pairs)
        verdict = "held" if ratio <= bound else "MISSED"
        print(f"{name}: ratio {ratio:.3f}, bound {bound:.2f} {verdict}")


def main():
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    configure_json_logging(descriptor=os.open(os.devnull, os.O_WRONLY))
    runner = LoopRunner()
    runner.run(run(runner.application, calls))


if __name__ == "__main__":
    main()
