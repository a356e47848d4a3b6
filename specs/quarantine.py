"""Quarantine: a request that crashes servers, or one that was there when they crashed.

Three nodes, each beside a server, count the crashes that they know of. A request runs
at a node that knows of fewer crashes than the limit; then only as a trial, at the node
that the number of crashes chooses. News of a crash arrives at any time; one's own is
known at once. A server may reject a request without running it. Servers also crash for
another reason, all at the same moment; what is in flight then counts one crash.

Strikes do not expire here, and servers crash for another reason at most so often that a
trial is left.
"""

from typing import NamedTuple

from minicheck import Protocol

NODES = (0, 1, 2)
CRASH_LIMIT = 3
MAX_TRIALS = 2
# Runs after the third crash that are allowed.
MAX_RETRIES = 3
# Bounds the mutants.
MAX_CRASHES = CRASH_LIMIT + MAX_RETRIES + 1
MAX_FAILURES = CRASH_LIMIT + MAX_TRIALS - 1
UNDECIDED, POISONOUS, SOUND = "undecided", "poisonous", "sound"
# A late run began after the third crash.
IDLE, RUNNING, LATE = 0, 1, 2
MUTANTS = ("every node tries", "trials without end", "a rejection pardons")


class State(NamedTuple):
    """State of the model.

    :param kind: whether the request crashes servers.
    :param crashes: crashes that count against it.
    :param known: crashes that each node knows of.
    :param runs: what each server does with the request.
    :param retries: crashes by runs that began after the third crash.
    :param failures: how often servers have crashed for another reason.
    """

    kind: str = UNDECIDED
    crashes: int = 0
    known: tuple = (0, 0, 0)
    runs: tuple = (IDLE, IDLE, IDLE)
    retries: int = 0
    failures: int = 0
    is_pardoned: bool = False


def make_spec(mutant=""):
    """Return the specification.

    :param mutant: the rule to break, one of :data:`MUTANTS`; empty for none.
    """
    return Protocol(
        name="quarantine",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda state: list(_transitions(State(*state), mutant)),
        invariants={
            "a poisonous request stays contained": _is_contained,
            "a poisonous request is never pardoned": _is_not_pardoned,
        },
        goal=_is_served,
    )


def _transitions(state, mutant):
    if state.kind == UNDECIDED:
        for kind in (POISONOUS, SOUND):
            yield f"the request is {kind}", tuple(state._replace(kind=kind))
        return
    if state.crashes == MAX_CRASHES:
        return
    if state.kind == SOUND and any(state.runs) and state.failures < MAX_FAILURES:
        yield "servers crash for another reason", tuple(_fail(state))
    for node in NODES:
        if state.known[node] < state.crashes:
            known = _set(state.known, node, state.crashes)
            yield f"news arrives at {node}", tuple(state._replace(known=known))
        if state.runs[node]:
            yield from _end(state, node, mutant)
        else:
            yield from _begin(state, node, mutant)


def _begin(state, node, mutant):
    if state.is_pardoned or state.known[node] < CRASH_LIMIT:
        # A request that comes later than the news of the last crash.
        if state.known[node] == state.crashes:
            yield f"{node} runs it", tuple(_start(state, node))
        return
    trials = state.known[node] - CRASH_LIMIT
    has_trial_left = trials < MAX_TRIALS or mutant == "trials without end"
    is_chosen = trials % len(NODES) == node or mutant == "every node tries"
    if has_trial_left and is_chosen:
        yield f"{node} tries it", tuple(_start(state, node))


def _end(state, node, mutant):
    idle = state._replace(runs=_set(state.runs, node, IDLE))
    is_pardoned = idle.is_pardoned or mutant == "a rejection pardons"
    yield f"{node}'s server rejects it", tuple(idle._replace(is_pardoned=is_pardoned))
    if state.kind == SOUND:
        yield f"{node} answers it", tuple(idle._replace(is_pardoned=True))
        return
    crashes = state.crashes + 1
    known = _set(state.known, node, crashes)
    retries = state.retries + (state.runs[node] == LATE)
    crashed = idle._replace(crashes=crashes, known=known, retries=retries)
    yield f"{node}'s server crashes", tuple(crashed)


def _fail(state):
    """Crash all servers that run the request; the crashes count once."""
    crashes = state.crashes + 1
    known = tuple(
        crashes if run else number
        for run, number in zip(state.runs, state.known, strict=True)
    )
    runs = (IDLE,) * len(NODES)
    failures = state.failures + 1
    return state._replace(crashes=crashes, known=known, runs=runs, failures=failures)


def _start(state, node):
    run = LATE if state.crashes >= CRASH_LIMIT else RUNNING
    return state._replace(runs=_set(state.runs, node, run))


def _set(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def _is_contained(state):
    return state["retries"] <= MAX_RETRIES


def _is_not_pardoned(state):
    return state["kind"] != POISONOUS or not state["is_pardoned"]


def _is_served(state):
    return state["kind"] == POISONOUS or state["is_pardoned"]
