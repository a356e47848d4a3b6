"""A loopback address of this process's own, and ports that stay reserved.

Groups of tests run side by side. On one address a port that a stopped node gave up is
soon a listener of another group, and late requests and probes would go astray there.
"""

import os
import socket

# Every address under 127.0.0.0/8 is local; the process id fills the rest.
_PID = os.getpid()
LOOPBACK_HOST = f"127.{1 + (_PID >> 16) % 254}.{(_PID >> 8) % 256}.{_PID % 256}"

_reserved = []


def reserve_port():
    """Return a port that no other listener of this process gets by chance.

    The socket stays bound without listening, so only a listener that names the port
    and reuses addresses, as asyncio's do, can have it.
    """
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((LOOPBACK_HOST, 0))
    _reserved.append(holder)
    return holder.getsockname()[1]
