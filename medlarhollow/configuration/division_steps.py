"""Arithmetic of divisions of objects between regions of servers."""

import math

__all__ = [
    "DIVISION_STEPS",
    "apportion_steps",
    "count_moved_steps",
    "count_periods",
    "find_step",
    "initial_steps",
    "move_step",
    "rescale_steps",
    "weigh_steps",
]

# Steps into which the objects are divided. Shares are multiples of a step, so
# that VMs of a region that decide independently, or know slightly different
# slots, mostly agree on the servers of an object.
DIVISION_STEPS = 20
# Fraction of the objects that a step may move if another one follows after one
# period. With a period of 1 s, two of them stay within the 15 % of requests
# that operators allow to change their region within 2 s.
_SMALL_FRACTION = 0.07
# Steps assumed for a region without a share. Must be above 0, since its
# servers may be the only free ones.
_MIN_STEPS = 1e-6


def apportion_steps(weights):
    """Apportion all steps by weight with the largest remainder method.

    Parameters
    ----------
    weights : dict of str to float
        Weight by region.

    Returns
    -------
    dict of str to int
        Steps by region; empty if all weights are 0.
    """
    total = math.fsum(weights.values())
    if not total:
        return {}
    exact = {
        region: DIVISION_STEPS * weight / total
        for region, weight in weights.items()
    }
    steps = {region: int(share) for region, share in exact.items()}
    unassigned = DIVISION_STEPS - sum(steps.values())
    for region in sorted(
        exact, key=lambda region: (steps[region] - exact[region], region)
    )[:unassigned]:
        steps[region] += 1
    return steps


def initial_steps(caller_region, slots):
    """Return the division for which no demand is known.

    Equal demand is assumed in all regions. A region keeps no more than its
    servers can serve of an equal part of the demand; the rest goes to the
    regions that have more slots than that, in proportion to what they have
    beyond it.

    Parameters
    ----------
    caller_region : str
        Region of the callers.
    slots : dict of str to int
        Slots by region of servers.

    Returns
    -------
    dict of str to int
        Steps by region of servers; empty if there are no slots.
    """
    total = sum(slots.values())
    if not total:
        return {}
    regions = {region for region, count in slots.items() if count}
    regions.add(caller_region)
    fair_share = total / len(regions)
    own = min(1.0, slots.get(caller_region, 0) / fair_share)
    excess = {
        region: max(0.0, slots.get(region, 0) - fair_share)
        for region in regions
        if region != caller_region
    }
    total_excess = math.fsum(excess.values())
    weights = {caller_region: own}
    for region, count in excess.items():
        weights[region] = (1 - own) * count / total_excess if count else 0.0
    return apportion_steps(weights)


def rescale_steps(steps, previous_slots, slots):
    """Scale the share of each region with its slots.

    Parameters
    ----------
    steps : dict of str to int
        Steps by region of servers.
    previous_slots, slots : dict of str to int
        Slots by region when the steps were set, and now.

    Returns
    -------
    dict of str to int
        Steps by region; empty if no region with a share has slots. A new or
        returning region has no share, since its servers have no objects
        cached yet.
    """
    weights = {}
    for region, count in slots.items():
        previous = previous_slots.get(region, 0)
        ratio = count / previous if previous else 0.0
        weights[region] = steps.get(region, 0) * ratio
    return apportion_steps(weights)


def weigh_steps(steps, slots):
    """Return the weight of one slot in each region that has slots."""
    return {
        region: max(steps.get(region, 0), _MIN_STEPS) / count
        for region, count in slots.items()
        if count
    }


def count_moved_steps(steps, others):
    """Return the number of steps by which two divisions differ."""
    return sum(
        max(0, count - others.get(region, 0))
        for region, count in steps.items()
    )


def move_step(steps, source, destination):
    """Return a division with one step moved between two regions."""
    moved = dict(steps)
    moved[source] -= 1
    moved[destination] = moved.get(destination, 0) + 1
    return moved


def count_periods(steps, source, destination):
    """Return the periods that a step must be apart from the ones around it.

    Parameters
    ----------
    steps : dict of str to int
        Steps by region before it.
    source, destination : str
        Regions between which it moves.

    Notes
    -----
    With s steps of n, a region has the highest score for s / n of the objects
    of a weighted rendezvous. If its weight falls by a step, objects leave it
    for all other regions, and if that of another one rises by a step, objects
    of all others join it: (n - s) / n / (n - 1) and (n - 1 - s) / n / (n - 1)
    of all objects. These are together 5 % if the two regions have all steps
    but nearly 10 % if they have hardly any.
    """
    total = DIVISION_STEPS
    involved = steps.get(source, 0) + steps.get(destination, 0)
    moved = (2 * total - 1 - involved) / (total * (total - 1))
    return 1 if moved <= _SMALL_FRACTION else 2


def find_step(steps, target):
    """Return source and target region of a step towards a division.

    Parameters
    ----------
    steps, target : dict of str to int
        Steps by region of servers.

    Returns
    -------
    tuple of (str, str) or None
        None if the divisions are equal.
    """
    missing = {
        region: target.get(region, 0) - steps.get(region, 0)
        for region in sorted({*steps, *target})
    }
    if not any(missing.values()):
        return None
    return min(missing, key=missing.get), max(missing, key=missing.get)
