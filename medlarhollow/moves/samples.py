"""Counts of outcomes by service version on this VM."""

from ..messages.records import VersionSample

__all__ = ["SampleCounter"]


class SampleCounter:
    """Count attempts by service, version and route.

    Parameters
    ----------
    settings : Settings
        Section ``vm`` names the region.
    """

    def __init__(self, settings):
        self._region = settings.vm.region
        self._counts = {}

    def record_attempt(self, service, version, route, error, slow, unanswered):
        """Count one attempt.

        Parameters
        ----------
        service, version, route : str
            Service, version and path prefix of the route.
        error, slow, unanswered : bool
            Outcome of the attempt.
        """
        counts = self._counts.get((service, version, route))
        if counts is None:
            counts = self._counts[(service, version, route)] = [0, 0, 0, 0]
        counts[0] += 1
        counts[1] += error
        counts[2] += slow
        counts[3] += unanswered

    def pop_samples(self):
        """Return and reset the counts since the last call.

        Returns
        -------
        tuple of VersionSample
            One for each version and route that was used.
        """
        samples = tuple(
            VersionSample(service, version, route, self._region, *counts)
            for (service, version, route), counts in self._counts.items()
        )
        self._counts.clear()
        return samples
