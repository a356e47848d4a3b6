"""Makes a random variant of a fleetbench site file.

Running the variant shows how the code does on a deployment that it was not tuned for.
``python -m bench.site_variant SITE OUT --seed 3`` writes a site with other slots,
queues, speeds, delays, heartbeats, cores, links and rates, drawn from the seed. Its
days are unchanged; ``fleetbench run OUT DAY`` runs them. No part of the site file is
stored in this repository.
"""

import random
import re
import shutil
from pathlib import Path
from typing import Annotated

import typer

# Fields of the site file, with the range of the factor that scales their values.
SCALED = {
    "cpu_share": (0.5, 1.0),
    "link_mbps": (0.02, 1.0),
    "cross_zone_ms": (0.5, 8.0),
    "client_ms": (0.3, 3.0),
    "beat_ms": (0.6, 1.6),
    "per_s": (0.6, 1.0),
    "retry_slack": (0.6, 1.2),
}
# Fields that hold whole numbers, and the numbers from which theirs are drawn.
CHOSEN = {
    "slots": (3, 4, 5, 8, 12),
    "queue": (4, 8, 30),
    "conn_cap": (40, 90, 300),
    "cold_s": (1.0, 5.0),
}


def scale_fields(text: str, rng: random.Random) -> str:
    """Return a site file with each field of :data:`SCALED` scaled by one factor.

    The factor is drawn once per field, for all its occurrences.
    """
    for name, (low, high) in SCALED.items():
        factor = rng.uniform(low, high)
        pattern = rf"\b{name} = ([0-9.]+)"
        text = re.sub(
            pattern,
            lambda found, n=name, f=factor: f"{n} = {float(found[1]) * f:.4g}",
            text,
        )
    return text


def choose_fields(text: str, rng: random.Random) -> str:
    """Return a site file with the fields of :data:`CHOSEN` drawn anew.

    Each occurrence of a field gets a value of its own.
    """
    for name, values in CHOSEN.items():
        text = re.sub(
            rf"\b{name} = [0-9.]+",
            lambda _, n=name, v=values: f"{n} = {rng.choice(v)}",
            text,
        )
    return text


def main(site: Path, out: Path, seed: Annotated[int, typer.Option()] = 1) -> None:
    """Write the variant, and copy the wire file that it refers to beside it."""
    rng = random.Random(seed)
    out.write_text(choose_fields(scale_fields(site.read_text(), rng), rng))
    shutil.copy(site.parent / "wire.json", out.parent / "wire.json")
    print(f"{out}: variant of {site.stem}, seed {seed}")


if __name__ == "__main__":
    typer.run(main)
