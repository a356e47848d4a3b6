"""A small deployment on loopback addresses for the cases 6 to 10.

The nodes are the project's own processes, started by the command of the deploy file.
The store, the backend servers and the requesters are stand-ins in the case's process.
"""

from review.rig._fleet import Bounds, Fleet, Machine, configuration, route
from review.rig._record import Record
from review.rig._requester import Answer, Connection, make_request, new_id
from review.rig._server import Arrival, Reply, Server
from review.rig._store import Store

__all__ = [
    "Answer",
    "Arrival",
    "Bounds",
    "Connection",
    "Fleet",
    "Machine",
    "Record",
    "Reply",
    "Server",
    "Store",
    "configuration",
    "make_request",
    "new_id",
    "route",
]
