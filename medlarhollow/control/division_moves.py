"""Selection of the next step of a division."""

import collections

import attrs

from ..configuration.division_steps import apportion_steps
from ..configuration.division_steps import count_periods
from ..configuration.division_steps import DIVISION_STEPS
from .division_demand import TARGET_UTILIZATION
from .division_targets import target_utilization

__all__ = ["Move", "PoolLoad", "choose_move", "measure_load"]

# Deviation from the target below which a division does not change. The first
# request for a moved object is slow, so small gains cause no moves.
_MIN_GAIN_STEPS = 1.0
# Utilization from which on a step may leave a region for one that lacks room
# at peaks: requests would soon wait.
_HIGH_UTILIZATION = 0.95
# Steps that leave a region whose load is not above the target are made this
# many times slower, since they gain only a shorter way.
_RETURN_PERIODS = 4


@attrs.frozen
class PoolLoad:
    """Load of the regions of servers under the present divisions.

    Attributes
    ----------
    slots : dict of str to int
        Slots by region.
    utilization : float
        Utilization up to which demand is assigned to a region.
    loads, peak_loads : dict of str to float
        Slots that the callers of all regions need by region of servers, now
        and if all of them had the largest demand of the last minute.
    """

    slots: dict
    utilization: float
    loads: dict
    peak_loads: dict

    def overload(self, region):
        """Return by how much the utilization is above the target."""
        load = self.loads[region] / self.slots[region]
        return max(0.0, load - self.utilization)

    def is_nearly_full(self, region):
        """Return whether a region needs relief at once."""
        return self.loads[region] > _HIGH_UTILIZATION * self.slots[region]

    def is_lasting(self, source, destination, moved):
        """Return whether a step would not be taken back at the next peak.

        The destination must stay below the target at the peak, or, if the
        source is overloaded, have a lower utilization then than the source.
        """
        limit = TARGET_UTILIZATION
        if self.overload(source):
            limit = max(limit, self.peak_loads[source] / self.slots[source])
        load = self.peak_loads[destination] + moved
        return load <= limit * self.slots[destination]


@attrs.frozen
class Move:
    """A step from one region of servers to another.

    Attributes
    ----------
    source, destination : str
        The regions.
    wait_periods : int
        Periods since the last step that must have passed.
    periods : int
        Periods until the next step.
    """

    source: str
    destination: str
    wait_periods: int
    periods: int


def measure_load(demands, steps, slots):
    """Return the load of a pool.

    Parameters
    ----------
    demands : dict of str to CallerDemand
        Demand by region of callers.
    steps : dict of str to dict of str to int
        Steps by region of callers and region of servers.
    slots : dict of str to int
        Slots by region of servers.

    Returns
    -------
    PoolLoad
    """
    needed = {caller: demand.slots for caller, demand in demands.items()}
    peaks = {caller: demand.peak for caller, demand in demands.items()}
    return PoolLoad(
        slots,
        target_utilization(needed, slots),
        _sum_loads(needed, steps),
        _sum_loads(peaks, steps),
    )


def choose_move(caller, steps, target, load, peak):
    """Return the next step of a division, or None.

    Parameters
    ----------
    caller : str
        Region of the callers.
    steps : dict of str to int
        Present steps by region of servers with slots.
    target : dict of str to float
        Fraction of the demand by region of servers with slots.
    load : PoolLoad
        Load of these regions.
    peak : float
        Largest demand of the callers in the last minute.

    Returns
    -------
    Move or None
        None if the gain is below one step, or if only steps remain that would
        be taken back at the next peak.

    Notes
    -----
    Steps leave the most overloaded region first. Without overload, objects
    only return to the region of their callers. A step goes only to a region
    that still lacks most of it, so that it is not moved back while the demand
    stays the same, and that has room at the peak of the last minute: where
    peaks pass through the regions, objects would otherwise follow each of
    them, and be late.
    """
    exact = {
        region: DIVISION_STEPS * fraction
        for region, fraction in target.items()
    }
    surplus = {
        region: steps.get(region, 0) - exact[region]
        for region in sorted(exact)
    }
    if max(map(abs, surplus.values())) < _MIN_GAIN_STEPS:
        return None
    rounded = apportion_steps(exact)
    sources = [
        region for region in surplus if steps.get(region, 0) > rounded[region]
    ]
    destinations = [
        region for region in surplus if steps.get(region, 0) < rounded[region]
    ]
    sources.sort(
        key=lambda region: (load.overload(region), surplus[region]),
        reverse=True,
    )
    destinations.sort(key=surplus.get)
    for source in sources:
        for destination in destinations:
            if not (load.overload(source) or destination == caller):
                continue
            if load.is_nearly_full(source) or load.is_lasting(
                source, destination, peak / DIVISION_STEPS
            ):
                return _make_move(steps, source, destination, load)
    return None


def _make_move(steps, source, destination, load):
    periods = wait_periods = count_periods(steps, source, destination)
    if not load.overload(source):
        wait_periods = _RETURN_PERIODS
    return Move(source, destination, wait_periods, periods)


def _sum_loads(needed, steps):
    """Return the slots that the callers need by region of servers."""
    loads = collections.Counter()
    for caller, count in needed.items():
        for region, own_steps in steps.get(caller, {}).items():
            loads[region] += count * own_steps / DIVISION_STEPS
    return loads
