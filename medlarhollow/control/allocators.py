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
        One for each allocator that has started to grant tokens, or whose
        predecessor's tokens nobody can spend any more, and one for each data
        centre that has a serving VM but no usable allocator: none is
        appointed, its lease has certainly expired, or it was an earlier
        process of its VM, which has ended. Registries are preferred to entry
        VMs, since entry VMs are stopped and replaced more often.
    """
    changes = [
        SetAllocator(allocator)
        for allocator in _list_updated(state, leases, now)
    ]
    for data_centre, vm in _select_allocators(state, leases, now).items():
        allocator = state.allocators.get(data_centre)
        if not _needs_appointment(allocator, vm, leases, now):
            continue
        if registries_known or vm.announce_address or allocator is not None:
            changes.append(
                SetAllocator(Allocator(data_centre, vm.name, vm.incarnation))
            )
    return changes


def _list_updated(state, leases, now):
    """Return the allocators that have started or may start."""
    updated = []
    for allocator in state.allocators.values():
        if allocator.started:
            continue
        change = attrs.evolve(
            allocator,
            started=leases.share_epoch(allocator) > 0,
            is_confirmed=allocator.is_confirmed
            or (
                allocator.has_predecessor
                and leases.have_all_applied(allocator.epoch, state, now)
            ),
        )
        if change != allocator:
            updated.append(change)
    return updated


def _select_allocators(state, leases, now):
    """Select the VM that should be the allocator of each data centre."""
    candidates = {}
    for name in sorted(state.vms):
        vm = state.vms[name]
        if vm.state is VmState.SERVING and (
            vm.caller_address or vm.announce_address
        ):
            candidates.setdefault(vm.data_centre, []).append(vm)
    return {
        data_centre: _select_allocator(
            state.allocators.get(data_centre), vms, leases, now
        )
        for data_centre, vms in candidates.items()
        if any(vm.caller_address for vm in vms)
    }


def _select_allocator(allocator, vms, leases, now):
    """Select one of the serving VMs of a data centre.

    The VM that is the allocator remains it while it reports, and after a
    restart, since another one would have to wait for its lease. It may be
    silent before it leaves the roster.
    """
    incumbent = None
    if allocator is not None:
        incumbent = next((vm for vm in vms if vm.name == allocator.vm), None)
    if incumbent is not None and (
        incumbent.incarnation != allocator.incarnation
        or not leases.has_expired(allocator, now)
    ):
        return incumbent
    ranked = sorted(
        vms,
        key=lambda vm: (
            not leases.is_reporting(vm, now),
            not vm.announce_address,
        ),
    )
    if incumbent is not None and not leases.is_reporting(ranked[0], now):
        return incumbent
    return ranked[0]


def _needs_appointment(allocator, vm, leases, now):
    if allocator is None:
        return True
    if allocator.vm == vm.name:
        return allocator.incarnation != vm.incarnation
    return leases.has_expired(allocator, now)
