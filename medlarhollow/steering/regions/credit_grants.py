"""Credit that this VM grants to VMs of other data centres."""

from ...errors import fail
from ...messages.records import CreditResponse
from ...messages.records import ErrorKind

__all__ = ["CreditGrants"]


class CreditGrants:
    """Grant credit from the headroom of the local servers.

    Parameters
    ----------
    state_cache : FleetStateCache
        Provides the services.
    pools : Pools
        Queues of this VM.
    slots : SlotTracker
        Slots of the servers.
    spill : SpillCoordinator
        Keeps the credit that is outstanding.
    """

    def __init__(self, state_cache, pools, slots, spill):
        self._state_cache = state_cache
        self._pools = pools
        self._slots = slots
        self._spill = spill

    def grant(self, request, now):
        """Grant credit for requests from another data centre.

        Parameters
        ----------
        request : CreditRequest
            Request of an entry VM there.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        CreditResponse
            The granted credit or the failure.
        """
        service = self._state_cache.state.services.get(request.service)
        if service is None:
            failure = fail(
                ErrorKind.NOT_FOUND, f"no service '{request.service}'"
            )
            return CreditResponse(failure=failure.err_value)
        pool_key = (service.name, service.version)
        slots, in_flight = self._slots.headroom(*pool_key, now)
        pool = self._pools.get(*pool_key)
        queued = len(pool.queue) if pool else 0
        return self._spill.grant(
            request,
            slots,
            in_flight + queued,
            self._slots.count_vms(now),
            pool.latency_s if pool else None,
            now,
        )
