"""Limits for connections, from the settings or the configuration."""

__all__ = ["ConnectionLimits"]

# Connections stay open longer than the timeout announced to callers, so that
# no request arrives while the connection is being closed.
_KEEP_ALIVE_MARGIN_S = 1.0


class ConnectionLimits:
    """Provide the limits in force at the time of access.

    Parameters
    ----------
    settings : EntrySettings
        Apply while the configuration sets no limit.
    state_cache : FleetStateCache or None
        Limits in its configuration take precedence.
    """

    def __init__(self, settings, state_cache=None):
        self._settings = settings
        self._state_cache = state_cache

    @property
    def header_limit_bytes(self):
        """Size limit of a request head in bytes."""
        limits = self._replicated
        return (
            limits
            and limits.header_bytes
            or (self._settings.header_limit_bytes)
        )

    @property
    def head_timeout_s(self):
        """Time limit for receiving a request head in seconds."""
        limits = self._replicated
        return (
            limits and limits.head_timeout_s or (self._settings.head_timeout_s)
        )

    @property
    def keep_alive_s(self):
        """Time for which an idle connection stays open, in seconds."""
        limits = self._replicated
        if limits is None or not limits.idle_timeout_s:
            return self._settings.keep_alive_s
        return limits.idle_timeout_s + _KEEP_ALIVE_MARGIN_S

    @property
    def stall_timeout_s(self):
        """Time for which a peer may read nothing, in seconds."""
        return self._settings.stall_timeout_s

    @property
    def _replicated(self):
        return (
            None
            if self._state_cache is None
            else self._state_cache.state.limits
        )
