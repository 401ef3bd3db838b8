"""Find out whether the peer of a connection has closed it."""

import select

__all__ = ["has_disconnected"]


def has_disconnected(connection):
    """Tell whether the peer has closed a connection or reset it.

    An event loop notices a close only once it has read what was sent before
    it, and so not at all while it reads nothing.

    Parameters
    ----------
    connection : socket.socket
        The connection; nothing is read from it.

    Returns
    -------
    bool
        False as well if the close waits behind bytes for which the system
        has no buffer.
    """
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
