"""Free ports of this machine."""

import random
import socket

__all__ = ["free_addresses"]

# Below the range from which the kernel takes the ports of outgoing
# connections: one of those could take the port of a process that restarts.
_FIRST_PORT = 12_000
_LAST_PORT = 32_000
_ATTEMPTS = 1_000


def free_addresses(count):
    """Return loopback addresses that nothing listens on.

    Parameters
    ----------
    count : int
        How many.

    Returns
    -------
    list of str
        Distinct addresses ``127.0.0.1:port``.

    Raises
    ------
    OSError
        If too few ports are free.
    """
    found = {}
    try:
        for _ in range(_ATTEMPTS):
            if len(found) == count:
                break
            port = random.randint(_FIRST_PORT, _LAST_PORT)
            if port not in found and (bound := _bind(port)) is not None:
                found[port] = bound
    finally:
        for bound in found.values():
            bound.close()
    if len(found) < count:
        raise OSError(f"fewer than {count} ports are free")
    return [f"127.0.0.1:{port}" for port in found]


def _bind(port):
    """Return a socket bound to a port, or None if it is taken."""
    bound = socket.socket()
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound
