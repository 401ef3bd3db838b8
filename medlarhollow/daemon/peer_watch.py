"""Detect peers that read nothing, or have left while nothing is read."""

from .disconnect import has_disconnected

__all__ = ["PeerWatch"]

# Time between disconnect checks of a connection whose reading is paused.
_DISCONNECT_CHECK_S = 0.1


class PeerWatch:
    """Reset a connection whose peer reads nothing or has left.

    Parameters
    ----------
    connection : HttpProtocol
        The connection.
    stall_timeout_s : float
        Time in seconds for which the peer may read nothing.
    """

    def __init__(self, connection, stall_timeout_s):
        self._connection = connection
        self._stall_timeout_s = stall_timeout_s
        self._unread_timer = None
        self._disconnect_timer = None

    def stop(self):
        """Cancel all checks."""
        for timer in (self._unread_timer, self._disconnect_timer):
            if timer is not None:
                timer.cancel()

    def watch_unread(self):
        """Reset the connection if its peer reads nothing for a while."""
        unread_bytes = self._connection.transport.get_write_buffer_size()
        if self._unread_timer is None and unread_bytes:
            self._unread_timer = self._connection.loop.call_later(
                self._stall_timeout_s, self._check_unread, unread_bytes
            )

    def watch_disconnect(self):
        """Abort the connection if its peer leaves while reading is paused."""
        if self._disconnect_timer is None:
            self._disconnect_timer = self._connection.loop.call_later(
                _DISCONNECT_CHECK_S, self._check_disconnect
            )

    def _check_unread(self, unread_bytes):
        self._unread_timer = None
        transport = self._connection.transport
        if transport.get_write_buffer_size() >= unread_bytes:
            self._connection.reset()
        else:
            self.watch_unread()

    def _check_disconnect(self):
        self._disconnect_timer = None
        connection = self._connection
        transport = connection.transport
        if transport.is_closing() or not connection.flow.read_paused:
            return
        if has_disconnected(transport.get_extra_info("socket")):
            transport.abort()
        else:
            self.watch_disconnect()
