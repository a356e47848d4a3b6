"""A store that comes back from an older copy, while a backend server leaves.

The store is copied at any moment and comes back from that copy in a later era. The node
beside the server is killed at any moment and starts again knowing nothing; a heartbeat
of before the leave arrives at any moment. Its peer lives on, and may read or be told
the leave; it writes it again, and tells it to a process that starts before there was
time for that. One loss cannot be mended: the store loses a leave that neither process
knows. It is noted in the state and excused.
"""

from typing import NamedTuple

from minicheck import Protocol

MAX_VERSION = 3
MAX_ERA = 2
MUTANTS = (
    "acknowledged before it is stored",
    "served before the store was read",
    "not written again",
    "older version installed",
    "older copy believed by a process that starts",
    "a process that starts asks nobody for the leave",
    "nobody else writes the leave again",
)


class Node(NamedTuple):
    """The node beside the server.

    :param has_read: whether this process has read the store.
    :param version: number of the version in force, 0 for none.
    :param highest: highest version that this process had in force.
    :param knows_leave: whether it knows that the server left.
    :param is_open: whether it sends requests to the server.
    """

    has_read: bool = False
    version: int = 0
    highest: int = 0
    knows_leave: bool = False
    is_open: bool = False


class Store(NamedTuple):
    """Contents of the store.

    :param has_leave: whether it holds the departure.
    """

    version: int = 1
    has_leave: bool = False


class State(NamedTuple):
    """State of the model.

    :param copy: contents that the store may come back with.
    :param newest: newest version that the operator has written.
    :param peer: version in force at the node's peer.
    :param peer_knows_leave: whether the peer has read the leave or was told of it.
    :param is_acknowledged: whether the server's leave was acknowledged.
    :param was_stored: whether the store has held the departure.
    :param is_settling: whether the node may not have had time to write again since the
        store came back.
    :param is_forgotten: whether the store, the node and its peer have lost the leave.
    :param took_older: whether a process that started took an older version than its
        peer had.
    """

    store: Store = Store()
    era: int = 0
    copy: Store = Store()
    newest: int = 1
    peer: int = 0
    peer_knows_leave: bool = False
    node: Node = Node()
    is_acknowledged: bool = False
    was_stored: bool = False
    is_settling: bool = False
    is_forgotten: bool = False
    took_older: bool = False


def make_spec(mutant=""):
    """Return the specification.

    :param mutant: the rule to break, one of :data:`MUTANTS`; empty for none.
    """
    return Protocol(
        name="store_era",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda state: list(_transitions(State(*state), mutant)),
        invariants={
            "a process goes back to no older version": _never_older,
            "a server whose leave was acknowledged gets no requests": _stays_closed,
            "a process that starts takes no older version than its peer": _up_to_date,
        },
        goal=_agreed,
    )


def _transitions(state, mutant):
    for label, after in (
        *_change_store(state),
        *_run_node(state, mutant),
        *_leave(state, mutant),
    ):
        yield label, tuple(after)


def _change_store(state):
    store = state.store
    if state.newest < MAX_VERSION:
        newest = state.newest + 1
        written = store._replace(version=newest)
        yield "the operator writes", state._replace(newest=newest, store=written)
    if store.version < state.newest:
        written = store._replace(version=state.newest)
        yield "the operator writes again", state._replace(store=written)
    if state.copy != store:
        yield "the store is copied", state._replace(copy=store)
    if state.era < MAX_ERA:
        back = state._replace(store=state.copy, era=state.era + 1, is_settling=True)
        yield "the store comes back", _note_forgotten(back)
    read = state._replace(
        peer=max(state.peer, store.version),
        peer_knows_leave=state.peer_knows_leave or store.has_leave,
    )
    if read != state:
        yield "the peer reads", read


def _run_node(state, mutant):
    node, store = state.node, state.store
    # Once the store has come back, a process that starts asks its peer.
    asks_peer = (
        state.era > 0 and mutant != "older copy believed by a process that starts"
    )
    found = max(store.version, state.peer) if asks_peer else store.version
    is_older = not node.version and found < state.peer
    if mutant != "older version installed":
        found = max(found, node.version)
    knows_leave = node.knows_leave or store.has_leave
    if mutant != "a process that starts asks nobody for the leave":
        knows_leave = knows_leave or (state.is_settling and state.peer_knows_leave)
    read = Node(
        True,
        found,
        max(found, node.highest),
        knows_leave,
        node.is_open and not knows_leave,
    )
    yield (
        "the node reads the store",
        state._replace(node=read, took_older=state.took_older or is_older),
    )
    killed = state._replace(node=Node())
    yield "the node is killed and starts", _note_forgotten(killed)
    may_serve = node.has_read or mutant == "served before the store was read"
    if may_serve and not node.knows_leave:
        opened = node._replace(is_open=True)
        yield "a heartbeat of before the leave arrives", state._replace(node=opened)


def _note_forgotten(state):
    is_known = state.node.knows_leave or state.store.has_leave or state.peer_knows_leave
    is_lost = state.was_stored and state.is_settling and not is_known
    return state._replace(is_forgotten=state.is_forgotten or is_lost)


def _leave(state, mutant):
    node, store = state.node, state.store
    if not node.knows_leave and not state.is_acknowledged:
        told = node._replace(knows_leave=True, is_open=False)
        yield "the server says that it leaves", state._replace(node=told)
    if node.knows_leave and not state.is_acknowledged and not state.peer_knows_leave:
        yield "the peer is told", state._replace(peer_knows_leave=True)
    peer_writes = (
        state.peer_knows_leave
        and state.was_stored
        and not store.has_leave
        and mutant != "nobody else writes the leave again"
    )
    if peer_writes:
        written = store._replace(has_leave=True)
        yield "the peer writes the leave again", state._replace(store=written)
    must_write = not state.is_acknowledged or mutant != "not written again"
    if node.knows_leave and not store.has_leave and must_write:
        written = store._replace(has_leave=True)
        yield (
            "the node writes the leave",
            state._replace(store=written, was_stored=True),
        )
    owes_write = state.is_acknowledged and node.knows_leave and not store.has_leave
    if state.is_settling and not (owes_write and must_write) and not peer_writes:
        yield "the time to write again ends", state._replace(is_settling=False)
    is_stored = store.has_leave or mutant == "acknowledged before it is stored"
    if node.knows_leave and is_stored and not state.is_acknowledged:
        yield "the node acknowledges", state._replace(is_acknowledged=True)


def _never_older(state):
    return state["node"].version >= state["node"].highest


def _stays_closed(state):
    is_excused = state["is_forgotten"] or not state["is_acknowledged"]
    return is_excused or not state["node"].is_open


def _up_to_date(state):
    return not state["took_older"]


def _agreed(state):
    """Return whether version and leave have reached everybody."""
    node = state["node"]
    has_version = node.version == state["newest"] == state["peer"]
    has_leave = node.knows_leave and state["store"].has_leave
    return has_version and (has_leave or state["is_forgotten"])
