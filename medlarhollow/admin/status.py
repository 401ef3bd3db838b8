"""Status of the entry VMs, data centres and usage reports."""

from ..messages.records import VmState
from .documents import DataCentreStatus
from .documents import UsageStatus
from .documents import VmStatus

__all__ = [
    "PROPAGATION_LIMIT_S",
    "describe_data_centres",
    "describe_usage",
    "describe_vms",
]

# A change must take effect on every VM within this time.
PROPAGATION_LIMIT_S = 4.0
_NEVER_S = float("inf")


def describe_vms(state, reports, now):
    """Return the status of each VM of the roster.

    Parameters
    ----------
    state : FleetState
        Contains the roster of VMs.
    reports : tuple of VmReport
        Last report of each VM that has sent one.
    now : float
        Unix time in seconds.

    Returns
    -------
    tuple of VmStatus
        Sorted by name, control replicas included; those have no caller
        address unless they are entry VMs too. A VM is overdue if its last
        report or its freshness age is older than `PROPAGATION_LIMIT_S`
        seconds, or if it still has an older revision that long after the
        last change.
    """
    reports_by_vm = {report.vm.name: report for report in reports}
    settled = now - state.time_s > PROPAGATION_LIMIT_S
    return tuple(
        _describe_vm(vm, reports_by_vm.get(vm.name), state.revision, settled)
        for vm in sorted(state.vms.values(), key=lambda vm: vm.name)
    )


def describe_data_centres(state, vms):
    """Return the entry VM counts of each data centre.

    Parameters
    ----------
    state : FleetState
        Contains the allocators.
    vms : tuple of VmStatus
        Result of :func:`describe_vms`.

    Returns
    -------
    tuple of DataCentreStatus
        Sorted by name.
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
            allocator=_allocator_name(state, data_centre),
        )
        for (data_centre, region), group in sorted(groups.items())
    )


def describe_usage(ledger):
    """Return the status of the usage reports.

    Parameters
    ----------
    ledger : UsageLedger
        State as applied by this replica.

    Returns
    -------
    UsageStatus or None
        None if there has been no holder.
    """
    if ledger.holder is None:
        return None
    return UsageStatus(
        holder=ledger.holder.vm,
        token=ledger.token,
        settled=ledger.settled,
        confirmed=ledger.confirmed,
        pending=len(ledger.windows),
    )


def _describe_vm(vm, report, revision, settled):
    vm_revision = report.revision if report else 0
    freshness = report.freshness_age_s if report else _NEVER_S
    age = report.report_age_s if report else _NEVER_S
    stale = age > PROPAGATION_LIMIT_S or freshness > PROPAGATION_LIMIT_S
    return VmStatus(
        name=vm.name,
        region=vm.region,
        data_centre=vm.data_centre,
        state=vm.state,
        caller_address=vm.caller_address,
        revision=vm_revision,
        freshness_age_s=freshness,
        report_age_s=age,
        overdue=stale or (settled and vm_revision < revision),
    )


def _allocator_name(state, data_centre):
    allocator = state.allocators.get(data_centre)
    return allocator.vm if allocator else ""
