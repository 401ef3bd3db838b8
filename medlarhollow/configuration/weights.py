"""Weights that distribute the traffic of each region over regions."""

import math

from ..messages.records import RegionWeight

__all__ = [
    "effective_weights",
    "interpolate_weights",
    "make_weight_records",
    "normalize_weights",
]


def normalize_weights(weights):
    """Normalize weights to rows that sum to 1.

    Parameters
    ----------
    weights : iterable of RegionWeight
        Weights on any scale.

    Returns
    -------
    dict of str to dict of str to float
        For each region of origin, the fraction of its traffic by
        destination region. The traffic of a region without a row stays
        local.
    """
    rows = {}
    for weight in weights:
        if weight.weight > 0:
            row = rows.setdefault(weight.from_region, {})
            row[weight.to_region] = weight.weight
    for row in rows.values():
        total = math.fsum(row.values())
        for region in row:
            row[region] /= total
    return rows


def make_weight_records(rows):
    """Convert rows to records in a fixed order.

    Parameters
    ----------
    rows : dict of str to dict of str to float
        From :func:`normalize_weights` or :func:`interpolate_weights`.

    Returns
    -------
    tuple of RegionWeight
        Records of the weights, sorted by origin and destination.
    """
    return tuple(
        RegionWeight(origin, region, rows[origin][region])
        for origin in sorted(rows)
        for region in sorted(rows[origin])
    )


def interpolate_weights(base, target, fraction):
    """Interpolate linearly between two sets of weights.

    Computes ``base x (1 - fraction) + target x fraction``.

    Parameters
    ----------
    base, target : dict of str to dict of str to float
        Rows that sum to 1; the traffic of a region without a row stays local.
    fraction : float
        From 0 (base) to 1 (target).

    Returns
    -------
    dict of str to dict of str to float
        Rows that sum to 1, without zero weights.

    Examples
    --------
    >>> interpolate_weights({}, {"north": {"south": 1.0}}, 0.25)
    {'north': {'north': 0.75, 'south': 0.25}}
    """
    rows = {}
    for origin in sorted({*base, *target}):
        before = base.get(origin, {origin: 1.0})
        after = target.get(origin, {origin: 1.0})
        row = {
            region: before.get(region, 0.0) * (1 - fraction)
            + after.get(region, 0.0) * fraction
            for region in sorted({*before, *after})
        }
        rows[origin] = {
            destination: weight
            for destination, weight in row.items()
            if weight > 0
        }
    return rows


def effective_weights(state):
    """Return the region weights in effect.

    Parameters
    ----------
    state : FleetState
        Contains the presets and the shift to the active one.

    Returns
    -------
    dict of str to dict of str to float
        For each region of origin, the fraction of its traffic by
        destination region; each row sums to 1. The traffic of a region
        without a row stays local.

    Notes
    -----
    The result depends only on the state, so callers may cache it until the
    revision changes.
    """
    shift = state.shift
    if shift is None:
        return {}
    target = normalize_weights(state.presets[shift.preset].weights)
    return interpolate_weights(
        normalize_weights(shift.base), target, shift.fraction
    )
