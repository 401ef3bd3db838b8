"""Choose among the free backend servers of a pool for one request."""

import math
import random

import attrs

from .affinity import SERVERS_PER_OBJECT
from .choice import choose_server

__all__ = ["Placement", "is_allowed", "list_own"]

# Part of the slots of a region's servers that is kept for requests which may
# run in no other region.
_RESERVE_PART = 0.2


class Placement:
    """Choose servers by object, region and load.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``backends`` are read.
    state_cache : FleetStateCache
        Names the home regions of accounts and routes.
    """

    def __init__(self, settings, state_cache):
        self._state_cache = state_cache
        self._seen = None
        self._home_regions = frozenset()
        self._region = settings.vm.region
        self._is_fleet_wide = settings.backends.scope == "fleet"
        self._generator = random.Random()

    def choose(self, candidates, demand, now):
        """Return a free server for a request.

        Parameters
        ----------
        candidates : Candidates
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
        homes = frozenset()
        if not demand.home_regions:
            homes = self._list_homes()
        if demand.affinity:
            return _choose_own(candidates, demand, homes)
        allowed = candidates
        if demand.excluded or demand.home_regions:
            allowed = [
                candidate
                for candidate in candidates
                if is_allowed(candidate.view.server, demand)
            ]
        if homes:
            allowed = [
                _keep_reserve(candidate, homes) for candidate in allowed
            ]
        if self._is_fleet_wide:
            allowed = self._prefer_near(allowed)
        return choose_server(allowed, frozenset(), self._generator, now)

    def _list_homes(self):
        """Return the regions that some accounts or routes are bound to."""
        state = self._state_cache.state
        if self._seen != (id(state), state.configuration_version):
            self._seen = (id(state), state.configuration_version)
            bound = [*state.accounts.values(), *state.routes.values()]
            self._home_regions = frozenset(
                region for each in bound for region in each.home_regions
            )
        return self._home_regions

    def _prefer_near(self, candidates):
        near = [
            candidate
            for candidate in candidates
            if candidate.view.server.region == self._region
            and candidate.free > 0
        ]
        return near or candidates


def list_own(candidates, demand):
    """Return the servers at which a request for an object may run.

    Parameters
    ----------
    candidates : Candidates
        The pool.
    demand : Demand
        The request, with its object.

    Returns
    -------
    list of Candidate
        The first warm ones in the order of the object that keep it, and the
        cold ones before them: those take few requests, so that an object
        must not wait for them.
    """
    found = []
    warm = 0
    for place in candidates.ranking.places(
        demand.affinity, demand.home_regions, demand.excluded
    ):
        if warm == SERVERS_PER_OBJECT:
            break
        found.append(candidates[place])
        warm += not found[-1].is_cold
    return found


def _choose_own(candidates, demand, homes):
    """Return the first own server of an object that is free, or None."""
    for candidate in list_own(candidates, demand):
        if homes:
            candidate = _keep_reserve(candidate, homes)
        if candidate.free > 0:
            return candidate
    return None


def _keep_reserve(candidate, home_regions):
    """Return a candidate less what is kept for those bound to its region.

    Requests with home regions have no other servers, so the rest, which has,
    must not fill these. The reserve is one of all VMs together.
    """
    server = candidate.view.server
    if candidate.free <= 0 or server.region not in home_regions:
        return candidate
    reserve = math.ceil(server.slots * _RESERVE_PART)
    free = min(candidate.free, candidate.room - reserve)
    return attrs.evolve(candidate, free=free)


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
