"""Count how the versions of a service answer on this VM."""

import attrs

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

    def add(self, service, version, route, error, slow, unanswered):
        """Count one attempt.

        Parameters
        ----------
        service, version, route : str
            What served it; the route by its path prefix.
        error, slow, unanswered : bool
            How it went.
        """
        place = (service, version, route)
        known = self._counts.get(place)
        if known is None:
            known = VersionSample(service, version, route, self._region)
        self._counts[place] = attrs.evolve(
            known,
            requests=known.requests + 1,
            errors=known.errors + error,
            slow=known.slow + slow,
            unanswered=known.unanswered + unanswered,
        )

    def take(self):
        """Return the counts since the last call and start again.

        Returns
        -------
        tuple of VersionSample
            One for each version and route that was used.
        """
        counts = tuple(self._counts.values())
        self._counts.clear()
        return counts
