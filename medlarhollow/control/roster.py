"""Leader task that maintains the roster of VMs."""

import attrs

from ..messages.records import Change
from ..messages.records import SetVm
from ..messages.records import VmState

__all__ = ["plan_roster"]


def plan_roster(state, reports, complete=True):
    """Plan the changes that bring the roster up to date.

    Parameters
    ----------
    state : FleetState
        Provides the replicated roster.
    reports : tuple of VmReport
        Reports that are recent enough to show that their VMs are alive.
    complete : bool
        Whether every live VM has had enough time to report. A new leader has
        no reports at first and must not mark all VMs as gone.

    Returns
    -------
    list of Change
        One for each VM that was added, removed or changed.
    """
    alive = {report.vm.name: report.vm for report in reports}
    changes = [
        Change(body=SetVm(vm=vm))
        for name, vm in alive.items()
        if _needs_update(state.vms.get(name), vm)
    ]
    if complete:
        changes += [
            Change(body=SetVm(vm=attrs.evolve(vm, state=VmState.GONE)))
            for name, vm in state.vms.items()
            if name not in alive
        ]
    return changes


def _needs_update(current, vm):
    if vm.state is VmState.GONE:
        return current is not None and current.incarnation == vm.incarnation
    return current != vm
