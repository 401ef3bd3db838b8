"""Time of day on which the VMs of a fleet agree."""

import statistics
import time

__all__ = ["FleetClock"]

# The error that is assumed for an estimate grows at this rate, so that a later
# estimate over a slower path replaces it within seconds.
_ERROR_GROWTH = 0.05


class FleetClock:
    """Convert monotonic time to fleet time.

    The control leader derives fleet time from the wall clocks of all VMs;
    the other VMs receive it in Sync responses.

    Parameters
    ----------
    wall_clock : callable
        Returns the wall-clock time of this VM in seconds.

    Notes
    -----
    Only differences from the VM's own monotonic clock are stored. That clock
    includes suspended time, so fleet time stays correct while the machine is
    suspended and when its wall clock is set.
    """

    def __init__(self, wall_clock=time.time):
        self._wall_clock = wall_clock
        self._offset_s = None
        self._error_s = float("inf")
        self._estimated_at = float("-inf")

    @property
    def is_synchronized(self):
        """Whether this VM has received or derived a fleet time."""
        return self._offset_s is not None

    def wall_time(self):
        """Return the wall-clock time of this VM in seconds."""
        return self._wall_clock()

    def fleet_time(self, now):
        """Return the fleet time.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Unix time in seconds; the wall-clock time of this VM until it has
            received or derived a fleet time.
        """
        if self._offset_s is None:
            return self._wall_clock()
        return now + self._offset_s

    def add_offsets(self, offsets, vm_count, now):
        """Derive fleet time from the wall clocks of VMs, on the leader.

        Parameters
        ----------
        offsets : sequence of float
            Wall-clock time of each VM minus the monotonic time of this one,
            in seconds.
        vm_count : int
            Number of VMs in the roster.
        now : float
            Monotonic time in seconds.

        Notes
        -----
        The median of a majority of the VMs is correct as long as a minority
        of all clocks is wrong. A new leader has heard few VMs, possibly only
        itself, and keeps its previous estimate until it has heard a majority.
        """
        if not offsets or 2 * len(offsets) <= vm_count:
            return
        self._set(statistics.median(offsets), 0.0, now)

    def add_fleet_time(self, fleet_time_s, held_s, requested_at, now):
        """Add the fleet time of a Sync response.

        Parameters
        ----------
        fleet_time_s : float
            Fleet time in seconds when the response was made; 0 if the
            upstream has none.
        held_s : float
            Time in seconds for which the upstream held the request.
        requested_at : float
            Monotonic time in seconds when the request was sent.
        now : float
            Monotonic time in seconds when the response was received.

        Notes
        -----
        The response was in transit for between 0 and the round-trip time; the
        middle is assumed (Mills 1991). Half of the round-trip time bounds the
        error. An estimate with a larger error than the current one is
        discarded until the current one has aged, since a suspended VM or a
        busy link may delay a response by seconds.
        """
        if fleet_time_s <= 0:
            return
        error_s = max(0.0, now - requested_at - held_s) / 2
        aged_error_s = self._error_s + _ERROR_GROWTH * (
            now - self._estimated_at
        )
        if error_s <= aged_error_s:
            self._set(fleet_time_s + error_s - now, error_s, now)

    def _set(self, offset_s, error_s, now):
        self._offset_s = offset_s
        self._error_s = error_s
        self._estimated_at = now
