"""Idempotency keys: two requests with one key, and replicas that crash.

A request runs as soon as a majority of an epoch's replicas have granted its claim.
Competing reconfigurers replace a crashed replica: they seal a majority of the old
replicas, copy the records of those to the new ones and swap the map. Claims made with
the old map can arrive at any time; a crashed replica loses its records. Mutants are
checked with one reconfigurer, which is enough to catch each of them, in a smaller state
space.
"""

from typing import NamedTuple

from minicheck import Protocol

REQUESTS = (0, 1)
RECONFIGURERS = (0, 1)
REPLICAS = (0, 1, 2, 3)
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
    """State of a replica.

    :param epoch: epoch that it serves, 0 for none.
    :param sealed: whether it refuses further grants in its epoch.
    :param granted: request that it granted the key to.
    :param copies: record received from each reconfigurer, None if none was received.
    """

    alive: bool = True
    epoch: int = OLD
    sealed: bool = False
    granted: int = NOTHING
    copies: tuple = (None, None)


class RequestState(NamedTuple):
    """State of a request.

    :param epoch: epoch of the map that it claims with, 0 before it claims.
    :param grants: replicas that granted its claim.
    """

    epoch: int = 0
    grants: frozenset = frozenset()
    runs: bool = False


class ReconfigurerState(NamedTuple):
    """State of a reconfigurer.

    :param answered: replicas that answered in this phase.
    :param held: request that the sealed replicas had granted the key to.
    :param wanted: replicas of the new epoch.
    """

    phase: str = "idle"
    answered: frozenset = frozenset()
    held: int = NOTHING
    wanted: frozenset = frozenset()


class State(NamedTuple):
    """State of the model.

    :param epoch: epoch of the map.
    :param members: replicas in the map.
    :param reconfigurer: the one that swapped the map.
    """

    epoch: int
    members: frozenset
    reconfigurer: int
    replicas: tuple
    requests: tuple
    reconfigurers: tuple


INITIAL = State(
    OLD,
    OLD_SET,
    NOTHING,
    tuple(ReplicaState(epoch=OLD if k in OLD_SET else 0) for k in REPLICAS),
    (RequestState(), RequestState()),
    (ReconfigurerState(), ReconfigurerState()),
)


def make_spec(mutant=""):
    """Return the specification.

    :param mutant: the rule to break, one of :data:`MUTANTS`; empty for none.
    """
    return Protocol(
        name="keys",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: list(_transitions(State(*state), mutant)),
        invariants={"a key runs at most once": _runs_once},
    )


def _transitions(state, mutant):
    if all(replica.alive for replica in state.replicas):
        for k in OLD_SET:
            crashed = ReplicaState(alive=False, epoch=0)
            yield f"replica {k} crashes", tuple(_with_replica(state, k, crashed))
    for r in REQUESTS:
        yield from _request_steps(state, r, mutant)
    for c in RECONFIGURERS[:1] if mutant else RECONFIGURERS:
        yield from _reconfigurer_steps(state, c, mutant)
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
        replica = state.replicas[k]
        serves = replica.alive and replica.epoch == request.epoch and not replica.sealed
        if not serves or replica.granted not in (NOTHING, r):
            continue
        grants = request.grants | {k}
        needed = 1 if mutant == "one grant is enough" else MAJORITY
        after = request._replace(grants=grants, runs=len(grants) >= needed)
        granted = _with_replica(state, k, replica._replace(granted=r))
        yield f"replica {k} grants {r}", tuple(_with_request(granted, r, after))


def _reconfigurer_steps(state, c, mutant):
    reconfigurer = state.reconfigurers[c]
    dead = {k for k in OLD_SET if not state.replicas[k].alive}
    match reconfigurer.phase:
        case "idle" if dead and state.epoch == OLD:
            wanted = (OLD_SET - dead) | {3}
            after = reconfigurer._replace(phase="sealing", wanted=wanted)
            yield f"reconfigurer {c} begins", tuple(_with_reconfigurer(state, c, after))
        case "sealing":
            yield from _seal(state, c, reconfigurer, mutant)
        case "copying":
            yield from _copy(state, c, reconfigurer, mutant)
        case "swapping" if state.epoch == OLD:
            done = _with_reconfigurer(state, c, reconfigurer._replace(phase="done"))
            swapped = done._replace(
                epoch=NEW, members=reconfigurer.wanted, reconfigurer=c
            )
            yield f"reconfigurer {c} swaps the map", tuple(swapped)


def _seal(state, c, reconfigurer, mutant):
    if len(reconfigurer.answered) >= MAJORITY:
        after = reconfigurer._replace(phase="copying", answered=frozenset())
        yield f"reconfigurer {c} copies", tuple(_with_reconfigurer(state, c, after))
        return
    for k in OLD_SET - reconfigurer.answered:
        replica = state.replicas[k]
        if not replica.alive or replica.epoch != OLD:
            continue
        sealed = replica._replace(sealed=mutant != "no seal")
        held = replica.granted if reconfigurer.held == NOTHING else reconfigurer.held
        after = reconfigurer._replace(answered=reconfigurer.answered | {k}, held=held)
        moved = _with_replica(state, k, sealed)
        yield f"replica {k} seals for {c}", tuple(_with_reconfigurer(moved, c, after))


def _copy(state, c, reconfigurer, mutant):
    needed = 0 if mutant == "unready keepers serve" else MAJORITY
    if len(reconfigurer.answered) >= needed:
        after = reconfigurer._replace(phase="swapping")
        yield f"reconfigurer {c} is ready", tuple(_with_reconfigurer(state, c, after))
        return
    for k in reconfigurer.wanted - reconfigurer.answered:
        replica = state.replicas[k]
        if not replica.alive:
            continue
        held = NOTHING if mutant == "nothing is copied" else reconfigurer.held
        copies = list(replica.copies)
        copies[c] = held
        after = reconfigurer._replace(answered=reconfigurer.answered | {k})
        moved = _with_replica(state, k, replica._replace(copies=tuple(copies)))
        yield (
            f"replica {k} takes the copy of {c}",
            tuple(_with_reconfigurer(moved, c, after)),
        )


def _activations(state, mutant):
    if state.epoch != NEW:
        return
    for k in state.members:
        replica = state.replicas[k]
        if not replica.alive or replica.epoch == NEW:
            continue
        copy = replica.copies[state.reconfigurer]
        if mutant == "unready keepers serve" and copy is None:
            copy = NOTHING
        if copy is None:
            continue
        active = ReplicaState(True, NEW, False, copy, replica.copies)
        yield (
            f"replica {k} serves the new epoch",
            tuple(_with_replica(state, k, active)),
        )


def _with_replica(state, index, value):
    return state._replace(replicas=_replace_at(state.replicas, index, value))


def _with_request(state, index, value):
    return state._replace(requests=_replace_at(state.requests, index, value))


def _with_reconfigurer(state, index, value):
    return state._replace(reconfigurers=_replace_at(state.reconfigurers, index, value))


def _replace_at(values, index, value):
    changed = list(values)
    changed[index] = value
    return tuple(changed)


def _runs_once(state):
    return sum(request.runs for request in state["requests"]) <= 1
