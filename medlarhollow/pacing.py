"""Spread work over time that serves no request, or that costs too much."""

import math

import attrs

__all__ = ["WorkPacer"]

# Longest delay of a connection.
_MAX_DELAY_S = 5.0


@attrs.define
class WorkPacer:
    """Spread such work of many connections, each of which waits its turn."""

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
