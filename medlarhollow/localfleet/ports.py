"""Free ports of the local machine."""

import random
import socket

__all__ = ["free_addresses"]

# Below the ephemeral port range: an outgoing connection could otherwise take
# the port of a process while it restarts.
_FIRST_PORT = 12_000
_LAST_PORT = 32_000
_ATTEMPTS = 1_000


def free_addresses(count):
    """Return loopback addresses that nothing listens on.

    Parameters
    ----------
    count : int
        Number of addresses.

    Returns
    -------
    list of str
        Distinct addresses ``127.0.0.1:port``.

    Raises
    ------
    OSError
        If too few ports are free.
    """
    sockets = {}
    try:
        for _ in range(_ATTEMPTS):
            if len(sockets) == count:
                break
            port = random.randint(_FIRST_PORT, _LAST_PORT)
            if port not in sockets and (bound := _bind(port)) is not None:
                sockets[port] = bound
    finally:
        for bound in sockets.values():
            bound.close()
    if len(sockets) < count:
        raise OSError(f"fewer than {count} ports are free")
    return [f"127.0.0.1:{port}" for port in sockets]


def _bind(port):
    """Return a socket bound to a port, or None if the port is in use."""
    bound = socket.socket()
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound
