"""Leader task that divides rate and burst of accounts by demand."""

import hashlib
import math

from ..configuration.shares import count_shares
from ..configuration.shares import group_shares
from ..messages.records import SetShares
from ..messages.records import Share

__all__ = ["divide_account", "plan_shares"]

# Fraction of an account that is divided evenly, so that a data centre with
# new demand can serve some of it at once.
_FLOOR_FRACTION = 0.2
# Transfers below this fraction of an account's rate do not justify a commit.
_MIN_TRANSFER_FRACTION = 0.1
# A data centre that uses more than this fraction of its share needs more.
_HIGH_UTILIZATION = 0.9
# Shares do not fit the demand if a larger fraction of it is rejected.
_MAX_REJECTED_FRACTION = 0.01
# Relative tolerance for rounding errors.
_TOLERANCE = 1e-6


def plan_shares(state, demand, leases, now):
    """Plan the next change of shares.

    Parameters
    ----------
    state : FleetState
        Provides accounts, roster, shares and allocators.
    demand : DemandEstimator
        Provides the average demand.
    leases : LeaseMonitor
        Determines which shares allocators have applied.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    SetShares or None
        None if nothing is due.

    Notes
    -----
    A transfer takes two changes. The first only lowers shares. The second
    distributes what is unallocated, as soon as every allocator that has a
    share of the account has applied its latest share or its lease has
    certainly expired. The state determines which of the two is next, so a new
    leader continues an unfinished transfer.
    """
    active = {vm.data_centre for vm in state.vms.values() if vm.caller_address}
    if not active:
        return None
    changes = []
    shares = group_shares(state)
    for name in sorted(state.accounts):
        changes += _plan_account(
            state, name, shares.get(name, {}), active, demand, leases, now
        )
    return SetShares(tuple(changes)) if changes else None


def divide_account(account, weights, current=()):
    """Divide an account over data centres.

    Parameters
    ----------
    account : Account
        Its rate and burst are divided.
    weights : dict of str to float
        Demand by data centre.
    current : container of str
        Data centres that have a share now. If there are not enough tokens for
        all, they keep theirs whatever the demand: while a share moves, the
        account has fewer tokens.

    Returns
    -------
    dict of str to Share
        By data centre. A share has a burst of at least 1, since a token bucket
        that cannot hold a whole token admits no request; if the burst does
        not suffice for all data centres, those with the least demand get no
        share.
    """
    count = count_shares(account, len(weights))
    chosen = sorted(
        weights,
        key=lambda data_centre: (
            data_centre not in current,
            -weights[data_centre],
            # Spreads accounts without demand.
            _hash(account.name, data_centre),
        ),
    )[:count]
    total = math.fsum(weights[data_centre] for data_centre in chosen)
    shares = {}
    for data_centre in chosen:
        demand_fraction = (
            weights[data_centre] / total if total > 0 else 1 / count
        )
        fraction = (
            _FLOOR_FRACTION / count + (1 - _FLOOR_FRACTION) * demand_fraction
        )
        shares[data_centre] = Share(
            account.name,
            data_centre,
            account.rate_per_s * fraction,
            1 + (account.burst - count) * fraction,
        )
    return shares


def _hash(account, data_centre):
    text = f"{account}/{data_centre}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _plan_account(state, name, shares, active, demand, leases, now):
    account = state.accounts[name]
    released = _release_unused(state, shares, active, leases, now)
    if released:
        return released
    free_rate, free_burst = _sum_unallocated(account, shares)
    if (
        free_rate > _TOLERANCE * account.rate_per_s
        or free_burst > _TOLERANCE * account.burst
    ):
        if not _are_shares_applied(state, shares, leases, now):
            return []
        target = _compute_target(account, shares, active, demand)
        return _raise_shares(shares, target, free_rate, free_burst)
    if _is_balanced(account, shares, active, demand):
        return []
    target = _compute_target(account, shares, active, demand)
    if _is_transfer_due(account, shares, target, demand):
        return _lower_shares(shares, target)
    return []


def _release_unused(state, shares, active, leases, now):
    """Return empty shares for data centres that no longer have a VM."""
    return [
        Share(share.account, data_centre)
        for data_centre, share in shares.items()
        if data_centre not in active
        and _is_unused(state, data_centre, leases, now)
    ]


def _is_unused(state, data_centre, leases, now):
    allocator = state.allocators.get(data_centre)
    return allocator is None or leases.has_expired(allocator, now)


def _are_shares_applied(state, shares, leases, now):
    # The age of a share counts from the first call with it, so the call must
    # be made for every share each time.
    expired = [
        leases.earlier_shares_expired(share, state, now)
        for share in shares.values()
    ]
    return all(
        data_centre not in state.allocators
        or leases.share_epoch(state.allocators[data_centre]) >= share.epoch
        or (
            earlier_expired
            and leases.has_expired(state.allocators[data_centre], now)
        )
        for earlier_expired, (data_centre, share) in zip(
            expired, shares.items(), strict=True
        )
    )


def _compute_target(account, shares, active, demand):
    weights = {
        data_centre: demand.average(account.name, data_centre).rate_per_s
        for data_centre in active
    }
    if not any(weights.values()):
        # No demand was reported yet, for example after a change of leader.
        weights = {
            data_centre: shares[data_centre].rate_per_s
            if data_centre in shares
            else 0.0
            for data_centre in active
        }
    current = {
        data_centre
        for data_centre, share in shares.items()
        if share.burst >= 1
    }
    return divide_account(account, weights, current)


def _sum_unallocated(account, shares):
    rate = math.fsum(share.rate_per_s for share in shares.values())
    burst = math.fsum(share.burst for share in shares.values())
    return account.rate_per_s - rate, account.burst - burst


def _raise_shares(shares, target, free_rate, free_burst):
    deficits = {
        data_centre: (
            max(0.0, share.rate_per_s - _rate(shares, data_centre)),
            max(0.0, share.burst - _burst(shares, data_centre)),
        )
        for data_centre, share in target.items()
    }
    rate_fraction = _grant_fraction(
        free_rate, math.fsum(rate for rate, _ in deficits.values())
    )
    burst_fraction = _grant_fraction(
        free_burst, math.fsum(burst for _, burst in deficits.values())
    )
    raised = []
    for data_centre, (rate, burst) in deficits.items():
        new = Share(
            target[data_centre].account,
            data_centre,
            _rate(shares, data_centre) + rate * rate_fraction,
            _burst(shares, data_centre) + burst * burst_fraction,
        )
        if rate * rate_fraction or burst * burst_fraction:
            raised.append(new)
    return raised


def _lower_shares(shares, target):
    lowered = []
    for data_centre, share in shares.items():
        rate = min(share.rate_per_s, _rate(target, data_centre))
        burst = min(share.burst, _burst(target, data_centre))
        if (rate, burst) != (share.rate_per_s, share.burst):
            lowered.append(Share(share.account, data_centre, rate, burst))
    return lowered


def _is_balanced(account, shares, active, demand):
    """Return True if no transfer is due, without dividing the account.

    This is an optimization: with hundreds of accounts and data centres,
    dividing all accounts in every round took most of the leader's time. False
    does not mean that a transfer is due.
    """
    count = count_shares(account, len(active))
    floor = _FLOOR_FRACTION * account.rate_per_s / max(1, count)
    if _count_holders(shares) > count:
        return False
    served = 0
    for data_centre in active:
        rate = _rate(shares, data_centre)
        if _exceeds_share(demand.average(account.name, data_centre), rate):
            return False
        served += (
            rate >= floor / 2 > 0
            and shares[data_centre].burst >= 1 - _TOLERANCE
        )
    return served >= count


def _is_transfer_due(account, shares, target, demand):
    floor = _FLOOR_FRACTION * account.rate_per_s / max(1, len(target))
    if _count_holders(shares) > len(target) > 0:
        return True
    if any(
        _rate(shares, data_centre) < floor / 2
        or _burst(shares, data_centre) < 1 - _TOLERANCE
        for data_centre in target
    ):
        return True
    transfer = math.fsum(
        max(0.0, share.rate_per_s - _rate(target, data_centre))
        for data_centre, share in shares.items()
    )
    if transfer < _MIN_TRANSFER_FRACTION * account.rate_per_s:
        return False
    return any(
        _exceeds_share(
            demand.average(account.name, data_centre),
            _rate(shares, data_centre),
        )
        for data_centre in target
    )


def _count_holders(shares):
    return sum(share.burst >= 1 - _TOLERANCE for share in shares.values())


def _exceeds_share(average, rate):
    return (
        average.unmet_per_s > _MAX_REJECTED_FRACTION * average.rate_per_s
        or average.rate_per_s > _HIGH_UTILIZATION * rate
    )


def _grant_fraction(free, deficit):
    return max(0.0, min(1.0, free / deficit)) if deficit else 0.0


def _rate(shares, data_centre):
    return shares[data_centre].rate_per_s if data_centre in shares else 0.0


def _burst(shares, data_centre):
    return shares[data_centre].burst if data_centre in shares else 0.0
