"""Traffic weights of the active preset."""

from ..configuration import effective_weights

__all__ = ["RegionWeights", "region_weights"]


class RegionWeights:
    """Cache of the effective weights of the active preset.

    The weights are computed once for each preset and step of its shift,
    because requests and look-ups read them and a fleet has up to 48 x 48
    of them, one for each pair of regions.
    """

    def __init__(self):
        self._source = (None, None)
        self._rows = {}

    def row(self, state, from_region):
        """Return the fractions of a region's traffic by destination.

        Parameters
        ----------
        state : FleetState
            Contains the presets and the shift to the active one.
        from_region : str
            Region where the traffic originates.

        Returns
        -------
        dict of str to float
            Fractions that sum to 1; all traffic stays in the region if the
            preset does not name it.
        """
        shift = state.shift
        preset = state.presets.get(shift.preset) if shift else None
        if self._source[0] is not shift or self._source[1] is not preset:
            self._rows = effective_weights(state)
            self._source = (shift, preset)
        return self._rows.get(from_region, {from_region: 1.0})


def region_weights(state, from_region):
    """Return one row of the weights, as :meth:`RegionWeights.row` does."""
    return RegionWeights().row(state, from_region)
