"""Quarantine of one content that two services request, of which each may be poisonous.

Two nodes, each beside a server, count the crashes that they know of by the caller whose
request ran. A strike counts against both callers until the other one's request is
answered. A caller that no crash needs to be explained is tried at once; other trials
are limited. The node that tries is chosen by the number of all crashes, and tries one
request at a time. Runs begin once the news of the last crash has arrived, and trials
once the runs of before it have ended: both take far less than the time in which the
rule counts none. Several runs may begin at one moment.

:mod:`specs.quarantine` has what this one leaves out: rejections, and crashes for
another reason.
"""

from typing import NamedTuple

from minicheck import Protocol

NODES = (0, 1)
CALLERS = (0, 1)
CRASH_LIMIT = 3
MAX_TRIALS = 2
# Runs after the third crash that are allowed.
MAX_RETRIES = 3
# Bounds the mutants: all servers may run the request when the third crash comes.
MAX_CRASHES = CRASH_LIMIT + len(NODES) + MAX_RETRIES
UNDECIDED, POISONOUS, POISONOUS_FOR_FIRST = "undecided", "poisonous", "for the first"
MUTANTS = (
    "an answer pardons all callers",
    "each caller counts alone",
    "every node tries another caller",
)


class Run(NamedTuple):
    """A run of the request at a server.

    :param crashes: number of crashes when it began.
    """

    caller: int
    crashes: int

    @property
    def is_late(self):
        """Return whether it began after the third crash."""
        return self.crashes >= CRASH_LIMIT


class State(NamedTuple):
    """State of the model.

    :param kind: whose requests crash servers.
    :param crashes: crashes by requests of each caller.
    :param known: for each node the crashes that it knows of, by caller.
    :param runs: what each server runs, None for nothing.
    :param retries: crashes by runs that began after the third crash.
    :param is_answered: whether the second caller's request was answered after a crash.
    :param is_served_late: whether it was answered after the third crash.
    """

    kind: str = UNDECIDED
    crashes: tuple = (0, 0)
    known: tuple = ((0, 0),) * len(NODES)
    runs: tuple = (None,) * len(NODES)
    retries: int = 0
    is_answered: bool = False
    is_served_late: bool = False


def make_spec(mutant=""):
    """Return the specification.

    :param mutant: the rule to break, one of :data:`MUTANTS`; empty for none.
    """
    return Protocol(
        name="callers",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda state: list(_transitions(State(*state), mutant)),
        invariants={"a poisonous request stays contained": _is_contained},
        goal=_is_served,
    )


def _transitions(state, mutant):
    if state.kind == UNDECIDED:
        for kind in (POISONOUS, POISONOUS_FOR_FIRST):
            yield f"the request is poisonous, {kind}", tuple(state._replace(kind=kind))
        return
    if sum(state.crashes) == MAX_CRASHES:
        return
    for node in NODES:
        if state.known[node] != state.crashes:
            known = _set(state.known, node, state.crashes)
            yield f"news arrives at {node}", tuple(state._replace(known=known))
        if state.runs[node] is not None:
            yield _end(state, node)
            continue
        for caller in CALLERS:
            if _may_run(state, node, caller, mutant):
                yield f"{node} runs it for {caller}", tuple(_start(state, node, caller))


def _may_run(state, node, caller, mutant):
    known = state.known[node]
    if known != state.crashes:
        return False
    counted = _count(state, node, caller, mutant)
    if counted < CRASH_LIMIT:
        return True
    if any(run is not None and run.crashes < sum(known) for run in state.runs):
        return False
    is_chosen = sum(known) % len(NODES) == node
    if not known[caller]:
        return is_chosen or mutant == "every node tries another caller"
    return is_chosen and counted - CRASH_LIMIT < MAX_TRIALS


def _count(state, node, caller, mutant):
    """Return the crashes that a node counts against a caller's request."""
    own, other = state.known[node][caller], state.known[node][1 - caller]
    if mutant == "an answer pardons all callers" and state.is_answered:
        return 0
    is_bound = caller == 1 and state.is_answered
    if is_bound or mutant == "each caller counts alone":
        return own
    return own + other


def _start(state, node, caller):
    run = Run(caller, sum(state.crashes))
    return state._replace(runs=_set(state.runs, node, run))


def _end(state, node):
    run = state.runs[node]
    idle = state._replace(runs=_set(state.runs, node, None))
    if state.kind == POISONOUS_FOR_FIRST and run.caller == 1:
        answered = idle._replace(
            is_answered=state.is_answered or sum(state.crashes) > 0,
            is_served_late=state.is_served_late or run.is_late,
        )
        return f"{node} answers it", tuple(answered)
    crashes = _set(state.crashes, run.caller, state.crashes[run.caller] + 1)
    own = state.known[node]
    known = _set(state.known, node, _set(own, run.caller, own[run.caller] + 1))
    retries = state.retries + run.is_late
    crashed = idle._replace(crashes=crashes, known=known, retries=retries)
    return f"{node}'s server crashes", tuple(crashed)


def _set(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def _is_contained(state):
    return state["retries"] <= MAX_RETRIES


def _is_served(state):
    return state["kind"] == POISONOUS or state["is_served_late"]
