"""Lease of allocators: how long a proof of authority remains valid."""

__all__ = [
    "account_lease_s",
    "effective_allocator_lease_s",
    "undivided_lease_s",
]

# Limit of the extension for accounts with one bucket: covers an election of
# the control leader and the search for an upstream.
_UNDIVIDED_EXTENSION_S = 2.0


def account_lease_s(state, limits, account):
    """Return the lease for which an allocator issues tokens of an account.

    Parameters
    ----------
    state : FleetState
        Names the accounts that are divided over data centres.
    limits : LimitsSettings
        Contains the lease without extension; must be identical on all VMs.
    account : str
        Name of the account.

    Returns
    -------
    float
        Lease in seconds, counted from the proof of authority.

    Notes
    -----
    An account with one bucket has no tokens anywhere until the successor of
    its allocator starts, so its lease is extended less. An account counts as
    divided for good, so that an allocator with an older state has a lease
    that is no longer than its successor assumes.
    """
    if account in state.divided_accounts:
        return effective_allocator_lease_s(state, limits)
    return undivided_lease_s(state, limits)


def undivided_lease_s(state, limits):
    """Return the lease for accounts with one bucket; see `account_lease_s`."""
    extension_s = min(state.longest_stale_keys_s, _UNDIVIDED_EXTENSION_S)
    return limits.allocator_lease_s + extension_s


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
