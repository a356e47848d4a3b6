"""Acceptance: two concurrent planners, lost answers, delayed and repeated swaps.

A compare-and-swap of the head is a message that stays in the network, so it can be
applied at any later time, any number of times. A planner that gets no answer
determines the outcome by reading.
"""

from typing import NamedTuple

from minicheck import Protocol

PLANNERS = (0, 1)
NO_PLANNER = -1
MAX_SENDS = 2
MAX_APPLIED_SWAPS = 4
MUTANTS = ("no archive", "no compare", "lost means conflict", "head alone settles")


class Planner(NamedTuple):
    """State of a planner.

    :param base: version number of the head that it read.
    :param base_id: planner of that head.
    :param sends: number of swaps that it sent.
    """

    phase: str = "idle"
    base: int = 0
    base_id: int = NO_PLANNER
    sends: int = 0


class State(NamedTuple):
    """State of the model.

    :param head: version number of the head.
    :param head_id: planner of the head.
    :param log: planners of all versions that became the head, in order.
    :param archive: pairs of version number and planner that were archived.
    :param swaps: pairs of planner and base that were sent; none is ever removed.
    """

    head: int
    head_id: int
    log: tuple
    archive: frozenset
    swaps: frozenset
    planners: tuple


INITIAL = State(0, NO_PLANNER, (), frozenset(), frozenset(), (Planner(), Planner()))


def make_spec(mutant=""):
    """Return the specification.

    :param mutant: the rule to break, one of :data:`MUTANTS`; empty for none.
    """
    return Protocol(
        name="acceptance",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: list(_transitions(State(*state), mutant)),
        invariants={
            "a conflict was never accepted": _no_false_conflict,
            "an acceptance is in the log": _no_false_acceptance,
            "each number has one content": _one_content,
        },
    )


def _transitions(state, mutant):
    for swap in state.swaps:
        yield f"swap {swap} is applied", tuple(_apply_swap(state, swap, mutant))
    for planner_id in PLANNERS:
        for label, after in _planner_steps(state, planner_id, mutant):
            yield f"planner {planner_id} {label}", tuple(after)


def _apply_swap(state, swap, mutant):
    """Apply a swap if its base is still the head."""
    planner_id, base = swap
    if state.head != base and mutant != "no compare":
        return state
    if len(state.log) >= MAX_APPLIED_SWAPS:
        return state
    number = base + 1
    log = (*state.log, planner_id)
    return state._replace(head=number, head_id=planner_id, log=log)


def _planner_steps(state, planner_id, mutant):
    planner = state.planners[planner_id]

    def update(**changes):
        planners = list(state.planners)
        planners[planner_id] = planner._replace(**changes)
        return state._replace(planners=tuple(planners))

    match planner.phase:
        case "idle":
            after = update(phase="read", base=state.head, base_id=state.head_id)
            yield "reads the head", after
        case "read":
            after = update(phase="archived")
            if planner.base and mutant != "no archive":
                entry = (planner.base, planner.base_id)
                after = after._replace(archive=state.archive | {entry})
            yield "archives the head", after
        case "archived":
            if planner.sends < MAX_SENDS:
                after = update(phase="sent", sends=planner.sends + 1)
                swaps = state.swaps | {(planner_id, planner.base)}
                yield "sends its swap", after._replace(swaps=swaps)
        case "sent":
            if mutant == "lost means conflict":
                yield "gives up on a lost answer", update(phase="conflict")
            yield (
                "settles",
                update(phase=_determine_phase(state, planner_id, planner, mutant)),
            )


def _determine_phase(state, planner_id, planner, mutant):
    """Return the planner's phase after it reads the head and the archive."""
    if state.head_id == planner_id:
        return "accepted"
    if state.head == planner.base:
        return "archived"
    archived = (planner.base + 1, planner_id) in state.archive
    if archived and mutant != "head alone settles":
        return "accepted"
    return "conflict"


def _no_false_conflict(state):
    return all(
        planner.phase != "conflict" or planner_id not in state["log"]
        for planner_id, planner in enumerate(state["planners"])
    )


def _no_false_acceptance(state):
    return all(
        planner.phase != "accepted" or planner_id in state["log"]
        for planner_id, planner in enumerate(state["planners"])
    )


def _one_content(state):
    return state["head"] == len(state["log"])
