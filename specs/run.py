"""Runs the model checker on a specification."""

from typing import NamedTuple

from minicheck import check_liveness, check_safety

from specs import (
    acceptance,
    callers,
    distribution,
    keys,
    membership,
    quarantine,
    quota,
    store_era,
)

ALL_SPECS = (
    acceptance,
    distribution,
    membership,
    keys,
    store_era,
    quota,
    quarantine,
    callers,
)
MAX_STATES = 400_000


class CheckResult(NamedTuple):
    """Result of the model checker.

    :param states: number of reachable states.
    :param exhaustive: whether all reachable states were explored.
    :param violated: violated invariant with the shortest counterexample, or empty.
    :param steps: length of that counterexample.
    :param liveness_failure: report of the failed liveness check, or empty.
    """

    states: int
    exhaustive: bool
    violated: str
    steps: int
    liveness_failure: str


def explore(module, mutant=""):
    """Check a specification; the liveness check is skipped for mutants.

    :param module: module of the specification.
    :param mutant: mutant to check in its place; empty for none.
    """
    spec = module.make_spec(mutant)
    report = check_safety(spec, MAX_STATES)
    violated_invariant, steps = "", 0
    for name, found in report["properties"].items():
        if found["holds"] is not False:
            continue
        length = len(found["counterexample"]) - 1
        if not violated_invariant or length < steps:
            violated_invariant, steps = name, length
    liveness_report = ""
    if spec.goal is not None and not mutant:
        liveness = check_liveness(spec)
        liveness_report = "" if liveness.get("holds") else str(liveness)[:200]
    return CheckResult(
        report["reachable_states"],
        report["exhaustive"],
        violated_invariant,
        steps,
        liveness_report,
    )
