"""Counts that arrive after their window was settled."""

__all__ = ["LateCounts"]

# Time after the end of a window at which its totals are compared: before the
# VMs drop them, 30 s after they were counted.
_COMPARED_S = 25.0


class LateCounts:
    """Find requests that the report of a window does not contain.

    Parameters
    ----------
    settings : Settings
        Section ``usage`` is read.
    """

    def __init__(self, settings):
        self._settings = settings
        self._windows = {}

    def add(self, window):
        """Add a settled window.

        Parameters
        ----------
        window : UsageWindow
            Its counts are those of the report.
        """
        self._windows[window.window] = sum(
            count.requests for count in window.counts
        )

    def pop(self, totals, fleet_now):
        """Return the missing requests of windows that are compared now.

        Parameters
        ----------
        totals : UsageTotals
            Counts received from the entry VMs until now.
        fleet_now : float
            True time in seconds since 1970.

        Returns
        -------
        list of (int, int)
            Window and number of requests, without windows that have none.
        """
        ended_before = fleet_now - _COMPARED_S
        due = [
            window
            for window in self._windows
            if (window + 1) * self._settings.usage.window_s <= ended_before
        ]
        late = [
            (
                window,
                sum(totals.counts(window).values())
                - self._windows.pop(window),
            )
            for window in due
        ]
        return [
            (window, requests) for window, requests in late if requests > 0
        ]
