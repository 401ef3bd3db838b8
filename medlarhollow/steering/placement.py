"""Choose among the free backend servers of a pool for one request."""

import random

from .affinity import choose_by_affinity
from .choice import choose_server

__all__ = ["Placement", "is_allowed"]

# Weight of a server of a region that is given none; above 0, since it may be
# the only one that is free.
_LEAST_WEIGHT = 1e-6


class Placement:
    """Choose servers by object, region and load.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``backends`` are read.
    """

    def __init__(self, settings):
        self._region = settings.vm.region
        self._is_fleet_wide = settings.backends.scope == "fleet"
        self._remote_weight = settings.backends.remote_weight
        self._generator = random.Random()

    def choose(self, candidates, demand, now):
        """Return a free server for a request.

        Parameters
        ----------
        candidates : list of Candidate
            The pool.
        demand : Demand
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Candidate or None
            The first free one in the order of the request's object; without
            an object, one of this region before others. None if none of
            those allowed is free.
        """
        allowed = [
            candidate
            for candidate in candidates
            if is_allowed(candidate.view.server, demand)
        ]
        if demand.affinity:
            return choose_by_affinity(allowed, demand.affinity, self._weigh)
        if self._is_fleet_wide:
            allowed = self._prefer_near(allowed)
        return choose_server(allowed, frozenset(), self._generator, now)

    def _prefer_near(self, candidates):
        near = [
            candidate
            for candidate in candidates
            if candidate.view.server.region == self._region
            and candidate.free > 0
        ]
        return near or candidates

    def _weigh(self, server):
        """Return the weight of a server for callers of this VM."""
        if server.region in ("", self._region):
            return server.slots
        return server.slots * max(self._remote_weight, _LEAST_WEIGHT)


def is_allowed(server, demand):
    """Tell whether a server may get a request.

    Parameters
    ----------
    server : BackendServer
        The server.
    demand : Demand
        Names the servers tried already and the regions allowed.
    """
    return server.server_id not in demand.excluded and (
        not demand.home_regions or server.region in demand.home_regions
    )
