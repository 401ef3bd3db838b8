"""Duty of the leader: name the allocator of each data centre."""

import attrs

from ..messages.records import Allocator
from ..messages.records import SetAllocator
from ..messages.records import VmState

__all__ = ["plan_allocators"]


def plan_allocators(state, leases, now):
    """Return the appointments that are due.

    Parameters
    ----------
    state : FleetState
        Holds the roster and the allocators named.
    leases : LeaseWatch
        Knows which leases have expired.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of SetAllocator
        One for each data centre that has a serving entry VM but no
        allocator, or one whose lease has certainly expired; and one for each
        allocator that has begun to hand out tokens.
    """
    serving = {}
    for name in sorted(state.vms):
        vm = state.vms[name]
        if vm.state is VmState.SERVING and vm.caller_address:
            serving.setdefault(vm.data_centre, vm)
    started = [
        SetAllocator(attrs.evolve(holder, started=True))
        for holder in state.allocators.values()
        if not holder.started and leases.share_epoch(holder) > 0
    ]
    return started + [
        SetAllocator(Allocator(data_centre, vm.name, vm.incarnation))
        for data_centre, vm in serving.items()
        if _is_due(state.allocators.get(data_centre), vm, leases, now)
    ]


def _is_due(holder, vm, leases, now):
    if holder is None:
        return True
    if (holder.vm, holder.incarnation) == (vm.name, vm.incarnation):
        return False
    return leases.is_over(holder, now)
