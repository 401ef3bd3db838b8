"""Choose where a VM takes the agreed state from."""

from ..messages.records import VmState

__all__ = ["list_upstreams"]


def list_upstreams(settings, state):
    """Return the upstream addresses in the order in which they are tried.

    Parameters
    ----------
    settings : Settings
        Names this VM, the control replicas and the peers to start from.
    state : FleetState
        Its roster names the VMs of this data centre.

    Returns
    -------
    list of str
        First the VMs of this data centre ranked before this one, so that
        one of them alone connects outward; then the control replicas; then
        VMs of other data centres.

    Notes
    -----
    Ranks are the VMs' names, so the order needs no election and cannot form
    a loop inside a data centre.
    """
    own = settings.vm
    if "control" in own.roles:
        return [
            address
            for address in settings.control.replicas
            if address != settings.peer.listen
        ]
    mates = sorted(
        (vm.name, vm.peer_address)
        for vm in state.vms.values()
        if vm.data_centre == own.data_centre
        and vm.name < own.name
        and vm.state is not VmState.GONE
    )
    remote = [
        vm.peer_address
        for vm in state.vms.values()
        if vm.data_centre != own.data_centre and vm.state is VmState.SERVING
    ]
    ordered = [
        *(address for _, address in mates),
        *settings.control.replicas,
        *settings.peer.remote_peers,
        *sorted(remote),
    ]
    return list(dict.fromkeys(ordered))
