"""Two requests with one key; keepers crash and are replaced by racing changers.

A request runs once a majority of the keepers of an epoch granted it. Changers seal a
majority of the old keepers, copy what those hold to the new ones, and swap the map.
Claims made with the old map may come at any time; a crashed keeper forgets all. One
changer is enough to catch each mutant, and keeps their state spaces small.
"""

from typing import NamedTuple

from minicheck import Protocol

REQUESTS = (0, 1)
CHANGERS = (0, 1)
KEEPERS = (0, 1, 2, 3)
OLD, NEW = 1, 2
OLD_SET = frozenset({0, 1, 2})
MAJORITY = 2
NOTHING = -1
MUTANTS = (
    "one grant is enough",
    "no seal",
    "nothing is copied",
    "unready keepers serve",
)


class ReplicaState(NamedTuple):
    """A keeper: whether it runs, its epoch, its seal, whom it granted, its copies."""

    alive: bool = True
    epoch: int = OLD
    sealed: bool = False
    granted: int = NOTHING
    copies: tuple = (None, None)


class RequestState(NamedTuple):
    """A request: the epoch of the map it claims by, its grants, whether it runs."""

    epoch: int = 0
    grants: frozenset = frozenset()
    runs: bool = False


class ReconfigurerState(NamedTuple):
    """A changer: its phase, who answered, what the sealed keepers held."""

    phase: str = "idle"
    answered: frozenset = frozenset()
    held: int = NOTHING
    wanted: frozenset = frozenset()


class State(NamedTuple):
    """The map's epoch, keepers and changer; the processes."""

    epoch: int
    members: frozenset
    changer: int
    keepers: tuple
    requests: tuple
    changers: tuple


INITIAL = State(
    OLD,
    OLD_SET,
    NOTHING,
    tuple(ReplicaState(epoch=OLD if k in OLD_SET else 0) for k in KEEPERS),
    (RequestState(), RequestState()),
    (ReconfigurerState(), ReconfigurerState()),
)


def make_spec(mutant=""):
    """Return the specification, perhaps with one rule broken."""
    return Protocol(
        name="keys",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: list(_transitions(State(*state), mutant)),
        invariants={"a key runs at most once": _runs_once},
    )


def _transitions(state, mutant):
    if all(keeper.alive for keeper in state.keepers):
        for k in OLD_SET:
            gone = ReplicaState(alive=False, epoch=0)
            yield f"keeper {k} crashes", tuple(_with_keeper(state, k, gone))
    for r in REQUESTS:
        yield from _request_steps(state, r, mutant)
    for c in CHANGERS[:1] if mutant else CHANGERS:
        yield from _changer_steps(state, c, mutant)
    yield from _activations(state, mutant)


def _request_steps(state, r, mutant):
    request = state.requests[r]
    if not request.epoch:
        for epoch in {OLD, state.epoch}:
            after = request._replace(epoch=epoch)
            yield f"request {r} claims", tuple(_with_request(state, r, after))
        return
    if request.runs:
        return
    members = OLD_SET if request.epoch == OLD else state.members
    for k in members - request.grants:
        keeper = state.keepers[k]
        serves = keeper.alive and keeper.epoch == request.epoch and not keeper.sealed
        if not serves or keeper.granted not in (NOTHING, r):
            continue
        grants = request.grants | {k}
        needed = 1 if mutant == "one grant is enough" else MAJORITY
        after = request._replace(grants=grants, runs=len(grants) >= needed)
        granted = _with_keeper(state, k, keeper._replace(granted=r))
        yield f"keeper {k} grants {r}", tuple(_with_request(granted, r, after))


def _changer_steps(state, c, mutant):
    changer = state.changers[c]
    dead = {k for k in OLD_SET if not state.keepers[k].alive}
    match changer.phase:
        case "idle" if dead and state.epoch == OLD:
            wanted = (OLD_SET - dead) | {3}
            after = changer._replace(phase="sealing", wanted=wanted)
            yield f"changer {c} begins", tuple(_with_changer(state, c, after))
        case "sealing":
            yield from _seal(state, c, changer, mutant)
        case "copying":
            yield from _copy(state, c, changer, mutant)
        case "swapping" if state.epoch == OLD:
            done = _with_changer(state, c, changer._replace(phase="done"))
            swapped = done._replace(epoch=NEW, members=changer.wanted, changer=c)
            yield f"changer {c} swaps the map", tuple(swapped)


def _seal(state, c, changer, mutant):
    if len(changer.answered) >= MAJORITY:
        after = changer._replace(phase="copying", answered=frozenset())
        yield f"changer {c} copies", tuple(_with_changer(state, c, after))
        return
    for k in OLD_SET - changer.answered:
        keeper = state.keepers[k]
        if not keeper.alive or keeper.epoch != OLD:
            continue
        sealed = keeper._replace(sealed=mutant != "no seal")
        held = keeper.granted if changer.held == NOTHING else changer.held
        after = changer._replace(answered=changer.answered | {k}, held=held)
        moved = _with_keeper(state, k, sealed)
        yield f"keeper {k} seals for {c}", tuple(_with_changer(moved, c, after))


def _copy(state, c, changer, mutant):
    needed = 0 if mutant == "unready keepers serve" else MAJORITY
    if len(changer.answered) >= needed:
        after = changer._replace(phase="swapping")
        yield f"changer {c} is ready", tuple(_with_changer(state, c, after))
        return
    for k in changer.wanted - changer.answered:
        keeper = state.keepers[k]
        if not keeper.alive:
            continue
        held = NOTHING if mutant == "nothing is copied" else changer.held
        copies = list(keeper.copies)
        copies[c] = held
        after = changer._replace(answered=changer.answered | {k})
        moved = _with_keeper(state, k, keeper._replace(copies=tuple(copies)))
        yield f"keeper {k} takes the copy of {c}", tuple(_with_changer(moved, c, after))


def _activations(state, mutant):
    if state.epoch != NEW:
        return
    for k in state.members:
        keeper = state.keepers[k]
        if not keeper.alive or keeper.epoch == NEW:
            continue
        copy = keeper.copies[state.changer]
        if mutant == "unready keepers serve" and copy is None:
            copy = NOTHING
        if copy is None:
            continue
        active = ReplicaState(True, NEW, False, copy, keeper.copies)
        yield f"keeper {k} serves the new epoch", tuple(_with_keeper(state, k, active))


def _with_keeper(state, index, value):
    return state._replace(keepers=_put(state.keepers, index, value))


def _with_request(state, index, value):
    return state._replace(requests=_put(state.requests, index, value))


def _with_changer(state, index, value):
    return state._replace(changers=_put(state.changers, index, value))


def _put(values, index, value):
    changed = list(values)
    changed[index] = value
    return tuple(changed)


def _runs_once(state):
    return sum(request.runs for request in state["requests"]) <= 1
