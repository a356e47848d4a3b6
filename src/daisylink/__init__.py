"""daisylink: configuration distribution for a service mesh.

A small process, ``daisylink-node``, runs beside each backend server. The nodes share
one numbered configuration version, know every backend server, and forward each
caller's request to one of them.

Packages are organized by the lifetime of the objects in them: a request
(:mod:`daisylink.request`), a connection (:mod:`daisylink.connection`), a configuration
version (:mod:`daisylink.version`) or the process (:mod:`daisylink.process`).
"""

__version__ = "0.1.0"
