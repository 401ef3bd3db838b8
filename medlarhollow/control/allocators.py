"""Leader task that appoints the allocator of each data centre."""

import attrs

from ..messages.records import Allocator
from ..messages.records import SetAllocator
from ..messages.records import VmState

__all__ = ["plan_allocators"]


def plan_allocators(state, leases, now, registries_known=True):
    """Plan the appointments of allocators that are due.

    Parameters
    ----------
    state : FleetState
        Provides the roster and the appointed allocators.
    leases : LeaseMonitor
        Determines which leases have expired.
    now : float
        Monotonic time in seconds.
    registries_known : bool
        Whether every registry has had enough time to join the roster. Until
        then no entry VM is appointed in a data centre without an allocator,
        since a registry that replaces it later has to wait for its lease.

    Returns
    -------
    list of SetAllocator
        One for each allocator that has started to grant tokens, and one
        for each data centre that has a serving entry VM but no usable
        allocator: none is appointed, its lease has certainly expired, or it
        was an earlier process of the selected VM, which has ended.
        Registries are preferred to entry VMs, since entry VMs are stopped
        and replaced more often.
    """
    selected = _select_allocators(state)
    started = [
        SetAllocator(attrs.evolve(allocator, started=True))
        for allocator in state.allocators.values()
        if not allocator.started and leases.share_epoch(allocator) > 0
    ]
    return started + [
        SetAllocator(Allocator(data_centre, vm.name, vm.incarnation))
        for data_centre, vm in selected.items()
        if _needs_appointment(
            state.allocators.get(data_centre), vm, leases, now
        )
        and (
            registries_known
            or vm.announce_address
            or data_centre in state.allocators
        )
    ]


def _select_allocators(state):
    """Select the VM that should be the allocator of each data centre."""
    serving = [
        state.vms[name]
        for name in sorted(state.vms)
        if state.vms[name].state is VmState.SERVING
    ]
    data_centres = {vm.data_centre for vm in serving if vm.caller_address}
    selected = {}
    for vm in sorted(serving, key=lambda vm: not vm.announce_address):
        if vm.data_centre in data_centres and (
            vm.caller_address or vm.announce_address
        ):
            selected.setdefault(vm.data_centre, vm)
    return selected


def _needs_appointment(allocator, vm, leases, now):
    if allocator is None:
        return True
    if allocator.vm == vm.name:
        return allocator.incarnation != vm.incarnation
    return leases.has_expired(allocator, now)
