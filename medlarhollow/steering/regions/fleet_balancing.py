"""Balance the objects of a region's callers by one division for all its VMs.

Until the control leader has committed a division, all VMs assume the same
demand in each region, so that a region with few servers is not overloaded by
its own callers from the start.
"""

import attrs

from ...configuration.division_steps import initial_steps
from ...configuration.division_steps import weigh_steps
from .region_balancing import RegionBalancer

__all__ = ["FleetBalancer", "make_balancer"]


@attrs.frozen
class _Share:
    """Weights of the regions and the slots by which they were computed."""

    slots: dict
    weights: dict


class FleetBalancer:
    """Divide the objects equally on all VMs of a region.

    Parameters
    ----------
    settings : Settings
        ``vm.region`` is the region of the callers.
    """

    def __init__(self, settings):
        self._region = settings.vm.region
        self._shares = {}

    def record_wait(self, pool, region, wait_s, now):
        """Ignore the queueing time of a request."""

    def weights_for_slots(self, pool, slots, now):
        """Return the weight of one slot in each region.

        Parameters
        ----------
        pool : tuple of (str, str)
            Service and version.
        slots : dict of str to int
            Slots by region.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to float
            Weight by region.
        """
        share = self._shares.get(pool)
        if share is None or share.slots != slots:
            steps = initial_steps(self._region, slots)
            share = _Share(slots, weigh_steps(steps, slots))
            self._shares[pool] = share
        return share.weights

    def retain_services(self, services):
        """Discard the shares of all services but the given ones."""
        self._shares = {
            pool: share
            for pool, share in self._shares.items()
            if pool[0] in services
        }


def make_balancer(settings, state_cache):
    """Return the balancer that the settings name.

    Parameters
    ----------
    settings : Settings
        ``backends.division`` names it.
    state_cache : FleetStateCache
        Provides the committed divisions.

    Returns
    -------
    RegionBalancer or FleetBalancer
        By local measurements or for all VMs of a region.
    """
    if settings.backends.division == "fleet":
        return FleetBalancer(settings)
    return RegionBalancer(settings)
