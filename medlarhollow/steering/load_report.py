"""Load of this VM, as it is told to others."""

import math

from ..membership import LocalLoad

__all__ = ["LoadReport"]

# The load is measured once for the streams that are written within this time.
_KEPT_S = 0.1


class LoadReport:
    """Measure the load of this VM.

    Parameters
    ----------
    pools : Pools
        Requests that wait.
    slots : Slots
        Requests in flight.
    """

    def __init__(self, pools, slots):
        self._pools = pools
        self._slots = slots
        self._load = LocalLoad()
        self._until = -math.inf

    def read(self, now):
        """Return the load as it was a moment ago.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        LocalLoad
            Requests in flight and servers that are waited for.
        """
        if now >= self._until:
            self._until = now + _KEPT_S
            self._load = self._measure(now)
        return self._load

    def _measure(self, now):
        wanted = set()
        for pool in self._pools.list():
            wanted |= pool.wanted
            if pool.wants_any:
                servers = self._slots.servers(pool.service, pool.version, now)
                wanted.update(server.server_id for server in servers)
        return LocalLoad(self._slots.in_flight, frozenset(wanted))
