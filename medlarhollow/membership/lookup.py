"""Choose the entry VMs that a caller should use."""

from ..messages.records import VmState
from .weights import RegionWeights

__all__ = ["LookupOrder", "list_entry_vms", "list_nearest_entry_vms"]

_STEPS = 1 << 16
# Entry VMs of a data centre that suffice without those of its region.
_LEAST_NEAR = 2


class LookupOrder:
    """Order entry VMs for callers.

    The VMs are grouped by data centre once for each revision, since a fleet
    has thousands of them and each serves about a thousand look-ups a second.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``entry`` are read.
    """

    def __init__(self, settings):
        self._own = settings.vm
        self._count = settings.entry.lookup_count
        self._weights = RegionWeights()
        self._seen = None
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
            Its roster names the entry VMs.
        caller_region : str
            Region of the caller, if known.
        accepts_callers : callable or None
            Tells for a `Vm` whether it is alive, in addition to the roster.
        spread : int
            Hash of the caller; callers are spread by it over VMs of equal
            rank and over regions by weight.
        count : int or None
            Greatest number of VMs; None for that of the settings.

        Returns
        -------
        list of Vm
            Serving VMs. With a known region of the caller, its regions come
            in an order by weight; otherwise the VMs of this data centre come
            first, then those of this region, then others. If all would be of
            one data centre, the last one is replaced by one of another, so
            that the caller can go on if the data centre fails. VMs without a
            caller address, which take no callers, are left out.
        """
        self._follow(state)
        ranks = self._rank_regions(state, caller_region, spread)
        home = caller_region or self._own.region
        places = sorted(
            self._groups,
            key=lambda place: (
                ranks.get(place[0], len(ranks)),
                place[1] != self._own.data_centre,
                place[0] != home,
                place[1],
            ),
        )
        if count is None:
            count = self._count
        return self._choose(places, accepts_callers, spread, count)

    def _follow(self, state):
        if self._seen == (id(state), state.revision, len(state.vms)):
            return
        self._seen = (id(state), state.revision, len(state.vms))
        self._groups = {}
        for name in sorted(state.vms):
            vm = state.vms[name]
            if vm.state is VmState.SERVING and vm.caller_address:
                place = (vm.region, vm.data_centre)
                self._groups.setdefault(place, []).append(vm)

    def _rank_regions(self, state, caller_region, spread):
        """Return ranks of the regions that a caller's region sends to.

        The first one is drawn by weight, so that over many callers each
        region gets its part; the others follow by weight.
        """
        if not caller_region:
            return {}
        weights = self._weights.row(state, caller_region)
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

    def _choose(self, places, accepts_callers, spread, count):
        """Return the first live VMs, at least one of another data centre."""
        chosen = []
        for place in places:
            group = self._groups[place]
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
    """Return entry VMs once, as :meth:`LookupOrder.list` does."""
    return LookupOrder(settings).list(state, caller_region, **more)


def list_nearest_entry_vms(state, region, data_centre, accepts_callers):
    """Return the entry VMs nearest to a caller that picks one by itself.

    Parameters
    ----------
    state : FleetState
        Its roster names the entry VMs.
    region, data_centre : str
        Where the caller is.
    accepts_callers : callable
        Tells for a `Vm` whether it is alive.

    Returns
    -------
    list of Vm
        Those of the data centre; with those of the region if there are too
        few for one to fail, or all if the region has none.
    """
    serving = [
        vm
        for vm in state.vms.values()
        if vm.state is VmState.SERVING
        and vm.caller_address
        and accepts_callers(vm)
    ]
    near = [vm for vm in serving if vm.data_centre == data_centre]
    if len(near) >= _LEAST_NEAR:
        return near
    return [vm for vm in serving if vm.region == region] or serving


def _is_elsewhere(vm, chosen):
    return _is_one_data_centre(chosen) and (
        vm.data_centre != chosen[0].data_centre
    )


def _is_one_data_centre(vms):
    return len({vm.data_centre for vm in vms}) == 1
