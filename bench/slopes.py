"""Costs of single steps by size, for docs/CAPACITY.md.

Measures the installation of a version by number of services, the directory's memory
and merge time by number of nodes, and a claim's processor time at claimant and replica.
Usage: python -m bench.slopes
"""

import time
import tracemalloc

from bench.distribution import make_content
from daisylink.process import MemberRecord, ServerState, encode_message
from daisylink.process._directory import Directory
from daisylink.process._installer import Installer
from daisylink.process._key_records import KeyRecords, KeyRecordSettings
from daisylink.process._messages import (
    Ack,
    Claim,
    Ping,
    Push,
    Replica,
    ReplicaMap,
    ShardPlacement,
    VersionUpdate,
    decode_message,
)
from daisylink.version import compute_delta, pack_content
from tests.support import ACCEPTED_AT

SERVICES = (50, 150, 500)
NODES = (100, 1000, 5200)
RUNS = 20
MESSAGES = 5000
BOOT = 1_790_000_000_000


def min_cpu_seconds(call, runs=RUNS):
    """Return the shortest processor time of several runs, in seconds."""
    times = []
    for _ in range(runs):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return min(times)


def measure_install():
    print("| services | delta B | snapshot B | install by delta ms | version MB |")
    print("| --- | --- | --- | --- | --- |")
    for services in SERVICES:
        old, new = make_content(services), make_content(services, 1)
        digest, packed = pack_content(new)
        update = VersionUpdate(2, digest, ACCEPTED_AT, compute_delta(old, new))
        old_digest, old_packed = pack_content(old)
        initial = VersionUpdate(1, old_digest, ACCEPTED_AT)

        def install(initial=initial, old_packed=old_packed, update=update):
            installer = Installer()
            installer.apply_snapshot(initial, old_packed)
            return installer, update

        installer, _ = install()
        current = installer.current
        tracemalloc.start()
        installer.apply_delta(update)
        size = tracemalloc.get_traced_memory()[0] / 2**20
        tracemalloc.stop()

        def by_delta(installer=installer, current=current, update=update):
            installer.current = current
            installer.apply_delta(update)

        delta_size = len(encode_message(_push(update)))
        seconds = min_cpu_seconds(by_delta)
        print(
            f"| {services} | {delta_size} | {len(packed)} | {seconds * 1000:.2f} | "
            f"{size:.2f} |"
        )


def _push(update):
    return Push(1, "10.0.0.1:8082", version=update)


def make_records(count):
    records = []
    for n in range(count):
        host = f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"
        record = MemberRecord(
            f"{host}:8082", f"z{n % 9}", BOOT, relay=f"{host}:8081",
            pool=f"pool-{n % 500}", server=ServerState.SERVING, slots=10, boot=BOOT,
        )  # fmt: skip
        records.append(record)
    return records


def measure_directory():
    print("| nodes | directory MB | merge us a record | digest us |")
    print("| --- | --- | --- | --- |")
    for count in NODES:
        tracemalloc.start()
        records = make_records(count)
        directory = Directory(records[0])
        for record in records[1:]:
            directory.merge(record, 0.0)
        size = tracemalloc.get_traced_memory()[0] / 2**20
        tracemalloc.stop()

        def build(records=records):
            fresh = Directory(records[0])
            for record in records[1:]:
                fresh.merge(record, 0.0)

        seconds = min_cpu_seconds(build, 3) / count
        digest = min_cpu_seconds(lambda directory=directory: directory.digest)
        print(f"| {count} | {size:.2f} | {seconds * 1e6:.1f} | {digest * 1e6:.1f} |")


def measure_messages():
    ping = Ping(1, "10.0.0.1:8082", 14_000, 2**63, 3)
    ack = Ack(1, "10.0.0.1:8082", 14_000, 2**63, 3, "10.0.0.1:8082")
    key_records = KeyRecords(KeyRecordSettings(), Replica("10.0.0.1:8082", 1))
    placement = ShardPlacement(1, 0, (Replica("10.0.0.1:8082", 1),))
    key_records.apply_map(ReplicaMap(1, (placement,)), 0.0)
    keys = iter(range(10**9))

    def grant():
        key = next(keys).to_bytes(16, "little")
        claim = Claim(1, "10.0.0.2:8082", 0, 1, key)
        key_records.answer_claim(decode_message(encode_message(claim)), 0.0)

    def repeat(call):
        return lambda: [call() for _ in range(MESSAGES)]

    print("| step | bytes | us |")
    print("| --- | --- | --- |")
    for name, message in (("ping", ping), ("ack", ack)):
        size = len(encode_message(message))
        seconds = min_cpu_seconds(
            repeat(lambda m=message: decode_message(encode_message(m))), 3
        )
        print(
            f"| {name}, encoded and decoded | {size} | {seconds / MESSAGES * 1e6:.1f} |"
        )
    seconds = min_cpu_seconds(repeat(grant), 3)
    print(f"| claim granted at a replica | | {seconds / MESSAGES * 1e6:.1f} |")


def main():
    measure_install()
    measure_directory()
    measure_messages()


if __name__ == "__main__":
    main()
