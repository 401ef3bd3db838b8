"""Order in which a VM asks allocators for tokens."""

import attrs

__all__ = ["Source", "list_sources"]


@attrs.frozen
class Source:
    """The allocator of a data centre.

    Attributes
    ----------
    data_centre, vm, address : str
        Where it is; the address is ``host:port`` for peers.
    epoch : int
        Epoch of its naming.
    """

    data_centre: str
    vm: str
    address: str
    epoch: int


def list_sources(state, own):
    """Return the allocators, nearest first.

    Parameters
    ----------
    state : FleetState
        Names the allocators and their addresses.
    own : VmSettings
        Where this VM stands.

    Returns
    -------
    list of Source
        Own data centre, then own region, then the others.
    """
    found = []
    for data_centre, named in state.allocators.items():
        vm = state.vms.get(named.vm)
        if vm is None:
            continue
        distance = (
            data_centre != own.data_centre,
            vm.region != own.region,
            data_centre,
        )
        source = Source(data_centre, vm.name, vm.peer_address, named.epoch)
        found.append((distance, source))
    return [source for _, source in sorted(found, key=lambda item: item[0])]
