"""Average demand for client accounts in each data centre."""

import math

import attrs

__all__ = [
    "AverageDemand",
    "DemandEstimator",
]

# Time constant of the exponentially weighted moving average. It keeps single
# requests and short bursts from moving shares.
_TIME_CONSTANT_S = 5.0
# Lower average demand counts as none.
_MIN_RATE_PER_S = 1e-3
# The sums are rescaled when the scale falls below this value.
_MIN_SCALE = 1e-6


@attrs.frozen
class AverageDemand:
    """Average demand in one data centre, in requests per second.

    Attributes
    ----------
    rate_per_s : float
        All requests, including rejected ones.
    unmet_per_s : float
        Rejected requests.
    """

    rate_per_s: float = 0.0
    unmet_per_s: float = 0.0


_NO_DEMAND = AverageDemand()


class DemandEstimator:
    """Maintain moving averages of the demand reported by data centres.

    Parameters
    ----------
    sample_s : float
        Time in seconds that one sample of a VM covers.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, sample_s, now):
        self._sample_s = sample_s
        self._updated_at = now
        # Sums are stored relative to a scale that decays over time, so that
        # an update costs time for the new samples only.
        self._scale = 1.0
        self._sums = {}

    def update(self, samples, now):
        """Add the samples received since the last call.

        Parameters
        ----------
        samples : iterable of DemandSample
            May be sums over several VMs and sampling periods.
        now : float
            Monotonic time in seconds.
        """
        self._scale *= math.exp((self._updated_at - now) / _TIME_CONSTANT_S)
        self._updated_at = now
        if self._scale < _MIN_SCALE:
            self._rescale()
        weight = self._sample_s / _TIME_CONSTANT_S / self._scale
        for sample in samples:
            key = (sample.account, sample.data_centre)
            sums = self._sums.get(key)
            if sums is None:
                sums = self._sums[key] = [0.0, 0.0]
            sums[0] += sample.rate_per_s * weight
            sums[1] += sample.unmet_per_s * weight

    def average(self, account, data_centre):
        """Return the average demand for an account in a data centre.

        Returns
        -------
        AverageDemand
            Zero if no demand was reported.
        """
        sums = self._sums.get((account, data_centre))
        if sums is None or sums[0] * self._scale < _MIN_RATE_PER_S:
            return _NO_DEMAND
        return AverageDemand(sums[0] * self._scale, sums[1] * self._scale)

    def _rescale(self):
        """Reset the scale to 1 and drop entries without demand."""
        for key, sums in list(self._sums.items()):
            sums[0] *= self._scale
            sums[1] *= self._scale
            if sums[0] < _MIN_RATE_PER_S:
                del self._sums[key]
        self._scale = 1.0
