"""Where the active preset sends the traffic of a region."""

from ..configuration import effective_weights

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
    rows = effective_weights(state)
    return rows.get(from_region, {from_region: 1.0})
