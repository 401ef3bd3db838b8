"""Lease of allocators: how long a proof of authority remains valid."""

__all__ = ["effective_allocator_lease_s"]


def effective_allocator_lease_s(state, limits):
    """Return the allocator lease, extended for routes with stale keys.

    Parameters
    ----------
    state : FleetState
        Its `longest_stale_keys_s` is the longest time for which a route may
        accept requests with keys without a proof of authority.
    limits : LimitsSettings
        Contains the lease without such routes; must be identical on all VMs.

    Returns
    -------
    float
        Lease in seconds, counted from the proof of authority.

    Notes
    -----
    In a partitioned data centre, a route with `stale_keys_s` is useful only
    if tokens are granted there for the same time. In return, the successor
    of a failed allocator has to wait for the extended lease to expire.
    """
    return limits.allocator_lease_s + state.longest_stale_keys_s
