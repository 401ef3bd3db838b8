"""Limits for connections of callers, by settings or configuration."""

__all__ = ["ConnectionLimits"]

# A connection is kept this much longer than callers are told, so that a
# request does not cross its close.
_GRACE_S = 1.0


class ConnectionLimits:
    """Read the limits in force at the time of use.

    Parameters
    ----------
    settings : EntrySettings
        Hold as long as the configuration says nothing.
    state_cache : FleetStateCache or None
        Its configuration may hold limits, which go first.
    """

    def __init__(self, settings, state_cache=None):
        self._settings = settings
        self._state_cache = state_cache

    @property
    def header_limit_bytes(self):
        """Largest request head in bytes."""
        agreed = self._agreed
        return (
            agreed
            and agreed.header_bytes
            or (self._settings.header_limit_bytes)
        )

    @property
    def head_timeout_s(self):
        """Limit for receiving a request head in seconds."""
        agreed = self._agreed
        return (
            agreed and agreed.head_timeout_s or (self._settings.head_timeout_s)
        )

    @property
    def keep_alive_s(self):
        """Time for which an idle connection is kept in seconds."""
        agreed = self._agreed
        if agreed is None or not agreed.idle_timeout_s:
            return self._settings.keep_alive_s
        return agreed.idle_timeout_s + _GRACE_S

    @property
    def _agreed(self):
        return (
            None
            if self._state_cache is None
            else self._state_cache.state.limits
        )
