"""Choose the entry VMs that a caller should use."""

from ..messages.records import VmState
from .weights import region_weights

__all__ = ["list_entry_vms"]

_STEPS = 1 << 16


def list_entry_vms(
    state,
    settings,
    caller_region="",
    takes_callers=None,
    spread=0,
    count=None,
):
    """Return entry VMs in the order in which a caller should try them.

    Parameters
    ----------
    state : FleetState
        Its roster names the entry VMs.
    settings : Settings
        Sections ``vm`` and ``entry`` are read.
    caller_region : str
        Region of the caller, if known.
    takes_callers : callable or None
        Tells for a `Vm` whether it is alive, in addition to the roster.
    spread : int
        Hash of the caller; callers are spread by it over VMs of equal rank
        and over regions by weight.
    count : int or None
        Greatest number of VMs; None for that of the settings.

    Returns
    -------
    list of Vm
        Serving VMs. With a known region of the caller, its regions come in
        an order by weight; otherwise the VMs of this data centre come first,
        then those of this region, then others. If all would be of one data
        centre, the last one is replaced by one of another, so that the
        caller can go on if the data centre fails. VMs without a caller
        address, which take no callers, are left out.
    """
    own = settings.vm
    home = caller_region or own.region
    ranks = _rank_regions(state, caller_region, spread)

    def rank(vm):
        return (
            ranks.get(vm.region, len(ranks)),
            vm.data_centre != own.data_centre,
            vm.region != home,
            vm.data_centre,
        )

    groups = {}
    for vm in sorted(state.vms.values(), key=lambda vm: vm.name):
        if (
            vm.state is VmState.SERVING
            and vm.caller_address
            and (takes_callers is None or takes_callers(vm))
        ):
            groups.setdefault(rank(vm), []).append(vm)
    ordered = []
    for place in sorted(groups):
        group = groups[place]
        start = spread % len(group)
        ordered += group[start:] + group[:start]
    if count is None:
        count = settings.entry.lookup_count
    return _keep_alternative(ordered, count)


def _rank_regions(state, caller_region, spread):
    """Return ranks of the regions that a caller's region sends to.

    The first one is drawn by weight, so that over many callers each region
    gets its part; the others follow by weight.
    """
    if not caller_region:
        return {}
    weights = region_weights(state, caller_region)
    point = (spread * 40503 % _STEPS) / _STEPS
    first = ""
    for region in sorted(weights):
        first = region
        if point < weights[region]:
            break
        point -= weights[region]
    ordered = sorted(
        weights,
        key=lambda region: (region != first, -weights[region], region),
    )
    return {region: number for number, region in enumerate(ordered)}


def _keep_alternative(ordered, count):
    chosen = ordered[:count]
    data_centres = {vm.data_centre for vm in chosen}
    if len(chosen) > 1 and len(data_centres) == 1:
        for vm in ordered[count:]:
            if vm.data_centre not in data_centres:
                chosen[-1] = vm
                break
    return chosen
