"""Selection of a server by object affinity, home region and load."""

import math
import random

import attrs

from .rendezvous import SERVERS_PER_OBJECT
from .server_selection import choose_server

__all__ = [
    "Placement",
    "identify_object_servers",
    "is_allowed",
    "list_object_servers",
]

# Fraction of the slots of a home region's servers that is reserved for
# requests that are bound to that region.
_RESERVE_FRACTION = 0.2


class Placement:
    """Choose servers by object, region and load.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``backends`` are read.
    state_cache : FleetStateCache
        Provides the home regions of accounts and routes.
    """

    def __init__(self, settings, state_cache):
        self._state_cache = state_cache
        self._home_regions_key = None
        self._home_regions = frozenset()
        self._region = settings.vm.region
        self._is_fleet_wide = settings.backends.scope == "fleet"
        self._generator = random.Random()

    def choose(self, candidates, slot_request, now):
        """Return a free server for a request.

        Parameters
        ----------
        candidates : LazyCandidates
            The pool.
        slot_request : SlotRequest
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Candidate or None
            The first free server in the ranking of the requested object;
            without an object, a server chosen by load, of the local region
            if possible. None if no allowed server is free.
        """
        reserved = frozenset()
        if slot_request.home_regions is None:
            reserved = self._bound_regions()
        if slot_request.affinity:
            return _choose_object_server(candidates, slot_request, reserved)
        allowed = candidates
        if slot_request.excluded or slot_request.home_regions is not None:
            allowed = [
                candidate
                for candidate in candidates
                if is_allowed(candidate.view.server, slot_request)
            ]
        if reserved:
            allowed = [
                _subtract_reserve(candidate, reserved) for candidate in allowed
            ]
        if self._is_fleet_wide:
            allowed = self._prefer_local_region(allowed)
        return choose_server(allowed, frozenset(), self._generator, now)

    def _bound_regions(self):
        """Return the home regions of all accounts and routes."""
        state = self._state_cache.state
        if self._home_regions_key != (id(state), state.configuration_version):
            self._home_regions_key = (id(state), state.configuration_version)
            bound = [*state.accounts.values(), *state.routes.values()]
            self._home_regions = frozenset(
                region for record in bound for region in record.home_regions
            )
        return self._home_regions

    def _prefer_local_region(self, candidates):
        local = [
            candidate
            for candidate in candidates
            if candidate.view.server.region == self._region
            and candidate.free_slots > 0
        ]
        return local or candidates


def list_object_servers(candidates, slot_request):
    """Return the servers that may serve a request for an object.

    Parameters
    ----------
    candidates : LazyCandidates
        The pool.
    slot_request : SlotRequest
        The request, with the key of its object.

    Returns
    -------
    list of Candidate
        The first `SERVERS_PER_OBJECT` warm servers of its ranking and the
        cold servers before them. Cold servers accept few requests, so a
        request must not depend on them alone.
    """
    selected = []
    warm = 0
    for index in candidates.ranking.ranked_indexes(
        slot_request.affinity, slot_request.home_regions, slot_request.excluded
    ):
        if warm == SERVERS_PER_OBJECT:
            break
        selected.append(candidates[index])
        warm += not selected[-1].is_cold
    return selected


def identify_object_servers(candidates, slot_request):
    """Return the identifiers of the servers of the requested object.

    Parameters
    ----------
    candidates : LazyCandidates
        The pool.
    slot_request : SlotRequest
        The request.

    Returns
    -------
    tuple of str
        Empty if the request is for no object.
    """
    if not slot_request.affinity:
        return ()
    return tuple(
        candidate.view.server.server_id
        for candidate in list_object_servers(candidates, slot_request)
    )


def _choose_object_server(candidates, slot_request, reserved):
    """Return the first free server of an object, or None."""
    for candidate in list_object_servers(candidates, slot_request):
        if reserved:
            candidate = _subtract_reserve(candidate, reserved)
        if candidate.free_slots > 0:
            return candidate
    return None


def _subtract_reserve(candidate, reserved):
    """Return a candidate without the reserve of its home region.

    Requests with home regions cannot use other servers, so the remaining
    requests, which can, must not fill these. All VMs share one reserve.
    """
    server = candidate.view.server
    if candidate.free_slots <= 0 or server.region not in reserved:
        return candidate
    reserve = math.ceil(server.slots * _RESERVE_FRACTION)
    free = min(candidate.free_slots, candidate.unused_slots - reserve)
    return attrs.evolve(candidate, free_slots=free)


def is_allowed(server, slot_request):
    """Return whether a server may serve a request.

    Parameters
    ----------
    server : BackendServer
        The server.
    slot_request : SlotRequest
        Provides the excluded servers and the allowed regions.
    """
    return server.server_id not in slot_request.excluded and (
        slot_request.home_regions is None
        or server.region in slot_request.home_regions
    )
