"""Choose the entry VMs that a caller should use."""

from ..messages.records import VmState
from .weights import RegionWeights

__all__ = ["LookupOrder", "list_entry_vms", "list_nearest_entry_vms"]

_HASH_STEPS = 1 << 16
# With at least this many entry VMs, a data centre needs no others.
_MIN_NEAR_VMS = 2


class LookupOrder:
    """Order entry VMs for callers.

    The VMs are grouped by data centre once for each revision, because a
    fleet has thousands of VMs and each answers about a thousand look-ups a
    second.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``entry`` are read.
    """

    def __init__(self, settings):
        self._vm = settings.vm
        self._count = settings.entry.lookup_count
        self._weights = RegionWeights()
        self._grouped_state = None
        self._groups = {}

    def list(
        self,
        state,
        caller_region="",
        accepts_callers=None,
        spread=0,
        count=None,
    ):
        """Return entry VMs in the order in which a caller should try them.

        Parameters
        ----------
        state : FleetState
            Its roster lists the entry VMs.
        caller_region : str
            Region of the caller, if known.
        accepts_callers : callable or None
            Returns for a `Vm` whether it is live, which the roster may not
            show yet.
        spread : int
            Hash of the caller, which spreads callers over VMs of equal rank
            and, by weight, over regions.
        count : int or None
            Maximum number of VMs; None for the one in the settings.

        Returns
        -------
        list of Vm
            Serving VMs. If the caller's region is known, regions are ordered
            by its weights; otherwise the VMs of this data centre come first,
            then those of this region, then others. If all VMs would be in
            one data centre, the last one is replaced by one of another data
            centre, so that the caller has an alternative if the data centre
            fails. VMs without a caller address accept no callers and are
            omitted.
        """
        self._update_groups(state)
        ranks = self._rank_regions(state, caller_region, spread)
        home = caller_region or self._vm.region
        locations = sorted(
            self._groups,
            key=lambda location: (
                ranks.get(location[0], len(ranks)),
                location[1] != self._vm.data_centre,
                location[0] != home,
                location[1],
            ),
        )
        if count is None:
            count = self._count
        return self._choose(locations, accepts_callers, spread, count)

    def _update_groups(self, state):
        if self._grouped_state == (id(state), state.revision, len(state.vms)):
            return
        self._grouped_state = (id(state), state.revision, len(state.vms))
        self._groups = {}
        for name in sorted(state.vms):
            vm = state.vms[name]
            if vm.state is VmState.SERVING and vm.caller_address:
                location = (vm.region, vm.data_centre)
                self._groups.setdefault(location, []).append(vm)

    def _rank_regions(self, state, caller_region, spread):
        """Return the ranks of the regions for callers of a region.

        The first region is drawn by weight, so that over many callers each
        region receives its share; the others are ordered by weight.
        """
        if not caller_region:
            return {}
        weights = self._weights.row(state, caller_region)
        point = (spread * 40503 % _HASH_STEPS) / _HASH_STEPS
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
        return {region: rank for rank, region in enumerate(ordered)}

    def _choose(self, locations, accepts_callers, spread, count):
        """Return the first live VMs, if possible of two data centres."""
        chosen = []
        for location in locations:
            group = self._groups[location]
            start = spread % len(group)
            for vm in group[start:] + group[:start]:
                if accepts_callers is not None and not accepts_callers(vm):
                    continue
                if len(chosen) < count:
                    chosen.append(vm)
                elif count > 1 and _is_elsewhere(vm, chosen):
                    return [*chosen[:-1], vm]
                else:
                    break
            if len(chosen) == count and not _is_one_data_centre(chosen):
                return chosen
        return chosen


def list_entry_vms(state, settings, caller_region="", **more):
    """Return entry VMs as :meth:`LookupOrder.list` does, without a cache."""
    return LookupOrder(settings).list(state, caller_region, **more)


def list_nearest_entry_vms(state, region, data_centre, accepts_callers):
    """Return the nearest entry VMs for a caller that chooses among them.

    Parameters
    ----------
    state : FleetState
        Its roster lists the entry VMs.
    region, data_centre : str
        Location of the caller.
    accepts_callers : callable
        Returns for a `Vm` whether it is live.

    Returns
    -------
    list of Vm
        The VMs of the data centre; those of the whole region if the data
        centre has too few to tolerate the failure of one; those of all
        regions if the region has none.
    """
    serving = [
        vm
        for vm in state.vms.values()
        if vm.state is VmState.SERVING
        and vm.caller_address
        and accepts_callers(vm)
    ]
    near = [vm for vm in serving if vm.data_centre == data_centre]
    if len(near) >= _MIN_NEAR_VMS:
        return near
    return [vm for vm in serving if vm.region == region] or serving


def _is_elsewhere(vm, chosen):
    return _is_one_data_centre(chosen) and (
        vm.data_centre != chosen[0].data_centre
    )


def _is_one_data_centre(vms):
    return len({vm.data_centre for vm in vms}) == 1
