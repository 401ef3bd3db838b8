"""Duty of the leader: keep the roster of entry VMs."""

import attrs

from ..messages.records import Change
from ..messages.records import SetVm
from ..messages.records import VmState

__all__ = ["plan_roster"]


def plan_roster(state, reports, complete=True):
    """Return the changes that bring the roster up to date.

    Parameters
    ----------
    state : FleetState
        Its roster is what all VMs know.
    reports : tuple of VmReport
        The reports that are young enough to count as signs of life.
    complete : bool
        Whether every living VM has had the time to report. A new leader has
        heard from none at first and must not take them all for gone.

    Returns
    -------
    list of Change
        One for each VM that came, went or changed its state.
    """
    alive = {report.vm.name: report.vm for report in reports}
    changes = [
        Change(body=SetVm(vm=vm))
        for name, vm in alive.items()
        if _differs(state.vms.get(name), vm)
    ]
    if complete:
        changes += [
            Change(body=SetVm(vm=attrs.evolve(vm, state=VmState.GONE)))
            for name, vm in state.vms.items()
            if name not in alive
        ]
    return changes


def _differs(known, vm):
    if vm.state is VmState.GONE:
        return known is not None and known.incarnation == vm.incarnation
    return known != vm
