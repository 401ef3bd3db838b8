"""Demand for client accounts by data centre, as the leader hears of it."""

import math

import attrs

__all__ = ["DemandWatch", "Need"]

# Demand is averaged over this time, so that single requests and short bursts
# move no shares.
_WINDOW_S = 5.0
_LEAST_PER_S = 1e-3


@attrs.frozen
class Need:
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


class DemandWatch:
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
        self._needs = {}

    def update(self, samples, now):
        """Take the samples since the last call.

        Parameters
        ----------
        samples : iterable of DemandSample
            Sums over VMs and over their samples.
        now : float
            Monotonic time in seconds.
        """
        kept = math.exp((self._at - now) / _WINDOW_S)
        gained = self._sample_s / _WINDOW_S
        self._at = now
        for place, need in list(self._needs.items()):
            self._needs[place] = Need(
                need.rate_per_s * kept, need.unmet_per_s * kept
            )
            if need.rate_per_s * kept < _LEAST_PER_S:
                del self._needs[place]
        for sample in samples:
            place = (sample.account, sample.data_centre)
            need = self._needs.get(place, Need())
            self._needs[place] = Need(
                need.rate_per_s + sample.rate_per_s * gained,
                need.unmet_per_s + sample.unmet_per_s * gained,
            )

    def need(self, account, data_centre):
        """Return the average demand.

        Returns
        -------
        Need
            Zero if nothing was reported.
        """
        return self._needs.get((account, data_centre), Need())
