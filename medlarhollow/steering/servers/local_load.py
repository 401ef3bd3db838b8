"""Load of this VM, as reported to other VMs."""

import math

from ...membership import LocalLoad

__all__ = ["LocalLoadSampler"]

# A sample is reused for all streams that are written within this time.
_CACHE_S = 0.1


class LocalLoadSampler:
    """Measure the load of this VM, with a short-lived cache.

    Parameters
    ----------
    pools : Pools
        Provides the waiting requests.
    slots : SlotTracker
        Provides the requests in flight.
    """

    def __init__(self, pools, slots):
        self._pools = pools
        self._slots = slots
        self._load = LocalLoad()
        self._cached_until = -math.inf

    def read(self, now):
        """Return the load, which may be up to 0.1 s old.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        LocalLoad
            Requests in flight and servers for which requests wait.
        """
        if now >= self._cached_until:
            self._cached_until = now + _CACHE_S
            self._load = self._measure(now)
        return self._load

    def _measure(self, now):
        awaited = set()
        for pool in self._pools.list():
            awaited |= pool.awaited_servers
            if pool.has_unbound_requests:
                servers = self._slots.servers(pool.service, pool.version, now)
                awaited.update(server.server_id for server in servers)
        return LocalLoad(self._slots.in_flight, frozenset(awaited))
