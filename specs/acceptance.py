"""Two planners accept at once; answers are lost and swaps land late or twice.

A swap is a message that stays in the network: it may land at any later time, any
number of times. A planner that hears nothing settles by reading.
"""

from typing import NamedTuple

from minicheck import Protocol

PLANNERS = (0, 1)
NOBODY = -1
MAX_SENDS = 2
MAX_LANDED = 4
MUTANTS = ("no archive", "no compare", "lost means conflict", "head alone settles")


class Planner(NamedTuple):
    """A planner's phase, and the head that it read."""

    phase: str = "idle"
    base: int = 0
    base_id: int = NOBODY
    sends: int = 0


class State(NamedTuple):
    """The head, what was ever head, the archive, the swaps in the network."""

    head: int
    head_id: int
    log: tuple
    archive: frozenset
    swaps: frozenset
    planners: tuple


INITIAL = State(0, NOBODY, (), frozenset(), frozenset(), (Planner(), Planner()))


def make_spec(mutant=""):
    """Return the specification, perhaps with one rule broken."""
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
        yield f"swap {swap} lands", tuple(_land(state, swap, mutant))
    for who in PLANNERS:
        for label, after in _planner_steps(state, who, mutant):
            yield f"planner {who} {label}", tuple(after)


def _land(state, swap, mutant):
    """Apply a swap to the head, if its base is still the head."""
    who, base = swap
    if state.head != base and mutant != "no compare":
        return state
    if len(state.log) >= MAX_LANDED:
        return state
    number = base + 1
    log = (*state.log, who)
    return state._replace(head=number, head_id=who, log=log)


def _planner_steps(state, who, mutant):
    planner = state.planners[who]

    def put(**changes):
        planners = list(state.planners)
        planners[who] = planner._replace(**changes)
        return state._replace(planners=tuple(planners))

    match planner.phase:
        case "idle":
            after = put(phase="read", base=state.head, base_id=state.head_id)
            yield "reads the head", after
        case "read":
            after = put(phase="archived")
            if planner.base and mutant != "no archive":
                entry = (planner.base, planner.base_id)
                after = after._replace(archive=state.archive | {entry})
            yield "archives the head", after
        case "archived":
            if planner.sends < MAX_SENDS:
                after = put(phase="sent", sends=planner.sends + 1)
                swaps = state.swaps | {(who, planner.base)}
                yield "sends its swap", after._replace(swaps=swaps)
        case "sent":
            if mutant == "lost means conflict":
                yield "gives up on a lost answer", put(phase="conflict")
            yield "settles", put(phase=_settle(state, who, planner, mutant))


def _settle(state, who, planner, mutant):
    """Return the phase that reading leads to."""
    if state.head_id == who:
        return "accepted"
    if state.head == planner.base:
        return "archived"
    archived = (planner.base + 1, who) in state.archive
    if archived and mutant != "head alone settles":
        return "accepted"
    return "conflict"


def _no_false_conflict(state):
    return all(
        planner.phase != "conflict" or who not in state["log"]
        for who, planner in enumerate(state["planners"])
    )


def _no_false_acceptance(state):
    return all(
        planner.phase != "accepted" or who in state["log"]
        for who, planner in enumerate(state["planners"])
    )


def _one_content(state):
    return state["head"] == len(state["log"])
