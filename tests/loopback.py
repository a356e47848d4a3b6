"""A loopback address for each test process, and reserved ports.

Test processes run in parallel. If they shared an address, a port released by a stopped
node could be bound by another process and receive late requests and probes.
"""

import os
import socket

# Every address in 127.0.0.0/8 is local; the process id selects one.
_PID = os.getpid()
LOOPBACK_HOST = f"127.{1 + (_PID >> 16) % 254}.{(_PID >> 8) % 256}.{_PID % 256}"

_reserved = []


def reserve_port():
    """Return a port that this process is never assigned as an ephemeral port.

    The socket stays bound without listening, so only a listener that requests the port
    explicitly and sets SO_REUSEADDR, as asyncio's do, can bind it.
    """
    placeholder = socket.socket()
    placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    placeholder.bind((LOOPBACK_HOST, 0))
    _reserved.append(placeholder)
    return placeholder.getsockname()[1]
