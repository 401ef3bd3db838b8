"""Free ports of this machine."""

import socket

__all__ = ["free_addresses"]


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
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    finally:
        for item in sockets:
            item.close()
