"""Reads of a bounded size from the connections of a listener."""

import asyncio

__all__ = ["BoundedReader", "READ_BYTES"]

# What one read takes from the system; the rest waits there, where it keeps
# the sender from sending more.
READ_BYTES = 16384


class BoundedReader(asyncio.BufferedProtocol):
    """Pass data to a protocol in reads of at most `READ_BYTES`.

    Parameters
    ----------
    protocol : asyncio.Protocol
        Receives the data and all other events of the connection.
    buffer : bytearray
        Shared by the connections of a listener, since an event loop fills it
        and reports the data without an interruption.
    """

    def __init__(self, protocol, buffer):
        self._protocol = protocol
        self._buffer = memoryview(buffer)
        self.connection_made = protocol.connection_made
        self.connection_lost = protocol.connection_lost
        self.eof_received = protocol.eof_received
        self.pause_writing = protocol.pause_writing
        self.resume_writing = protocol.resume_writing

    def get_buffer(self, sizehint):
        """Return the buffer that the event loop reads into."""
        return self._buffer

    def buffer_updated(self, nbytes):
        """Pass on what was read."""
        self._protocol.data_received(bytes(self._buffer[:nbytes]))
