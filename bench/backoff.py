"""Compares backoffs when many nodes ask one node, which limits its snapshots.

The backoffs are full jitter, truncated exponential (RFC 5401, 3.2.2: the group size
sets the mean) and the delay that the server states. Each is run without and with
alternates: nodes served before, which a refusal names, and which can be asked instead.
Usage: python -m bench.backoff
"""

import heapq
import math
import random
from collections import Counter

from daisylink.process._snapshot_limiter import SnapshotLimiter, SnapshotLimitSettings

SIZES = (100, 578, 5200)
BASE_DELAY_SECONDS = 0.2
MAX_DELAY_SECONDS = 5.0
ROUND_TRIP_SECONDS = 0.002
START_SPREAD_SECONDS = 1.0
INTERVAL_SECONDS = 0.1


def full_jitter(rng, tries, _group_size, _stated_seconds):
    return rng.uniform(0, min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2**tries))


def truncated_exponential(rng, tries, group_size, _stated_seconds):
    """Return RandomBackoff(T_maxBackoff, groupSize) of RFC 5401."""
    max_delay = min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2**tries)
    mean = math.log(group_size) + 1
    scale = mean / max_delay
    x = rng.uniform(0, scale) + scale / (math.exp(mean) - 1)
    return math.log(x * (math.exp(mean) - 1) / scale) / scale


def server_stated(_rng, _tries, _group_size, retry_seconds):
    return retry_seconds


def run(size, backoff, alternates, seed=1):
    """Simulate one run.

    :returns: time at which the last node was served, requests sent per node, and the
        most requests that one node received within :data:`INTERVAL_SECONDS`.
    """
    rng = random.Random(seed)
    limiters = {"first": SnapshotLimiter(SnapshotLimitSettings(), rng)}
    queue = [
        (rng.uniform(0, START_SPREAD_SECONDS), number, "first", 1)
        for number in range(size)
    ]
    heapq.heapify(queue)
    request_counts = Counter()
    requests = 0
    last = 0.0
    while queue:
        now, number, target, tries = heapq.heappop(queue)
        limiter = limiters[target]
        requests += 1
        request_counts[target, int(now / INTERVAL_SECONDS)] += 1
        if limiter.admit(str(number), now):
            limiters[str(number)] = SnapshotLimiter(SnapshotLimitSettings(), rng)
            limiters[str(number)].filled_at = now
            last = now
            continue
        choices = [target]
        if alternates:
            choices += [name for name in limiter.alternates("") if name in limiters]
        delay = backoff(rng, tries, size, limiter.retry_after_ms() / 1000)
        later = now + ROUND_TRIP_SECONDS + delay
        heapq.heappush(queue, (later, number, rng.choice(choices), tries + 1))
    return last, requests / size, max(request_counts.values())


def main():
    limits = SnapshotLimitSettings()
    print(f"one server: {limits.per_second:g} a second, burst {limits.burst}")
    print("| nodes | backoff | alternates | all served s | requests a node | busiest |")
    print("| --- | --- | --- | --- | --- | --- |")
    backoffs = (
        ("full jitter", full_jitter),
        ("truncated exponential", truncated_exponential),
        ("stated by the server", server_stated),
    )
    for size in SIZES:
        for alternates in (False, True):
            for name, backoff in backoffs:
                last, requests, busiest = run(size, backoff, alternates)
                mark = "yes" if alternates else "no"
                print(
                    f"| {size} | {name} | {mark} | {last:.1f} | {requests:.1f} | "
                    f"{busiest} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
