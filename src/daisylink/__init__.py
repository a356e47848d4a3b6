"""daisylink: configuration distribution for a service mesh.

One small process, ``daisylink-node``, runs in the slot of each backend server.
The nodes share one numbered configuration version, know every backend server,
and carry each caller's request to one of them.

Packages are laid out by the life span of what they hold: :mod:`daisylink.request`,
:mod:`daisylink.connection`, :mod:`daisylink.version`, :mod:`daisylink.process`.
"""

__version__ = "0.1.0"
