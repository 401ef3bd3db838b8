"""Pools by service and version."""

import math

from ..servers.answer_times import AnswerTimes
from .order import make_order
from .pool import Pool

__all__ = ["Pools"]

_MAX_UNUSED_S = 60.0
# Factor by which the remote fraction of a pool decays in each round, and the
# value below which it is reset to 0.
_REMOTE_DECAY = 0.9
_MIN_REMOTE_FRACTION = 0.001


class Pools:
    """Pools in use, created on demand.

    Parameters
    ----------
    settings : Settings
        Section ``entry`` sets the maximum length of queues, ``backends``
        their order.
    state_cache : FleetStateCache
        Provides the active versions of services.
    directory : Directory
        Provides the servers of each version.
    versions : VersionSelector
        Chooses versions.
    """

    def __init__(self, settings, state_cache, directory, versions):
        self._settings = settings.entry
        self._order = make_order(settings)
        self._answer_times = AnswerTimes()
        self._state_cache = state_cache
        self._directory = directory
        self._versions = versions
        self._pools = {}

    @property
    def answer_times(self):
        """AnswerTimes : recent times of answers of all pools."""
        return self._answer_times

    def find(self, slot_request, now):
        """Return the pool that serves a request.

        Parameters
        ----------
        slot_request : SlotRequest
            The request, whose service must exist.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Pool
            Falls back from a version without servers to the active version,
            but never in the opposite direction, which would exceed the
            traffic fraction of a move.
        """
        service = slot_request.route.service
        version = self._versions.choose(service, slot_request.split_point, now)
        active_version = self._state_cache.state.services[service].version
        if version != active_version and not self._directory.servers(
            service, version, now
        ):
            version = active_version
        key = (service, version)
        if key not in self._pools:
            limit = self._settings.queue_limit
            self._pools[key] = Pool(
                service, version, limit, self._order, self._answer_times
            )
        pool = self._pools[key]
        pool.used_at = now
        return pool

    def get(self, service, version):
        """Return a pool that is in use, or None."""
        return self._pools.get((service, version))

    def list(self):
        """Return the pools in use."""
        return list(self._pools.values())

    def list_concurrency_limits(self):
        """Return the finite limits of requests in flight by pool."""
        return {
            f"{service} {version}": pool.concurrency.limit
            for (service, version), pool in tuple(self._pools.items())
            if math.isfinite(pool.concurrency.limit)
        }

    def evict_unused(self, now):
        """Decay the remote fractions and discard unused pools."""
        for key, pool in list(self._pools.items()):
            pool.remote_fraction *= _REMOTE_DECAY
            if pool.remote_fraction < _MIN_REMOTE_FRACTION:
                pool.remote_fraction = 0.0
            unused_s = now - pool.used_at
            if unused_s > _MAX_UNUSED_S and not pool.in_flight:
                del self._pools[key]
