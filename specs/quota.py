"""Quotas: a node lends its share of a tenant's quota to one of two coordinators.

Datagrams arrive at any time, repeatedly or never, as with a frozen coordinator, a
cut-off zone or a lost message; a coordinator may have stated any time up to now, in a
reply that arrives now. The node and one coordinator are killed and start again. The
quota is lowered, and the holders learn of it one after another, in runs without a
restart. A share gives as many tokens in a tick as its depth, and a lease lasts for two
ticks. What cannot have an effect any more, as a message whose lease would have ended,
is left out of the state.

The excess is the level of a bucket that each request fills by one and that leaks at the
quota's rate: while it stays within the depth, every window is within its bound.
"""

from typing import NamedTuple

from minicheck import Protocol

COORDINATORS = (0, 1)
LEASE = 2
LAST_TICK = 5
FULL, LOWERED = 2, 1
MUTANTS = (
    "lease from its receipt",
    "no wait for the lease's end",
    "a share brings tokens",
    "tokens stay when a share leaves",
    "a start has full buckets",
    "a start does not wait",
    "a pool keeps its depth when the quota is lowered",
)


class Lender(NamedTuple):
    """The node that owns the share.

    :param coordinator: holds the share, -1 for none.
    :param usable_at: when the node may use or lend the share.
    """

    coordinator: int = -1
    usable_at: int = 0
    tokens: int = 0
    is_lowered: bool = False


class Coordinator(NamedTuple):
    """A coordinator with the share that was lent to it.

    :param process: number of its start.
    :param ends_at: end of its lease.
    """

    process: int = 0
    ends_at: int = 0
    tokens: int = 0
    is_lowered: bool = False


class State(NamedTuple):
    """State of the model.

    :param network: messages that lend, each with the coordinator, its process and the
        time that it stated.
    :param lowered_at: when all holders knew the lowered quota, -1 before.
    """

    now: int = 0
    lender: Lender = Lender()
    coordinators: tuple = (Coordinator(), Coordinator())
    network: frozenset = frozenset()
    excess: int = 0
    was_restarted: bool = False
    lowered_at: int = -1


def make_spec(mutant=""):
    """Return the specification.

    :param mutant: the rule to break, one of :data:`MUTANTS`; empty for none.
    """
    return Protocol(
        name="quota",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda state: [
            (label, tuple(after))
            for label, after in _transitions(State(*state), mutant)
        ],
        invariants={"no window is beyond its bound": _is_bounded},
        goal=None,
    )


def _transitions(state, mutant):
    if state.now < LAST_TICK:
        yield "time passes", _tick(state, mutant)
    yield from _admit(state)
    for number in COORDINATORS:
        for process in range(state.coordinators[number].process + 1):
            for time in range(state.now + 1):
                if _is_void(state, number, process, time, mutant):
                    continue
                yield from _lend(state, number, process, time, mutant)
    for number, process, time in state.network:
        yield from _receive(state, number, process, time, mutant)
    yield from _restart(state, mutant)
    yield from _lower(state)


def _is_void(state, number, process, time, mutant):
    """Return whether a message can have no effect any more."""
    if process != state.coordinators[number].process:
        return True
    # The mutant takes a message at any time; one tick is enough to break the bound.
    late = 1 if mutant == "lease from its receipt" else 0
    return time + LEASE + late <= state.now


def _tick(state, mutant):
    now = state.now + 1
    lender = state.lender
    if lender.coordinator < 0 and state.now >= lender.usable_at:
        lender = lender._replace(tokens=_depth(lender))
    if lender.coordinator >= 0 and now >= lender.usable_at:
        lender = lender._replace(coordinator=-1)
    if now >= lender.usable_at:
        lender = lender._replace(usable_at=0)
    coordinators = []
    for coordinator in state.coordinators:
        if coordinator.ends_at > state.now:
            keeps_depth = mutant == "a pool keeps its depth when the quota is lowered"
            depth = FULL if keeps_depth else _depth(coordinator)
            coordinator = coordinator._replace(tokens=depth)
        if coordinator.ends_at <= now and mutant != "tokens stay when a share leaves":
            coordinator = coordinator._replace(tokens=0)
        if coordinator.ends_at <= now:
            coordinator = coordinator._replace(ends_at=0)
        coordinators.append(coordinator)
    excess = max(0, state.excess - (LOWERED if _is_strict(state) else FULL))
    if 0 <= state.lowered_at == state.now:
        # The lowered quota binds from here.
        excess = 0
    after = state._replace(
        now=now, lender=lender, coordinators=tuple(coordinators), excess=excess
    )
    network = (m for m in state.network if not _is_void(after, *m, mutant))
    return after._replace(network=frozenset(network))


def _admit(state):
    excess = state.excess + 1
    lender = state.lender
    if lender.tokens:
        after = lender._replace(tokens=lender.tokens - 1)
        yield "the node admits", state._replace(lender=after, excess=excess)
    for number, coordinator in enumerate(state.coordinators):
        if coordinator.tokens:
            after = coordinator._replace(tokens=coordinator.tokens - 1)
            coordinators = _replace_at(state.coordinators, number, after)
            yield (
                f"coordinator {number} admits",
                state._replace(coordinators=coordinators, excess=excess),
            )


def _lend(state, number, process, time, mutant):
    """Lend, or renew, after a reply in which the coordinator stated its time."""
    lender = state.lender
    is_renewal = lender.coordinator == number
    is_free = lender.coordinator < 0 and state.now >= lender.usable_at
    if mutant == "no wait for the lease's end":
        is_free = is_free or lender.coordinator >= 0
    if not is_renewal and not is_free:
        return
    after = lender._replace(coordinator=number, usable_at=state.now + LEASE, tokens=0)
    network = state.network | {(number, process, time)}
    yield f"lends to {number}", state._replace(lender=after, network=network)


def _receive(state, number, process, time, mutant):
    coordinator = state.coordinators[number]
    ends_at = time + LEASE
    if mutant == "lease from its receipt":
        ends_at = state.now + LEASE
    if process != coordinator.process or ends_at <= max(state.now, coordinator.ends_at):
        return
    tokens = coordinator.tokens
    if mutant == "a share brings tokens" and coordinator.ends_at <= state.now:
        tokens = _depth(coordinator)
    after = coordinator._replace(ends_at=ends_at, tokens=tokens)
    coordinators = _replace_at(state.coordinators, number, after)
    yield (
        f"coordinator {number} gets a lease",
        state._replace(coordinators=coordinators),
    )


def _restart(state, mutant):
    if state.was_restarted or _has_lowered(state):
        return
    is_full = mutant == "a start has full buckets"
    coordinator = state.coordinators[0]
    after = Coordinator(
        coordinator.process + 1,
        tokens=_depth(coordinator) if is_full else 0,
        is_lowered=coordinator.is_lowered,
    )
    coordinators = _replace_at(state.coordinators, 0, after)
    yield (
        "coordinator 0 starts again",
        state._replace(coordinators=coordinators, was_restarted=True),
    )
    waits = mutant != "a start does not wait"
    lender = Lender(
        usable_at=state.now + LEASE if waits else state.now,
        tokens=_depth(state.lender) if is_full else 0,
        is_lowered=state.lender.is_lowered,
    )
    yield "the node starts again", state._replace(lender=lender, was_restarted=True)


def _has_lowered(state):
    holders = (state.lender, *state.coordinators)
    return any(holder.is_lowered for holder in holders)


def _lower(state):
    if state.was_restarted:
        return
    for number in (-1, *COORDINATORS):
        holder = state.lender if number < 0 else state.coordinators[number]
        if holder.is_lowered:
            continue
        tokens = min(holder.tokens, LOWERED)
        after = holder._replace(is_lowered=True, tokens=tokens)
        if number < 0:
            result = state._replace(lender=after)
        else:
            coordinators = _replace_at(state.coordinators, number, after)
            result = state._replace(coordinators=coordinators)
        holders = (result.lender, *result.coordinators)
        if all(holder.is_lowered for holder in holders):
            result = result._replace(lowered_at=state.now)
        yield f"holder {number} learns the lowered quota", result


def _is_bounded(state):
    state = State(**state) if isinstance(state, dict) else State(*state)
    return state.excess <= (LOWERED if _is_strict(state) else FULL)


def _is_strict(state):
    """Return whether the lowered quota binds, a tick after all holders know it."""
    return 0 <= state.lowered_at < state.now


def _depth(holder):
    return LOWERED if holder.is_lowered else FULL


def _replace_at(values, index, value):
    changed = list(values)
    changed[index] = value
    return tuple(changed)
