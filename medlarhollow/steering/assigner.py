"""Assign slots of backend servers to requests."""

import attrs
from result import Ok

from .assignment import assign_candidate
from .placement.object_history import ObjectHistory
from .placement.placement import identify_object_servers
from .placement.placement import Placement

__all__ = ["SlotAssigner"]


class SlotAssigner:
    """Choose servers for requests and take their slots.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    state_cache : FleetStateCache
        The replicated fleet state.
    slots : SlotTracker
        Slots of the servers.
    spill : SpillCoordinator
        Credit from other data centres.
    """

    def __init__(self, settings, state_cache, slots, spill):
        self._placement = Placement(settings, state_cache)
        self._history = ObjectHistory()
        self._slots = slots
        self._spill = spill
        self._is_fleet_wide = settings.backends.scope == "fleet"

    def candidates(self, pool, now):
        """Return the usable servers of a pool with their free slots."""
        return self._slots.candidates(pool.service, pool.version, now)

    def assign(self, pool, request, candidates, now, wait_s=0.0):
        """Return a local slot or a slot on credit for a request.

        Parameters
        ----------
        pool : Pool
            Pool of the request.
        request : SlotRequest
            The request.
        candidates : LazyCandidates
            From :meth:`candidates`.
        now : float
            Monotonic time in seconds.
        wait_s : float
            Seconds that the request waited.

        Returns
        -------
        Assignment or None
            None if no server is free, or the limit of the pool is reached, and
            there is no credit.
        """
        chosen = None
        if pool.concurrency.permits(pool.in_flight):
            chosen = self._placement.choose(candidates, request, now)
        if chosen is not None:
            self._slots.acquire(chosen.view, now)
            pool.in_flight += 1
            reason = self._history.record(chosen, candidates, request)
            return assign_candidate(
                chosen, pool.version, request, wait_s, now, reason
            )
        if request.local_only or self._is_fleet_wide:
            return None
        return self._spill.spend(pool, request, now)

    def assign_other(self, pool, request, now):
        """Return a local slot for the second attempt of a request.

        Parameters
        ----------
        pool : Pool
            Pool of the request.
        request : SlotRequest
            The request, which excludes the server of its first attempt.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Assignment or None
            None if the other server of the object is full or cold; a cold
            one takes few requests and answers slowly. Servers beyond those
            two do not have the object.
        """
        if not pool.concurrency.permits(pool.in_flight):
            return None
        candidates = self.candidates(pool, now)
        chosen = self._placement.choose(candidates, request, now)
        if chosen is None or chosen.is_cold:
            return None
        servers = identify_object_servers(
            candidates, attrs.evolve(request, excluded=frozenset())
        )
        if servers and chosen.view.server.server_id not in servers:
            return None
        self._slots.acquire(chosen.view, now)
        pool.in_flight += 1
        reason = self._history.record_second(chosen, request)
        return assign_candidate(
            chosen, pool.version, request, 0.0, now, reason
        )

    def assign_waiting(self, pool, now):
        """Assign free slots and credit to the queued requests of a pool."""
        while len(pool.queue):
            candidates = self.candidates(pool, now)
            can_send = pool.concurrency.permits(pool.in_flight) and any(
                candidate.free_slots > 0 for candidate in candidates
            )
            if not can_send and not self._spill.remote_credit.available(
                pool.service, now
            ):
                return
            assigned = []

            def try_assign(item, candidates=candidates, assigned=assigned):
                if item.future.done():
                    return False
                assigned.append(
                    self.assign(
                        pool, item.request, candidates, now, now - item.since
                    )
                )
                return assigned[-1] is not None

            ticket = pool.queue.pop(try_assign, now)
            if ticket is None:
                return
            ticket.item.future.set_result(Ok(assigned[-1]))
