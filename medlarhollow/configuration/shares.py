"""Apply changes to the shares of data centres and to their allocators."""

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

__all__ = [
    "MAX_RATE_OR_BURST",
    "count_shares",
    "group_shares",
    "scale_down_shares",
    "store_account",
]

# Keeps sums of rates and of bursts from overflowing.
MAX_RATE_OR_BURST = 1e12
# Smallest burst of a share. Buckets that hold few tokens each keep fractions
# that no request can use, and wait for reports before they refill.
_MIN_SHARE_BURST = 16.0
# Absorbs the rounding of floating-point sums, relative to the limit of the
# account.
_RELATIVE_TOLERANCE = 1e-9


def count_shares(account, data_centres):
    """Return the number of data centres that share an account.

    Parameters
    ----------
    account : Account
        Its burst is divided.
    data_centres : int
        Number of data centres that may have a share.
    """
    if account.burst < 1:
        return 0
    return min(data_centres, max(1, int(account.burst / _MIN_SHARE_BURST)))


def store_account(state, account):
    """Add or replace an account.

    Parameters
    ----------
    state : FleetState
        Modified in place.
    account : Account
        The account with its new rate and burst.
    """
    state.accounts[account.name] = account
    if account.burst >= 2 * _MIN_SHARE_BURST:
        state.divided_accounts.add(account.name)


def group_shares(state):
    """Group the shares of all accounts by account.

    Parameters
    ----------
    state : FleetState
        Contains the shares.

    Returns
    -------
    dict of str to dict of str to Share
        Shares by account and data centre; accounts without a share are
        omitted.
    """
    return _group_by_account(state.shares)


def scale_down_shares(state, account, shares):
    """Scale the shares of an account down to its rate and burst.

    Parameters
    ----------
    state : FleetState
        Modified in place.
    account : Account
        The account with its new rate and burst.
    shares : dict of str to Share
        Shares of the account by data centre.
    """
    rate = math.fsum(share.rate_per_s for share in shares.values())
    burst = math.fsum(share.burst for share in shares.values())
    rate_factor = min(1.0, account.rate_per_s / rate) if rate else 1.0
    burst_factor = min(1.0, account.burst / burst) if burst else 1.0
    if rate_factor == burst_factor == 1.0:
        return
    for data_centre, share in shares.items():
        state.shares[(account.name, data_centre)] = attrs.evolve(
            share,
            rate_per_s=share.rate_per_s * rate_factor,
            burst=share.burst * burst_factor,
            epoch=state.revision + 1,
        )


@apply.register
def _set_shares(change: SetShares, state, now):
    """Set shares; an empty share that is set to empty again is removed.

    Until then it keeps its epoch, which shows whether its allocator has
    applied it.

    The epoch of a share is the revision that set it, so that a single number
    in the report of an allocator identifies the shares it has applied.
    """
    new = {}
    for share in change.shares:
        checked = _check_share(share, state)
        if checked.is_err():
            return checked
        share_key = (share.account, share.data_centre)
        if share_key in new:
            return fail(ErrorKind.BAD_REQUEST, f"two shares for {share_key}")
        new[share_key] = share
    old = group_shares(state)
    for name, shares in _group_by_account(new).items():
        checked = _check_totals(
            state.accounts[name], old.get(name, {}), shares
        )
        if checked.is_err():
            return checked
    for share_key, share in new.items():
        if _is_empty(share) and _is_empty(state.shares.get(share_key, share)):
            state.shares.pop(share_key, None)
        else:
            state.shares[share_key] = attrs.evolve(
                share, epoch=state.revision + 1
            )
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
    current = state.allocators.get(allocator.data_centre)
    if current is not None and _same_process(current, allocator):
        updated = attrs.evolve(
            current,
            started=current.started or allocator.started,
            is_confirmed=current.is_confirmed or allocator.is_confirmed,
        )
    else:
        updated = attrs.evolve(
            allocator,
            epoch=state.revision + 1,
            has_predecessor=current is not None,
            predecessor_may_run=_predecessor_may_run(current, allocator),
            started=False,
            is_confirmed=False,
        )
    state.allocators[allocator.data_centre] = updated
    return Ok(None)


def _same_process(current, allocator):
    return (current.vm, current.incarnation) == (
        allocator.vm,
        allocator.incarnation,
    )


def _predecessor_may_run(current, allocator):
    """Return whether an earlier allocator may still grant tokens.

    A new incarnation of the same VM listens on the address of the previous
    one, which has therefore ended. An allocator that had not started may
    itself have waited for a process on another VM.
    """
    if current is None:
        return False
    ended = current.vm == allocator.vm
    return not ended or (current.predecessor_may_run and not current.started)


def _is_empty(share):
    return share.rate_per_s == share.burst == 0


def _check_share(share, state):
    if share.account not in state.accounts:
        return fail(ErrorKind.NOT_FOUND, f"no account '{share.account}'")
    checked_name = check_name("data centre", share.data_centre)
    if checked_name.is_err():
        return checked_name
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


def _check_totals(account, old, new):
    """Check that shares stay within the limits while a change propagates.

    A data centre with an increased share may apply the change before another
    one applies its decrease, so each share counts with the larger of its
    values before and after the change.
    """
    for field in ("rate_per_s", "burst"):
        before = {
            data_centre: getattr(share, field)
            for data_centre, share in old.items()
        }
        after = {
            data_centre: getattr(share, field)
            for data_centre, share in new.items()
        }
        total = math.fsum(
            max(before.get(data_centre, 0.0), after.get(data_centre, 0.0))
            for data_centre in {*before, *after}
        )
        limit = getattr(account, field)
        raised = any(
            value > before.get(data_centre, 0.0)
            for data_centre, value in after.items()
        )
        if raised and total > limit * (1 + _RELATIVE_TOLERANCE):
            return fail(
                ErrorKind.CONFLICT,
                f"the shares of '{account.name}' would reach {field} "
                f"{total:g} of {limit:g}; lower the others first",
            )
    return Ok(None)


def _group_by_account(shares):
    groups = {}
    for (account, data_centre), share in shares.items():
        groups.setdefault(account, {})[data_centre] = share
    return groups
