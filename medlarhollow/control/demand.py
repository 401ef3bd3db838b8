"""Demand for client accounts by data centre, as the leader hears of it."""

import math

import attrs

__all__ = ["DemandEstimator", "AverageDemand"]

# Demand is averaged over this time, so that single requests and short bursts
# move no shares.
_WINDOW_S = 5.0
_LEAST_PER_S = 1e-3
_LEAST_SCALE = 1e-6


@attrs.frozen
class AverageDemand:
    """Demand in one data centre, in requests per second.

    Attributes
    ----------
    rate_per_s : float
        All requests, those that were turned away included.
    unmet_per_s : float
        Requests that were turned away.
    """

    rate_per_s: float = 0.0
    unmet_per_s: float = 0.0


_NONE = AverageDemand()


class DemandEstimator:
    """Average the demand that data centres report.

    Parameters
    ----------
    sample_s : float
        Time in seconds that one sample of a VM covers.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, sample_s, now):
        self._sample_s = sample_s
        self._at = now
        # Demand is kept as multiples of a scale that decays, so that a round
        # costs time for new samples only.
        self._scale = 1.0
        self._sums = {}

    def update(self, samples, now):
        """Take the samples since the last call.

        Parameters
        ----------
        samples : iterable of DemandSample
            Sums over VMs and over their samples.
        now : float
            Monotonic time in seconds.
        """
        self._scale *= math.exp((self._at - now) / _WINDOW_S)
        self._at = now
        if self._scale < _LEAST_SCALE:
            self._rescale()
        gained = self._sample_s / _WINDOW_S / self._scale
        for sample in samples:
            place = (sample.account, sample.data_centre)
            sums = self._sums.get(place)
            if sums is None:
                sums = self._sums[place] = [0.0, 0.0]
            sums[0] += sample.rate_per_s * gained
            sums[1] += sample.unmet_per_s * gained

    def need(self, account, data_centre):
        """Return the average demand.

        Returns
        -------
        AverageDemand
            Zero if nothing was reported.
        """
        sums = self._sums.get((account, data_centre))
        if sums is None or sums[0] * self._scale < _LEAST_PER_S:
            return _NONE
        return AverageDemand(sums[0] * self._scale, sums[1] * self._scale)

    def _rescale(self):
        for place, sums in list(self._sums.items()):
            sums[0] *= self._scale
            sums[1] *= self._scale
            if sums[0] < _LEAST_PER_S:
                del self._sums[place]
        self._scale = 1.0
