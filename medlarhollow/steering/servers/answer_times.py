"""Recent times between sending a request and the head of its response."""

import collections
import math
import statistics

import attrs

__all__ = ["AnswerTimes"]

# Samples kept for each kind of run, and the number below which there is no
# estimate.
_SAMPLES = 64
_MIN_SAMPLES = 4
# Age at which a sample no longer counts: load and caches change within
# seconds.
_MAX_AGE_S = 10.0
# Least time between two computations of a quantile of the same samples.
_REFRESH_S = 0.1


@attrs.define
class _Samples:
    """Samples of one kind of run, and the quantiles computed from them."""

    times: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_SAMPLES)
    )
    quantiles: dict = attrs.field(factory=dict)
    computed_at: float = -math.inf


class AnswerTimes:
    """Estimate how long a server takes for a request.

    The first run of an object at a server takes several times as long as a
    repeated one, so both kinds are kept apart.
    """

    def __init__(self):
        self._samples = {}

    def record(self, service, path_prefix, is_repeated, answer_s, now):
        """Record the time of one successful run.

        Parameters
        ----------
        service, path_prefix : str
            Service and route of the request.
        is_repeated : bool
            Whether the server served the requested object before, as far as
            this VM knows.
        answer_s : float
            Seconds between sending the request and the response head.
        now : float
            Monotonic time in seconds.
        """
        key = (service, path_prefix, is_repeated)
        samples = self._samples.setdefault(key, _Samples())
        samples.times.append((now, answer_s))

    def quantile(
        self,
        service,
        path_prefix,
        is_repeated,
        fraction,
        now,
        min_samples=_MIN_SAMPLES,
    ):
        """Return a quantile of the recent times of one kind of run.

        Parameters
        ----------
        service, path_prefix : str
            Service and route of the request.
        is_repeated : bool
            Kind of the run.
        fraction : float
            Part of the runs that take no longer, from 0 to 1.
        now : float
            Monotonic time in seconds.
        min_samples : int
            Number of recent samples that are required.

        Returns
        -------
        float or None
            Seconds; None while too few recent samples are known.
        """
        samples = self._samples.get((service, path_prefix, is_repeated))
        if samples is None:
            return None
        if now - samples.computed_at >= _REFRESH_S:
            samples.quantiles.clear()
            samples.computed_at = now
        key = (fraction, min_samples)
        if key not in samples.quantiles:
            samples.quantiles[key] = _quantile(
                samples.times, fraction, now, min_samples
            )
        return samples.quantiles[key]

    def typical_s(self, service, path_prefix, now):
        """Return the median of the recent runs, repeated ones if known.

        Parameters
        ----------
        service, path_prefix : str
            Service and route of the request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds; 0 while nothing is known.
        """
        for is_repeated in (True, False):
            median = self.quantile(service, path_prefix, is_repeated, 0.5, now)
            if median is not None:
                return median
        return 0.0

    def retain_services(self, services):
        """Discard the samples of all services but the given ones."""
        self._samples = {
            key: samples
            for key, samples in self._samples.items()
            if key[0] in services
        }


def _quantile(times, fraction, now, min_samples):
    recent = [
        answer_s
        for recorded_at, answer_s in times
        if now - recorded_at <= _MAX_AGE_S
    ]
    if len(recent) < min_samples:
        return None
    if fraction == 0.5:
        return statistics.median(recent)
    ordered = sorted(recent)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
