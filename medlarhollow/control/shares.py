"""Duty of the leader: divide rate and burst of accounts by demand."""

import math

from ..configuration.shares import group_shares
from ..messages.records import SetShares
from ..messages.records import Share

__all__ = ["divide_account", "plan_shares"]

# Part of an account that is divided evenly, so that a data centre whose
# demand begins can serve some of it at once.
_FLOOR_PART = 0.2
# Part of an account's rate below which a transfer is not worth a commit.
_LEAST_TRANSFER = 0.1
# A data centre that uses more of its share than this needs more.
_BUSY_PART = 0.9
# Requests turned away, as a part of demand, above which shares are wrong.
_UNMET_PART = 0.01
_ROUNDING = 1e-6


def plan_shares(state, demand, leases, now):
    """Return the next change of shares.

    Parameters
    ----------
    state : FleetState
        Holds accounts, roster, shares and allocators.
    demand : DemandEstimator
        Average demand.
    leases : LeaseMonitor
        Knows which shares allocators have taken over.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    SetShares or None
        None if nothing is due.

    Notes
    -----
    A transfer takes two changes. The first only lowers shares. What is free
    is given out by a second one as soon as every allocator that holds a share
    of the account has taken over its latest one, or its lease has certainly
    expired. Which of the two is next follows from the state, so a new leader
    continues a transfer.
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


def divide_account(account, weights, held=()):
    """Divide an account over data centres.

    Parameters
    ----------
    account : Account
        Its rate and burst are divided.
    weights : dict of str to float
        Demand by data centre.
    held : container of str
        Data centres that have a share now. They keep it against others with
        up to twice their demand.

    Returns
    -------
    dict of str to Share
        By data centre. A share has a burst of at least 1, since a bucket that
        never holds a token serves nothing; if the burst does not suffice for
        all data centres, those with the least demand have no share.
    """
    count = min(len(weights), int(account.burst))
    chosen = sorted(
        weights,
        key=lambda place: (
            -weights[place] * (2 if place in held else 1),
            place not in held,
            place,
        ),
    )[:count]
    total = math.fsum(weights[place] for place in chosen)
    shares = {}
    for place in chosen:
        wanted = weights[place] / total if total > 0 else 1 / count
        part = _FLOOR_PART / count + (1 - _FLOOR_PART) * wanted
        shares[place] = Share(
            account.name,
            place,
            account.rate_per_s * part,
            1 + (account.burst - count) * part,
        )
    return shares


def _plan_account(state, name, shares, active, demand, leases, now):
    account = state.accounts[name]
    gone = _list_gone(state, shares, active, leases, now)
    if gone:
        return gone
    free_rate, free_burst = _count_free(account, shares)
    if (
        free_rate > _ROUNDING * account.rate_per_s
        or free_burst > _ROUNDING * account.burst
    ):
        if not _is_settled(state, shares, leases, now):
            return []
        target = _find_target(account, shares, active, demand)
        return _raise_shares(shares, target, free_rate, free_burst)
    if _is_at_rest(account, shares, active, demand):
        return []
    target = _find_target(account, shares, active, demand)
    if _is_transfer_due(account, shares, target, demand):
        return _lower_shares(shares, target)
    return []


def _list_gone(state, shares, active, leases, now):
    """Return empty shares for data centres that have no VM."""
    return [
        Share(share.account, place)
        for place, share in shares.items()
        if place not in active and _is_unused(state, place, leases, now)
    ]


def _is_unused(state, data_centre, leases, now):
    allocator = state.allocators.get(data_centre)
    return allocator is None or leases.has_expired(allocator, now)


def _is_settled(state, shares, leases, now):
    # The time of each share counts from the first look at it, so that all
    # are looked at each time.
    superseded = [
        leases.earlier_shares_expired(share, state, now)
        for share in shares.values()
    ]
    return all(
        place not in state.allocators
        or leases.share_epoch(state.allocators[place]) >= share.epoch
        or (is_old and leases.has_expired(state.allocators[place], now))
        for is_old, (place, share) in zip(
            superseded, shares.items(), strict=True
        )
    )


def _find_target(account, shares, active, demand):
    weights = {
        place: demand.need(account.name, place).rate_per_s for place in active
    }
    if not any(weights.values()):
        # Nothing is known of the demand, for example after a leader change.
        weights = {
            place: shares[place].rate_per_s if place in shares else 0.0
            for place in active
        }
    held = {place for place, share in shares.items() if share.burst >= 1}
    return divide_account(account, weights, held)


def _count_free(account, shares):
    rate = math.fsum(share.rate_per_s for share in shares.values())
    burst = math.fsum(share.burst for share in shares.values())
    return account.rate_per_s - rate, account.burst - burst


def _raise_shares(shares, target, free_rate, free_burst):
    lacks = {
        place: (
            max(0.0, share.rate_per_s - _rate(shares, place)),
            max(0.0, share.burst - _burst(shares, place)),
        )
        for place, share in target.items()
    }
    rate_part = _part(free_rate, math.fsum(rate for rate, _ in lacks.values()))
    burst_part = _part(
        free_burst, math.fsum(burst for _, burst in lacks.values())
    )
    raised = []
    for place, (rate, burst) in lacks.items():
        new = Share(
            target[place].account,
            place,
            _rate(shares, place) + rate * rate_part,
            _burst(shares, place) + burst * burst_part,
        )
        if rate * rate_part or burst * burst_part:
            raised.append(new)
    return raised


def _lower_shares(shares, target):
    lowered = []
    for place, share in shares.items():
        rate = min(share.rate_per_s, _rate(target, place))
        burst = min(share.burst, _burst(target, place))
        if (rate, burst) != (share.rate_per_s, share.burst):
            lowered.append(Share(share.account, place, rate, burst))
    return lowered


def _is_at_rest(account, shares, active, demand):
    """Tell without dividing the account that no transfer is due.

    With hundreds of accounts and data centres, dividing all of them in every
    round took most of the leader's time.
    """
    count = min(len(active), int(account.burst))
    floor = _FLOOR_PART * account.rate_per_s / max(1, count)
    held = 0
    for place in active:
        rate = _rate(shares, place)
        if _is_short(demand.need(account.name, place), rate):
            return False
        held += rate >= floor / 2 > 0 and shares[place].burst >= 1 - _ROUNDING
    return held >= count


def _is_transfer_due(account, shares, target, demand):
    floor = _FLOOR_PART * account.rate_per_s / max(1, len(target))
    if any(
        _rate(shares, place) < floor / 2
        or _burst(shares, place) < 1 - _ROUNDING
        for place in target
    ):
        return True
    transfer = math.fsum(
        max(0.0, share.rate_per_s - _rate(target, place))
        for place, share in shares.items()
    )
    if transfer < _LEAST_TRANSFER * account.rate_per_s:
        return False
    return any(
        _is_short(demand.need(account.name, place), _rate(shares, place))
        for place in target
    )


def _is_short(need, rate):
    return (
        need.unmet_per_s > _UNMET_PART * need.rate_per_s
        or need.rate_per_s > _BUSY_PART * rate
    )


def _part(free, lack):
    return max(0.0, min(1.0, free / lack)) if lack else 0.0


def _rate(shares, place):
    return shares[place].rate_per_s if place in shares else 0.0


def _burst(shares, place):
    return shares[place].burst if place in shares else 0.0
