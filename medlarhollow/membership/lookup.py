"""Choose the entry VMs that a caller should use."""

from ..messages.records import VmState

__all__ = ["list_entry_vms"]


def list_entry_vms(state, settings):
    """Return entry VMs in the order in which a caller should try them.

    Parameters
    ----------
    state : FleetState
        Its roster names the entry VMs.
    settings : Settings
        Sections ``vm`` and ``entry`` are read.

    Returns
    -------
    list of Vm
        Serving VMs of this data centre first, then of this region, then of
        others. VMs without a caller address, such as those that only run a
        control replica, are left out.
    """
    own = settings.vm

    def distance(vm):
        return (
            vm.data_centre != own.data_centre,
            vm.region != own.region,
            vm.name,
        )

    serving = [
        vm
        for vm in state.vms.values()
        if vm.state is VmState.SERVING and vm.caller_address
    ]
    return sorted(serving, key=distance)[: settings.entry.lookup_count]
