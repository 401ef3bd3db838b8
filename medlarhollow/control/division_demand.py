"""Average demand of the callers of each region for slots of backend servers.

The demand of a region is the number of slots that its callers keep busy.
"""

import collections
import math

import attrs

__all__ = ["CallerDemand", "DivisionDemand", "TARGET_UTILIZATION"]

# Fraction of a region's slots up to which demand is assigned to it. The rest
# absorbs peaks that are shorter than the time to move objects.
TARGET_UTILIZATION = 0.75
# Time constant of the exponentially weighted moving averages.
_TIME_CONSTANT_S = 2.0
# Samples of VMs arrive every 0.5 s. After a longer gap than this one, samples
# were lost, and the gap does not count as time without requests.
_MAX_GAP_S = 1.0
_SAMPLE_PERIOD_S = 0.5
# An average is kept this long without samples: their loss must not look like
# demand that has ended.
_MAX_AGE_S = 10.0
# Time for which the peak of an average is kept: longer than the 36 s
# in which peaks of demand were seen to pass through all regions.
_PEAK_WINDOW_S = 60.0
# Length of the parts of that time of which the peaks are kept.
_PEAK_PART_S = 5.0
# Time that an average must cover and requests that it must contain before a
# division is changed.
_MIN_COVERED_S = 1.5
_MIN_REQUESTS = 20


@attrs.frozen
class CallerDemand:
    """Demand of the callers of one region.

    Attributes
    ----------
    slots : float
        Mean number of slots that they need.
    peak : float
        Largest mean of the last minute.
    is_measured : bool
        Whether enough recent samples support it.
    """

    slots: float
    peak: float
    is_measured: bool


@attrs.define
class _Average:
    """Decaying sums over time; `requests`, waits and slots by region."""

    updated_at: float
    covered_s: float = 0.0
    requests: float = 0.0
    wait_s: dict = attrs.field(factory=dict)
    busy_s: dict = attrs.field(factory=dict)
    peaks: dict = attrs.field(factory=dict)

    def advance(self, elapsed_s):
        """Let older samples decay, and count the time as covered."""
        decay = math.exp(-elapsed_s / _TIME_CONSTANT_S)
        self.covered_s = self.covered_s * decay + elapsed_s
        self.requests *= decay
        for sums in (self.wait_s, self.busy_s):
            for region in sums:
                sums[region] *= decay

    def add(self, sample):
        """Add a sample of the time that was covered last."""
        region = sample.server_region
        self.requests += sample.requests
        self.wait_s[region] = self.wait_s.get(region, 0.0) + sample.wait_s
        self.busy_s[region] = self.busy_s.get(region, 0.0) + sample.busy_s

    @property
    def is_sufficient(self):
        """Whether it contains enough requests of enough time."""
        return (
            self.covered_s >= _MIN_COVERED_S and self.requests >= _MIN_REQUESTS
        )

    def needed_slots(self, full):
        """Return the mean number of slots needed.

        Parameters
        ----------
        full : set of str
            Regions in which waiting requests count.
        """
        needed_s = 0.0
        for region, busy_s in self.busy_s.items():
            needed_s += busy_s
            if region in full:
                needed_s += min(busy_s, self.wait_s[region])
        return needed_s / self.covered_s

    def record_peak(self, needed, now):
        """Record a mean and return the largest one of the last minute."""
        part = now // _PEAK_PART_S
        self.peaks[part] = max(needed, self.peaks.get(part, 0.0))
        oldest = (now - _PEAK_WINDOW_S) // _PEAK_PART_S
        self.peaks = {
            number: peak
            for number, peak in self.peaks.items()
            if number >= oldest
        }
        return max(self.peaks.values())


class DivisionDemand:
    """Maintain averages of the demand by pool and region of callers.

    Parameters
    ----------
    now : float
        Monotonic time in seconds from which on samples are added.
    """

    def __init__(self, now):
        self._started_at = now
        self._averages = collections.defaultdict(dict)

    def update(self, samples, now):
        """Add the samples received since the last call.

        Parameters
        ----------
        samples : iterable of WaitSample
            Sums over the VMs of a region.
        now : float
            Monotonic time in seconds.
        """
        groups = collections.defaultdict(list)
        for sample in samples:
            pool = (sample.service, sample.version)
            groups[pool, sample.caller_region].append(sample)
        for (pool, caller), group in groups.items():
            average = self._averages[pool].setdefault(
                caller, _Average(self._started_at)
            )
            elapsed_s = now - average.updated_at
            if not 0 < elapsed_s <= _MAX_GAP_S:
                elapsed_s = _SAMPLE_PERIOD_S
            average.advance(elapsed_s)
            average.updated_at = now
            for sample in group:
                average.add(sample)
        self._discard_old(now)

    def measure(self, pool, slots, now):
        """Return the demand for a pool by region of callers.

        Also records it for the peaks, so it is called in each round.

        Parameters
        ----------
        pool : tuple of (str, str)
            Service and version.
        slots : dict of str to int
            Slots by region of servers.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to CallerDemand
            Regions without samples in the last 10 s are missing.

        Notes
        -----
        Where the slots of a region are nearly all busy, requests that wait
        are part of the demand, at most as many as are served: the wait also
        depends on how long requests may wait. In other regions requests wait
        for the servers of a popular object, which is no lack of slots.
        """
        averages = self._averages.get(pool, {})
        busy = collections.Counter()
        for average in averages.values():
            for region, busy_s in average.busy_s.items():
                busy[region] += busy_s / average.covered_s
        full = {
            region
            for region, count in busy.items()
            if count > TARGET_UTILIZATION * slots.get(region, 0)
        }
        demands = {}
        for caller, average in averages.items():
            needed = average.needed_slots(full)
            is_measured = (
                average.is_sufficient
                and now - average.updated_at <= _MAX_GAP_S
            )
            peak = needed
            if is_measured:
                peak = average.record_peak(needed, now)
            demands[caller] = CallerDemand(needed, peak, is_measured)
        return demands

    def _discard_old(self, now):
        for pool, averages in list(self._averages.items()):
            for caller, average in list(averages.items()):
                if now - average.updated_at > _MAX_AGE_S:
                    del averages[caller]
            if not averages:
                del self._averages[pool]
