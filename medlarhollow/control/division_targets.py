"""Division of the demand of all regions over the slots of all regions."""

import math

from .division_demand import TARGET_UTILIZATION

__all__ = ["divide_demand", "target_utilization"]

# Fractions below this one are rounding errors.
_MIN_FRACTION = 1e-9


def target_utilization(demands, slots):
    """Return the utilization up to which demand is assigned to a region.

    Parameters are those of :func:`divide_demand`.
    """
    total = math.fsum(demands.values())
    return max(TARGET_UTILIZATION, total / sum(slots.values()))


def divide_demand(demands, slots):
    """Divide the demand for one pool.

    Demand stays in its own region up to the target utilization, and the
    excess goes to regions in proportion to what they have left below it. If
    the total demand is above it, the mean utilization takes its place, so
    that each region gets demand in proportion to its slots and only the
    difference moves.

    Parameters
    ----------
    demands : dict of str to float
        Slots that the callers of each region need.
    slots : dict of str to int
        Slots by region of servers, at least one above 0.

    Returns
    -------
    dict of str to dict of str to float
        For each region of callers with demand, the fraction of it by region
        of servers; each sums to 1.
    """
    utilization = target_utilization(demands, slots)
    own = {
        caller: min(demand, utilization * slots.get(caller, 0))
        for caller, demand in demands.items()
    }
    unused = {
        region: utilization * count - own.get(region, 0.0)
        for region, count in slots.items()
    }
    total_unused = math.fsum(unused.values())
    divided = {}
    for caller, demand in demands.items():
        if demand <= 0:
            continue
        remote = (demand - own[caller]) / demand
        divided[caller] = {
            region: remote * unused[region] / total_unused
            if remote > _MIN_FRACTION
            else 0.0
            for region in slots
        }
        if own[caller]:
            divided[caller][caller] += own[caller] / demand
    return divided
