"""Balance the objects of a region's callers by one division for all its VMs.

The control leader commits the divisions. VMs with the same division and slots
use the same weights, so that they agree on the servers of each object. Until
a division is committed, they assume the same demand in each region, so that a
region with few servers is not overloaded by its own callers from the start.
"""

import math

import attrs

from ...configuration.division_steps import count_moved_steps
from ...configuration.division_steps import count_periods
from ...configuration.division_steps import DIVISION_STEPS
from ...configuration.division_steps import find_step
from ...configuration.division_steps import move_step
from ...configuration.division_steps import rescale_steps
from ...configuration.division_steps import weigh_steps
from ...configuration.divisions import effective_steps
from .region_balancing import RegionBalancer

__all__ = ["FleetBalancer", "make_balancer"]

# Age of the last contact with control from which on a VM divides its objects
# by itself. A leader is replaced in a tenth of this time.
_MAX_CONTACT_AGE_S = 10.0
# Steps by which a committed division may differ from the last one. A VM that
# missed several changes approaches the division step by step.
_MAX_CHANGE_STEPS = 1


@attrs.define
class _Share:
    """Division of a pool as this VM uses it.

    Attributes
    ----------
    division : Division or None
        Committed division that it follows.
    slots : dict of str to int
        Slots by region for which the steps were computed.
    steps : dict of str to int
        Steps in use by region.
    weights : dict of str to float
        Weights that follow from them.
    moved_at : float
        Monotonic time in seconds of the last step of this VM towards a
        division that it did not use at once.
    is_approaching : bool
        Whether the steps differ from those of the division.
    is_local : bool
        Whether the local balancer is in charge.
    """

    division: object
    slots: dict
    steps: dict
    weights: dict
    moved_at: float = -math.inf
    is_approaching: bool = False
    is_local: bool = False


class FleetBalancer:
    """Use the committed divisions while there is contact with control.

    Parameters
    ----------
    settings : Settings
        ``vm.region`` is the region of the callers, and
        ``backends.shift_per_s`` the rate at which a VM approaches a division
        from which it differs.
    state_cache : FleetStateCache
        Provides the committed divisions and the age of the last contact.
    local : RegionBalancer
        Used without contact.
    """

    def __init__(self, settings, state_cache, local):
        self._region = settings.vm.region
        self._state_cache = state_cache
        self._local = local
        self._period_s = math.inf
        if settings.backends.shift_per_s:
            self._period_s = 1 / (
                DIVISION_STEPS * settings.backends.shift_per_s
            )
        self._shares = {}

    def record_wait(self, pool, region, wait_s, now):
        """Record the queueing time of a request for the local balancer."""
        self._local.record_wait(pool, region, wait_s, now)

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
        division = self._state_cache.state.divisions.get((self._region, *pool))
        share = self._shares.get(pool)
        if share is None or not any(share.slots.values()):
            steps = effective_steps(division, self._region, slots)
            share = _Share(division, slots, steps, weigh_steps(steps, slots))
            self._shares[pool] = share
        if self._state_cache.freshness_age_s(now) > _MAX_CONTACT_AGE_S:
            return self._use_local(pool, share, slots, now)
        if share.is_local:
            share.steps = self._local.stop(pool, slots)
            share.slots = slots
            share.is_local = False
            # All VMs may return to the division at the same time.
            share.is_approaching = True
            share.moved_at = now
            share.weights = weigh_steps(share.steps, slots)
        if (
            share.is_approaching
            or share.division is not division
            or share.slots != slots
        ):
            self._follow(share, division, slots, now)
        return share.weights

    def retain_services(self, services):
        """Discard the divisions of all services but the given ones."""
        self._local.retain_services(services)
        self._shares = {
            pool: share
            for pool, share in self._shares.items()
            if pool[0] in services
        }

    def _use_local(self, pool, share, slots, now):
        """Return the weights of the local balancer.

        It begins with the steps in use.
        """
        if not share.is_local:
            self._local.start(pool, share.steps, share.slots, now)
            share.is_local = True
        return self._local.weights_for_slots(pool, slots, now)

    def _follow(self, share, division, slots, now):
        """Follow the division and the slots.

        Lost and new slots take effect at once, on all VMs in the same way. A
        division that differs by more than a step for the same slots is
        approached.
        """
        target = effective_steps(division, self._region, slots)
        steps = share.steps
        if share.slots != slots:
            if share.is_approaching:
                steps = rescale_steps(steps, share.slots, slots) or target
            else:
                steps = effective_steps(share.division, self._region, slots)
        difference = count_moved_steps(steps, target)
        is_due = now - share.moved_at >= self._period_s
        if (
            not share.is_approaching
            and difference <= _MAX_CHANGE_STEPS
            and is_due
        ):
            steps = target
        elif difference:
            move = find_step(steps, target)
            wait_s = self._period_s * count_periods(steps, *move)
            if now - share.moved_at >= wait_s:
                steps = move_step(steps, *move)
                share.moved_at = now
        share.is_approaching = count_moved_steps(steps, target) > 0
        share.division = division
        share.slots = slots
        share.steps = steps
        share.weights = weigh_steps(steps, slots)


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
    local = RegionBalancer(settings)
    if settings.backends.division == "fleet":
        return FleetBalancer(settings, state_cache, local)
    return local
