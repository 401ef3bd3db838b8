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

    def record(self, assignment, is_complete, answer_s, now):
        """Record the time of one run.

        Parameters
        ----------
        assignment : Assignment
            Service, route and kind of the run: the server served the object
            before unless there was a reason to choose another one.
        is_complete : bool
            Whether the run succeeded. A failed one counts only if it took
            longer than is typical: it may have been stopped at its deadline,
            and leaving it out would make slow routes look fast.
        answer_s : float
            Seconds between sending the request and the response head.
        now : float
            Monotonic time in seconds.
        """
        route = (assignment.server.service, assignment.path_prefix)
        if not is_complete:
            typical_s = self.typical_s(*route, now)
            if not typical_s or answer_s <= typical_s:
                return
        self.add(*route, not assignment.reason, answer_s, now)

    def add(self, service, path_prefix, is_repeated, answer_s, now):
        """Add a sample.

        Parameters
        ----------
        service, path_prefix : str
            Service and route of the request.
        is_repeated : bool
            Kind of the run.
        answer_s : float
            Seconds between sending the request and the response head.
        now : float
            Monotonic time in seconds.
        """
        for kind in (is_repeated, None):
            key = (service, path_prefix, kind)
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
        is_repeated : bool or None
            Kind of the run; None for all runs.
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
        """Return the median of all recent runs of a route in seconds.

        It is 0 while nothing is known.
        """
        return self.quantile(service, path_prefix, None, 0.5, now) or 0.0

    def fastest_kind_s(self, service, path_prefix, now):
        """Return the median of repeated runs, or of all if too few are known.

        It is 0 while nothing is known.
        """
        median = self.quantile(service, path_prefix, True, 0.5, now)
        if median is None:
            return self.typical_s(service, path_prefix, now)
        return median

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
