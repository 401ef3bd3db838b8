"""Order in which a VM requests tokens from allocators."""

import attrs

__all__ = ["TokenSource", "list_sources"]


@attrs.frozen
class TokenSource:
    """The allocator of a data centre.

    Attributes
    ----------
    data_centre, vm, address : str
        Location; the address is the peer address as ``host:port``.
    epoch : int
        Epoch of its appointment.
    """

    data_centre: str
    vm: str
    address: str
    epoch: int


def list_sources(state, local_vm):
    """Return the allocators, nearest first.

    Parameters
    ----------
    state : FleetState
        Lists the allocators and their addresses.
    local_vm : VmSettings
        Location of this VM.

    Returns
    -------
    list of TokenSource
        The local data centre, then the local region, then the others.
    """
    ranked = []
    for data_centre, appointment in state.allocators.items():
        vm = state.vms.get(appointment.vm)
        if vm is None:
            continue
        distance = (
            data_centre != local_vm.data_centre,
            vm.region != local_vm.region,
            data_centre,
        )
        source = TokenSource(
            data_centre, vm.name, vm.peer_address, appointment.epoch
        )
        ranked.append((distance, source))
    return [source for _, source in sorted(ranked, key=lambda item: item[0])]
