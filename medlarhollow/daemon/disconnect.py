"""Detect that the peer of a connection has closed it."""

import select

__all__ = ["has_disconnected"]


def has_disconnected(connection):
    """Return whether the peer has closed or reset a connection.

    An event loop detects a close only after reading the data sent before it,
    so it does not detect one while reading is paused.

    Parameters
    ----------
    connection : socket.socket
        The connection; nothing is read from it.

    Returns
    -------
    bool
        Also False if the close is queued behind data for which the system
        has no buffer space.
    """
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
