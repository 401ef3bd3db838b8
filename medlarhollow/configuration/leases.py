"""How long an allocator may act without new proof of authority."""

__all__ = ["effective_allocator_lease_s"]


def effective_allocator_lease_s(state, limits):
    """Return the lease of allocators, as extended by stale routes.

    Parameters
    ----------
    state : FleetState
        Its routes may let keyed requests go on without proof of authority.
    limits : LimitsSettings
        Gives the lease without such routes; it must be the same on all VMs.

    Returns
    -------
    float
        Seconds from the proof of authority.

    Notes
    -----
    A route with `stale_keys_s` is of use in a data centre that is cut off
    only if tokens are handed out there for as long. The price is paid by
    whoever takes over from a lost allocator: it waits this long.
    """
    return limits.allocator_lease_s + state.longest_stale_keys_s
