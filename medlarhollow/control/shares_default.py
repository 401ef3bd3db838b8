"""Simple duty of the leader: equal shares and one allocator each.

Takes the place of shares that follow demand until those exist: it never
takes a share from one data centre for another, so it needs no second step.
"""

from result import Ok

from ..configuration import apply
from ..messages.records import Allocator
from ..messages.records import Change
from ..messages.records import SetAllocator
from ..messages.records import SetShares
from ..messages.records import Share
from ..messages.records import VmState

__all__ = ["plan_default_shares"]


@apply.register
def _set_shares(change: SetShares, state, now):
    for share in change.shares:
        state.shares[(share.account, share.data_centre)] = share
    return Ok(None)


@apply.register
def _set_allocator(change: SetAllocator, state, now):
    state.allocators[change.allocator.data_centre] = change.allocator
    return Ok(None)


def plan_default_shares(state):
    """Return the changes that give each account its shares.

    Parameters
    ----------
    state : FleetState
        Its roster names the data centres.

    Returns
    -------
    list of Change
        Shares of accounts that have none or whose rate or burst changed,
        and an allocator for each data centre whose allocator is gone.
    """
    vms = sorted(
        (vm.data_centre, vm.name, vm.incarnation)
        for vm in state.vms.values()
        if vm.state is VmState.SERVING and vm.caller_address
    )
    changes = _plan_allocators(state, vms)
    shares = []
    for account in state.accounts.values():
        shares += _plan_account(state, account, sorted({vm[0] for vm in vms}))
    if shares:
        changes.append(Change(body=SetShares(shares=tuple(shares))))
    return changes


def _plan_allocators(state, vms):
    first = {}
    for data_centre, name, incarnation in vms:
        first.setdefault(data_centre, (name, incarnation))
    changes = []
    for data_centre, (name, incarnation) in first.items():
        named = state.allocators.get(data_centre)
        place = named and (data_centre, named.vm, named.incarnation)
        if place in vms:
            continue
        epoch = named.epoch + 1 if named else 1
        allocator = Allocator(data_centre, name, incarnation, epoch)
        changes.append(Change(body=SetAllocator(allocator=allocator)))
    return changes


def _plan_account(state, account, data_centres):
    known = [
        share
        for (name, _), share in state.shares.items()
        if name == account.name
    ]
    places = [share.data_centre for share in known] or data_centres
    if not places:
        return []
    rate_per_s = account.rate_per_s / len(places)
    burst = account.burst / len(places)
    if known and all(
        (share.rate_per_s, share.burst) == (rate_per_s, burst)
        for share in known
    ):
        return []
    epochs = [share.epoch for share in state.shares.values()]
    epoch = 1 + max(epochs, default=0)
    return [
        Share(account.name, place, rate_per_s, burst, epoch)
        for place in places
    ]
