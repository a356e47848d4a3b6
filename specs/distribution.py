"""Distribution: readers with leases push versions; nodes install newer ones.

A version has two parts, and no node may route by parts of different versions. Messages
stay in the network, so they can arrive late, repeatedly and in any order, or never. A
reader's lease can expire before the reader notices, while another reader holds it.
"""

from typing import NamedTuple

from minicheck import Protocol

READERS = (0, 1)
NODES = (0, 1)
MAX_VERSION = 3
MUTANTS = ("no version check", "install in part", "unfenced reader")


class Node(NamedTuple):
    """State of a node.

    :param first: version of the first part in force.
    :param second: version of the second part in force.
    :param highest: highest version number that the node has installed.
    """

    first: tuple = (0, 0)
    second: tuple = (0, 0)
    highest: int = 0


class State(NamedTuple):
    """State of the model. A version is a pair of its number and its content's origin.

    :param head: version accepted last.
    :param lease: reader that holds the lease, -1 for none.
    :param believing: for each reader, whether it believes to hold the lease.
    :param fetched: for each reader, the version that it read last.
    :param network: versions that were pushed; none is ever removed.
    """

    head: tuple
    lease: int
    believing: tuple
    fetched: tuple
    network: frozenset
    nodes: tuple


INITIAL = State(
    (0, 0), -1, (False, False), ((0, 0), (0, 0)), frozenset(), (Node(), Node())
)


def make_spec(mutant=""):
    """Return the specification.

    :param mutant: the rule to break, one of :data:`MUTANTS`; empty for none.
    """
    return Protocol(
        name="distribution",
        candidate=False,
        fields=State._fields,
        initial=tuple(INITIAL),
        transitions=lambda state: list(_transitions(State(*state), mutant)),
        invariants={
            "no node goes back": _never_downgraded,
            "no version in part": _not_partial,
            "one content for a number": _agreement,
        },
        goal=_converged,
    )


def _transitions(state, mutant):
    number = state.head[0]
    if number < MAX_VERSION and mutant != "unfenced reader":
        yield "a version is accepted", tuple(state._replace(head=(number + 1, 0)))
    for reader_id in READERS:
        yield from _reader_steps(state, reader_id, mutant)
    for node_id in NODES:
        for version in state.network:
            yield from _install(state, node_id, version, mutant)


def _reader_steps(state, reader_id, mutant):
    if state.lease == -1:
        believing = _replace_at(state.believing, reader_id, True)
        after = state._replace(lease=reader_id, believing=believing)
        yield f"reader {reader_id} takes the lease", tuple(after)
    if state.lease == reader_id:
        yield f"the lease of {reader_id} expires", tuple(state._replace(lease=-1))
    if not state.believing[reader_id]:
        return
    if state.lease != reader_id:
        believing = _replace_at(state.believing, reader_id, False)
        yield (
            f"reader {reader_id} notices the expiry",
            tuple(state._replace(believing=believing)),
        )
    if state.lease == reader_id and state.fetched[reader_id] != state.head:
        fetched = _replace_at(state.fetched, reader_id, state.head)
        yield (
            f"reader {reader_id} reads the head",
            tuple(state._replace(fetched=fetched)),
        )
    if mutant == "unfenced reader" and state.fetched[reader_id][0] < MAX_VERSION:
        # Without fencing, a reader numbers versions even if its lease has expired.
        version = (state.fetched[reader_id][0] + 1, reader_id)
        after = state._replace(
            fetched=_replace_at(state.fetched, reader_id, version),
            head=max(state.head, version),
        )
        yield f"reader {reader_id} numbers a version", tuple(after)
    if state.fetched[reader_id][0] and state.fetched[reader_id] not in state.network:
        network = state.network | {state.fetched[reader_id]}
        yield f"reader {reader_id} pushes", tuple(state._replace(network=network))


def _install(state, node_id, version, mutant):
    node = state.nodes[node_id]
    newer = version[0] > node.first[0]
    if not newer and mutant != "no version check":
        return
    if version == node.first == node.second:
        return
    highest = max(node.highest, version[0])
    if mutant == "install in part":
        partly = node._replace(first=version, highest=highest)
        nodes = _replace_at(state.nodes, node_id, partly)
        yield f"node {node_id} installs half", tuple(state._replace(nodes=nodes))
    nodes = _replace_at(state.nodes, node_id, Node(version, version, highest))
    yield f"node {node_id} installs {version}", tuple(state._replace(nodes=nodes))


def _replace_at(values, index, value):
    changed = list(values)
    changed[index] = value
    return tuple(changed)


def _never_downgraded(state):
    return all(node.first[0] == node.highest for node in state["nodes"])


def _not_partial(state):
    return all(node.first == node.second for node in state["nodes"])


def _agreement(state):
    contents = {}
    for node in state["nodes"]:
        contents.setdefault(node.first[0], set()).add(node.first)
    return all(len(found) == 1 for found in contents.values())


def _converged(state):
    return all(node.first == state["head"] for node in state["nodes"])
