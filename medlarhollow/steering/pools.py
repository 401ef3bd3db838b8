"""Pools of backend servers, one for each version of a service."""

from .pool import Pool

__all__ = ["Pools"]

_UNUSED_POOL_S = 60.0
# Part of new work that is sent away fades by this much in each round, and is
# forgotten below the limit.
_FADE_PART = 0.9
_LEAST_AWAY = 0.001


class Pools:
    """Find the pool that serves a request.

    Parameters
    ----------
    settings : Settings
        Section ``entry`` gives the length of queues.
    state_cache : FleetStateCache
        Names the versions in force.
    directory : Directory
        Servers of each version.
    versions : VersionSelector
        Chooses versions.
    """

    def __init__(self, settings, state_cache, directory, versions):
        self._settings = settings.entry
        self._state_cache = state_cache
        self._directory = directory
        self._versions = versions
        self._pools = {}

    def find(self, demand, now):
        """Return the pool that serves a request.

        Parameters
        ----------
        demand : Demand
            The request; its service exists.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Pool
            A version without any server gives way to the version in force,
            never the other way round: that would exceed the part of a move.
        """
        service = demand.route.service
        version = self._versions.choose(service, demand.point, now)
        in_force = self._state_cache.state.services[service].version
        if version != in_force and not self._directory.servers(
            service, version, now
        ):
            version = in_force
        place = (service, version)
        if place not in self._pools:
            limit = self._settings.queue_limit
            self._pools[place] = Pool(service, version, limit)
        pool = self._pools[place]
        pool.used_at = now
        return pool

    def get(self, service, version):
        """Return a pool that is in use, or None."""
        return self._pools.get((service, version))

    def list(self):
        """Return the pools in use."""
        return list(self._pools.values())

    def forget(self, now):
        """Fade what is sent away, and drop pools that are out of use."""
        for place, pool in list(self._pools.items()):
            pool.wants_away *= _FADE_PART
            if pool.wants_away < _LEAST_AWAY:
                pool.wants_away = 0.0
            unused_s = now - pool.used_at
            if unused_s > _UNUSED_POOL_S and not pool.in_flight:
                del self._pools[place]
