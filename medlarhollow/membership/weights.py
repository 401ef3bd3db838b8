"""Effective weights of the active preset."""

import math

__all__ = ["region_weights"]


def region_weights(state, from_region):
    """Return the parts of a region's traffic by destination.

    Parameters
    ----------
    state : FleetState
        Holds the presets and the shift to the active one.
    from_region : str
        Region where the traffic begins.

    Returns
    -------
    dict of str to float
        Parts that sum to 1; all to the region itself if the preset does not
        name it.
    """
    shift = state.shift
    if shift is None:
        return {from_region: 1.0}
    preset = state.presets.get(shift.preset)
    base = _row(shift.base, from_region)
    target = _row(preset.weights if preset else (), from_region)
    return {
        region: part
        for region in {*base, *target}
        if (
            part := base.get(region, 0.0) * (1 - shift.fraction)
            + target.get(region, 0.0) * shift.fraction
        )
        > 0
    }


def _row(weights, from_region):
    row = {
        weight.to_region: weight.weight
        for weight in weights
        if weight.from_region == from_region and weight.weight > 0
    }
    total = math.fsum(row.values())
    if not total:
        return {from_region: 1.0}
    return {region: weight / total for region, weight in row.items()}
