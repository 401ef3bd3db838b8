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

__all__ = ["MAX_RATE_OR_BURST", "group_shares", "scale_down_shares"]

# Sums of rates and of bursts must not overflow.
MAX_RATE_OR_BURST = 1e12
# Rounding of sums of floating point shares, relative to the account.
_TOLERANCE = 1e-9


def group_shares(state):
    """Return the shares of all accounts.

    Parameters
    ----------
    state : FleetState
        Holds the shares.

    Returns
    -------
    dict of str to dict of str to Share
        By account and data centre; accounts without a share are left out.
    """
    return _group(state.shares)


def scale_down_shares(state, account, shares):
    """Bring the shares of an account down to its rate and burst.

    Parameters
    ----------
    state : FleetState
        Altered in place.
    account : Account
        The account with its new figures.
    shares : dict of str to Share
        Its shares by data centre.
    """
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
    """Set shares; one that is empty and set empty again is removed.

    An empty share keeps its epoch until then, so that it is known whether
    its allocator has taken it over.

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
    old = group_shares(state)
    for name, shares in _group(new).items():
        checked = _check_sum(state.accounts[name], old.get(name, {}), shares)
        if checked.is_err():
            return checked
    for place, share in new.items():
        if _is_empty(share) and _is_empty(state.shares.get(place, share)):
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
    known = state.allocators.get(allocator.data_centre)
    if known is not None and _same_process(known, allocator):
        named = attrs.evolve(known, started=known.started or allocator.started)
    else:
        named = attrs.evolve(
            allocator,
            epoch=state.revision + 1,
            has_predecessor=known is not None,
            predecessor_may_run=_may_run(known, allocator),
            started=False,
        )
    state.allocators[allocator.data_centre] = named
    return Ok(None)


def _same_process(known, allocator):
    return (known.vm, known.incarnation) == (
        allocator.vm,
        allocator.incarnation,
    )


def _may_run(known, allocator):
    """Return whether an earlier holder may still hand out tokens.

    A new incarnation listens on the address of the VM's last one, which has
    therefore ended. One that had not started may itself have waited for a
    process on another VM.
    """
    if known is None:
        return False
    ended = known.vm == allocator.vm
    return not ended or (known.predecessor_may_run and not known.started)


def _is_empty(share):
    return share.rate_per_s == share.burst == 0


def _check_share(share, state):
    if share.account not in state.accounts:
        return fail(ErrorKind.NOT_FOUND, f"no account '{share.account}'")
    name = check_name("data centre", share.data_centre)
    if name.is_err():
        return name
    if not (
        0 <= share.rate_per_s <= MAX_RATE_OR_BURST
        and 0 <= share.burst <= MAX_RATE_OR_BURST
    ):
        return fail(
            ErrorKind.BAD_REQUEST,
            f"share of '{share.account}' in '{share.data_centre}': rate_per_s "
            "and burst must be numbers from 0 to 1e+12",
        )
    return Ok(None)


def _check_sum(account, old, new):
    """Check the sum of shares while the change is on its way.

    A data centre whose share is raised may learn of it before another one
    learns that its share is lowered, so each share counts as the larger of
    its figures before and after.
    """
    for field in ("rate_per_s", "burst"):
        before = {place: getattr(share, field) for place, share in old.items()}
        after = {place: getattr(share, field) for place, share in new.items()}
        total = math.fsum(
            max(before.get(place, 0.0), after.get(place, 0.0))
            for place in {*before, *after}
        )
        limit = getattr(account, field)
        raised = any(
            figure > before.get(place, 0.0) for place, figure in after.items()
        )
        if raised and total > limit * (1 + _TOLERANCE):
            return fail(
                ErrorKind.CONFLICT,
                f"the shares of '{account.name}' would reach {field} "
                f"{total:g} of {limit:g}; lower the others first",
            )
    return Ok(None)


def _group(shares):
    groups = {}
    for (account, data_centre), share in shares.items():
        groups.setdefault(account, {})[data_centre] = share
    return groups
