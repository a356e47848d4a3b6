"""Compares the prices of two fleetbench scores, from their journal entries.

A price is a kind of use or loss that a score charges for, with its amount and worth.

``python -m bench.prices journal/FIRST.json journal/LAST.json`` prints a Markdown table
with each price's mean worth per day and its use per thousand machine-seconds. Use is
not given per request, because an entry holds no count of requests; both scores play
the same days.
"""

import json
import sys
from pathlib import Path

PER_SECONDS = 1000
MACHINES = "machine-seconds"
NAMES = {
    "processor seconds": "processor s",
    "memory, GB x seconds": "memory, GB s",
    "GB between zones": "GB between zones",
    "probes and requests without id": "probes",
    "new connections to servers": "new connections",
    "cloud calls": "calls to the store",
    "worth refused again": "refused again",
    "worth held to the end or ended falsely, untried": "held untried",
}


def read_days(path):
    """Return the amount used and the worth by price, for a score's standard days."""
    entry = json.loads(Path(path).read_text())
    days = {}
    for day in entry["days"]:
        if day["name"].startswith("fresh"):
            continue
        days[day["name"]] = {row[0]: row[1:] for row in day["prices"]}
    return days


def total(days, price):
    """Return a price's use per thousand machine-seconds and its mean worth per day."""
    seconds = sum(prices[MACHINES][0] for prices in days.values())
    rows = [prices.get(price, (0.0, 0.0)) for prices in days.values()]
    used = sum(amount for amount, _ in rows) / seconds * PER_SECONDS
    return used, sum(worth for _, worth in rows) / len(rows)


def main():
    """Print the table."""
    first, last = (read_days(path) for path in sys.argv[1:3])
    print("| price | first, per 1,000 | last, per 1,000 | first, worth | last, worth |")
    print("| --- | --- | --- | --- | --- |")
    for price, name in NAMES.items():
        (used, worth), (used_now, worth_now) = total(first, price), total(last, price)
        print(
            f"| {name} | {used:.4g} | {used_now:.4g} | {worth:.4f} | {worth_now:.4f} |"
        )


if __name__ == "__main__":
    main()
