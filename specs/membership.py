"""Membership: two observers receive the records of one backend server.

The owner announces, drains, leaves and returns, each time with a higher incarnation;
an observer may falsely declare it dead. Records stay in the network, so they can arrive
late, repeatedly and in any order. The last incarnation of the bounded model cannot be
declared dead, so that the owner always has a higher one left to refute its death with.
"""

from typing import NamedTuple

from minicheck import Protocol

OBSERVERS = (0, 1)
ALIVE, DEAD, LEFT = 0, 1, 2
MAX_INCARNATION = 4
MUTANTS = ("revived member", "forgotten tombstone", "death without incarnation")


class Record(NamedTuple):
    """Membership record of the server.

    :param state: :data:`ALIVE`, :data:`DEAD` or :data:`LEFT`.
    :param serving: whether the server accepts new requests.
    """

    incarnation: int
    state: int
    serving: bool


class State(NamedTuple):
    """State of the model.

    :param owner: the owner's own record.
    :param network: records that were sent; none is ever removed.
    :param seen: record that each observer holds.
    :param highest: highest record that each observer has held.
    """

    owner: Record
    network: frozenset
    seen: tuple
    highest: tuple


UNKNOWN = Record(0, ALIVE, False)
INITIAL = State(
    Record(1, ALIVE, True), frozenset(), (UNKNOWN, UNKNOWN), (UNKNOWN, UNKNOWN)
)


def make_spec(mutant=""):
    """Return the specification.

    :param mutant: the rule to break, one of :data:`MUTANTS`; empty for none.
    """
    return Protocol(
        name="membership",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: list(_transitions(State(*state), mutant)),
        invariants={
            "late news revives nobody": _never_older,
            "nobody holds more than the owner said": _not_invented,
        },
        goal=_agreed,
    )


def _transitions(state, mutant):
    owner = state.owner
    if owner not in state.network:
        network = state.network | {owner}
        yield "the owner broadcasts its record", tuple(state._replace(network=network))
    if owner.incarnation < MAX_INCARNATION:
        higher = owner.incarnation + 1
        for label, record in (
            ("drains", Record(higher, ALIVE, False)),
            ("leaves", Record(higher, LEFT, False)),
            ("returns", Record(higher, ALIVE, True)),
        ):
            yield f"the owner {label}", tuple(state._replace(owner=record))
    for record in state.network:
        if record.state == DEAD and owner.state == ALIVE:
            refuting = record.incarnation >= owner.incarnation
            if refuting and record.incarnation < MAX_INCARNATION:
                back = owner._replace(incarnation=record.incarnation + 1)
                yield "the owner refutes its death", tuple(state._replace(owner=back))
        for observer_id in OBSERVERS:
            yield from _merge(state, observer_id, record, mutant)
    for observer_id in OBSERVERS:
        yield from _declare(state, observer_id, mutant)


def _merge(state, observer_id, record, mutant):
    held = state.seen[observer_id]
    newer = record[:2] > held[:2]
    if mutant == "revived member" and record.state == ALIVE:
        newer = record != held
    if mutant == "forgotten tombstone" and held.state != ALIVE:
        newer = record != held
    if not newer:
        return
    after = state._replace(
        seen=_replace_at(state.seen, observer_id, record),
        highest=_replace_at(
            state.highest, observer_id, max(state.highest[observer_id], record)
        ),
    )
    yield f"observer {observer_id} takes {record}", tuple(after)


def _declare(state, observer_id, mutant):
    held = state.seen[observer_id]
    if held.state != ALIVE or not 0 < held.incarnation < MAX_INCARNATION:
        return
    step = 1 if mutant == "death without incarnation" else 0
    dead = Record(held.incarnation + step, DEAD, False)
    after = state._replace(
        seen=_replace_at(state.seen, observer_id, dead),
        highest=_replace_at(
            state.highest, observer_id, max(state.highest[observer_id], dead)
        ),
        network=state.network | {dead},
    )
    yield f"observer {observer_id} declares it dead", tuple(after)


def _replace_at(values, index, value):
    changed = list(values)
    changed[index] = value
    return tuple(changed)


def _never_older(state):
    return all(
        held[:2] >= highest[:2]
        for held, highest in zip(state["seen"], state["highest"], strict=True)
    )


def _not_invented(state):
    owner = state["owner"].incarnation
    return all(held.incarnation <= owner for held in state["seen"])


def _agreed(state):
    return all(held == state["owner"] for held in state["seen"])
