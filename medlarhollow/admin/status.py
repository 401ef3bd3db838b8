"""Describe the entry VMs and data centres to operators."""

from ..messages.records import VmState
from .documents import DataCentreStatus
from .documents import VmStatus

__all__ = ["EFFECT_LIMIT_S", "describe_data_centres", "describe_vms"]

# A change has to be in effect everywhere within this time.
EFFECT_LIMIT_S = 4.0
_NEVER_S = float("inf")


def describe_vms(state, reports, now):
    """Return the status of each VM of the roster.

    Parameters
    ----------
    state : FleetState
        Its roster names the VMs.
    reports : tuple of VmReport
        Last report of each VM, as far as there is one.
    now : float
        Unix time in seconds.

    Returns
    -------
    tuple of VmStatus
        In the order of names, control replicas included; those have no
        caller address unless they are entry VMs too. A VM is overdue if it
        has not reported or proved its freshness for `EFFECT_LIMIT_S`, or
        still holds an older revision that long after the last change.
    """
    known = {report.vm.name: report for report in reports}
    settled = now - state.time_s > EFFECT_LIMIT_S
    return tuple(
        _describe_vm(vm, known.get(vm.name), state.revision, settled)
        for vm in sorted(state.vms.values(), key=lambda vm: vm.name)
    )


def describe_data_centres(state, vms):
    """Return the numbers of entry VMs of each data centre.

    Parameters
    ----------
    state : FleetState
        Names the allocators.
    vms : tuple of VmStatus
        Made by :func:`describe_vms`.

    Returns
    -------
    tuple of DataCentreStatus
        In the order of names.
    """
    groups = {}
    for vm in vms:
        if not vm.caller_address:
            continue
        groups.setdefault((vm.data_centre, vm.region), []).append(vm)
    return tuple(
        DataCentreStatus(
            data_centre=data_centre,
            region=region,
            serving=sum(vm.state is VmState.SERVING for vm in group),
            draining=sum(vm.state is VmState.DRAINING for vm in group),
            overdue=sum(vm.overdue for vm in group),
            allocator=_allocator(state, data_centre),
        )
        for (data_centre, region), group in sorted(groups.items())
    )


def _describe_vm(vm, report, revision, settled):
    held = report.revision if report else 0
    freshness = report.freshness_age_s if report else _NEVER_S
    age = report.report_age_s if report else _NEVER_S
    late = age > EFFECT_LIMIT_S or freshness > EFFECT_LIMIT_S
    return VmStatus(
        name=vm.name,
        region=vm.region,
        data_centre=vm.data_centre,
        state=vm.state,
        caller_address=vm.caller_address,
        revision=held,
        freshness_age_s=freshness,
        report_age_s=age,
        overdue=late or (settled and held < revision),
    )


def _allocator(state, data_centre):
    allocator = state.allocators.get(data_centre)
    return allocator.vm if allocator else ""
