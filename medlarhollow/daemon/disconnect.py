"""State of the peer of a connection, as the system knows it."""

import fcntl
import select
import struct
import termios

__all__ = ["count_unacknowledged_bytes", "has_disconnected"]


def count_unacknowledged_bytes(connection):
    """Return how much of what was sent the peer has not received.

    Parameters
    ----------
    connection : socket.socket
        The connection.

    Returns
    -------
    int
        Bytes; 0 if the system does not tell.
    """
    try:
        answer = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack("i", answer)[0]


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
