"""Limits that the connections of a listener share."""

import attrs

__all__ = ["SharedReadAhead"]

# Requests that wait behind others on their connections.
_SHARED_READ_AHEAD_LIMIT = 1024
# Bytes of bodies that one connection may hold. It may hold more while all hold
# little, because a close is detected only behind the data that was read.
_BODY_BYTES = 65536
_LARGE_BODY_BYTES = 262144
# Bytes of all connections above which each is held to the smaller limit.
_SHARED_BODY_BYTES = 16 * 1024 * 1024


@attrs.define
class SharedReadAhead:
    """Count what the connections of a listener hold and nobody took yet.

    Attributes
    ----------
    waiting : int
        Requests that were parsed and not started.
    body_bytes : int
        Bytes of bodies.
    """

    waiting: int = 0
    body_bytes: int = 0

    @property
    def is_exhausted(self):
        """Whether a connection may read ahead no further."""
        return self.waiting >= _SHARED_READ_AHEAD_LIMIT

    def may_hold_body(self, held_bytes):
        """Return whether a connection may read on within a body.

        Parameters
        ----------
        held_bytes : int
            What it holds of the body.
        """
        if self.body_bytes >= _SHARED_BODY_BYTES:
            return held_bytes <= _BODY_BYTES
        return held_bytes <= _LARGE_BODY_BYTES
