"""Changes of the shares of data centres and of their allocators."""

import math

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import SetAllocator
from ..messages.records import SetShares
from ..messages.records import VmState
from .apply import apply
from .names import check_name

__all__ = ["LARGEST_FIGURE", "list_shares", "lower_shares"]

# Sums of rates and of bursts must not overflow.
LARGEST_FIGURE = 1e12
# Rounding of sums of floating point shares, relative to the account.
_TOLERANCE = 1e-9


def list_shares(state, account):
    """Return the shares of an account.

    Parameters
    ----------
    state : FleetState
        Holds the shares.
    account : str
        Name of the account.

    Returns
    -------
    dict of str to Share
        By data centre.
    """
    return {
        place[1]: share
        for place, share in state.shares.items()
        if place[0] == account
    }


def lower_shares(state, account):
    """Bring the shares of an account down to its rate and burst.

    Parameters
    ----------
    state : FleetState
        Altered in place.
    account : Account
        The account with its new figures.
    """
    shares = list_shares(state, account.name)
    rate = math.fsum(share.rate_per_s for share in shares.values())
    burst = math.fsum(share.burst for share in shares.values())
    rate_part = min(1.0, account.rate_per_s / rate) if rate else 1.0
    burst_part = min(1.0, account.burst / burst) if burst else 1.0
    if rate_part == burst_part == 1.0:
        return
    for data_centre, share in shares.items():
        state.shares[(account.name, data_centre)] = attrs.evolve(
            share,
            rate_per_s=share.rate_per_s * rate_part,
            burst=share.burst * burst_part,
            epoch=state.revision + 1,
        )


@apply.register
def _set_shares(change: SetShares, state, now):
    """Set shares; one without rate and burst is removed.

    The epoch of a share is the revision that set it, so that one number in
    the report of an allocator tells which shares it has taken over.
    """
    new = {}
    for share in change.shares:
        checked = _check_share(share, state)
        if checked.is_err():
            return checked
        place = (share.account, share.data_centre)
        if place in new:
            return fail(ErrorKind.BAD_REQUEST, f"two shares for {place}")
        new[place] = share
    for name in {share.account for share in change.shares}:
        checked = _check_sum(state, state.accounts[name], new)
        if checked.is_err():
            return checked
    for place, share in new.items():
        if share.rate_per_s == share.burst == 0:
            state.shares.pop(place, None)
        else:
            state.shares[place] = attrs.evolve(share, epoch=state.revision + 1)
    return Ok(None)


@apply.register
def _set_allocator(change: SetAllocator, state, now):
    allocator = change.allocator
    if allocator is None:
        return fail(ErrorKind.BAD_REQUEST, "an allocator is needed")
    vm = state.vms.get(allocator.vm)
    if (
        vm is None
        or vm.incarnation != allocator.incarnation
        or vm.data_centre != allocator.data_centre
        or vm.state is not VmState.SERVING
    ):
        return fail(
            ErrorKind.CONFLICT,
            f"'{allocator.vm}' of incarnation '{allocator.incarnation}' does "
            f"not serve in data centre '{allocator.data_centre}'",
        )
    state.allocators[allocator.data_centre] = attrs.evolve(
        allocator, epoch=state.revision + 1
    )
    return Ok(None)


def _check_share(share, state):
    if share.account not in state.accounts:
        return fail(ErrorKind.NOT_FOUND, f"no account '{share.account}'")
    name = check_name("data centre", share.data_centre)
    if name.is_err():
        return name
    if not (
        0 <= share.rate_per_s <= LARGEST_FIGURE
        and 0 <= share.burst <= LARGEST_FIGURE
    ):
        return fail(
            ErrorKind.BAD_REQUEST,
            f"share of '{share.account}' in '{share.data_centre}': rate_per_s "
            "and burst must be numbers from 0 to 1e+12",
        )
    return Ok(None)


def _check_sum(state, account, new):
    """Check the sum of shares while the change is on its way.

    A data centre whose share is raised may learn of it before another one
    learns that its share is lowered, so each share counts as the larger of
    its figures before and after.
    """
    places = {
        place for place in (*state.shares, *new) if place[0] == account.name
    }
    versions = [
        [table[place] for table in (state.shares, new) if place in table]
        for place in places
    ]
    for field in ("rate_per_s", "burst"):
        total = math.fsum(
            max(getattr(share, field) for share in shares)
            for shares in versions
        )
        limit = getattr(account, field)
        raised = any(
            getattr(new[place], field)
            > (
                getattr(state.shares[place], field)
                if place in state.shares
                else 0
            )
            for place in places
            if place in new
        )
        if raised and total > limit * (1 + _TOLERANCE):
            return fail(
                ErrorKind.CONFLICT,
                f"the shares of '{account.name}' would reach {field} "
                f"{total:g} of {limit:g}; lower the others first",
            )
    return Ok(None)
