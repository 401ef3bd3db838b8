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
    leases : LeaseMonitor
        Knows which leases have expired.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of SetAllocator
        One for each data centre that has a serving entry VM but no
        allocator, one whose lease has certainly expired, or one that was an
        earlier process of the VM to be named, which has ended; and one for
        each allocator that has begun to hand out tokens. Registries go before
        entry VMs, which are stopped and replaced more often.
    """
    serving = _choose_holders(state)
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


def _choose_holders(state):
    """Return the VM that should hold the shares of each data centre."""
    serving = [
        state.vms[name]
        for name in sorted(state.vms)
        if state.vms[name].state is VmState.SERVING
    ]
    data_centres = {vm.data_centre for vm in serving if vm.caller_address}
    holders = {}
    for vm in sorted(serving, key=lambda vm: not vm.announce_address):
        if vm.data_centre in data_centres and (
            vm.caller_address or vm.announce_address
        ):
            holders.setdefault(vm.data_centre, vm)
    return holders


def _is_due(holder, vm, leases, now):
    if holder is None:
        return True
    if holder.vm == vm.name:
        return holder.incarnation != vm.incarnation
    return leases.has_expired(holder, now)
