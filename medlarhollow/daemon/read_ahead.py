"""Limits that the connections of a listener share."""

import math

import attrs

__all__ = ["SharedReadAhead", "WorkPacer"]

# Requests that wait behind others on their connections.
_SHARED_READ_AHEAD_LIMIT = 1024
# Bytes of bodies that one connection may hold. It may hold more while all hold
# little, because a close is detected only behind the data that was read.
_BODY_BYTES = 65536
_LARGE_BODY_BYTES = 262144
# Bytes of all connections above which each is held to the smaller limit.
_SHARED_BODY_BYTES = 16 * 1024 * 1024
# Longest delay of a connection.
_MAX_DELAY_S = 5.0


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


@attrs.define
class WorkPacer:
    """Spread work of the connections of a listener that serves no request."""

    _next_at: float = -math.inf

    def reserve(self, interval_s, now):
        """Return the delay of the next work of a connection.

        Parameters
        ----------
        interval_s : float
            Time in seconds that its last work takes from all connections.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds from now, up to `_MAX_DELAY_S`.
        """
        self._next_at = max(now, self._next_at) + interval_s
        self._next_at = min(self._next_at, now + _MAX_DELAY_S)
        return self._next_at - now
