"""Count of the attempts that backend servers began to run."""

import collections

import attrs

from ..messages.records import UsageCount
from ..messages.records import UsageSample
from .totals import retention_s

__all__ = ["IN_FLIGHT_S", "UsageCounter"]

# An attempt that has been in flight for this long counts as running.
IN_FLIGHT_S = 1.0


# Not frozen, since one is created for each attempt and frozen classes take
# longer to create.
@attrs.define(eq=False)
class _Attempt:
    """An attempt in flight that is not counted yet."""

    account: str
    window: int
    sent_at: float


class UsageCounter:
    """Count attempts by window and account on an entry VM.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``usage`` are read.
    incarnation : str
        Identifies this process, since a restarted one counts from zero.
    fleet_clock : FleetClock
        Determines the windows.

    Notes
    -----
    A window is open until this VM has reported it as complete. An attempt
    that would belong to a complete window, because fleet time was set back or
    forward meanwhile, is counted in the first open one.
    """

    def __init__(self, settings, incarnation, fleet_clock):
        self._name = settings.vm.name
        self._incarnation = incarnation
        self._window_s = settings.usage.window_s
        self._due_s = settings.usage.due_s
        self._retention_s = retention_s(settings)
        self._fleet_clock = fleet_clock
        self._max_windows = 2 + int(self._retention_s // self._window_s)
        # Attempts in flight that are not counted yet, in the order of sending;
        # a dictionary serves as an ordered set.
        self._in_flight = {}
        # Totals of the open windows by account.
        self._windows = collections.defaultdict(collections.Counter)
        # None until fleet time is known.
        self._first_open = None

    def start(self, account, now):
        """Record that an attempt is sent.

        Parameters
        ----------
        account : str
            Client account of the request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        object
            Identifies the attempt in :meth:`end`.
        """
        window = int(self._fleet_clock.fleet_time(now) // self._window_s)
        attempt = _Attempt(account, window, now)
        self._in_flight[attempt] = True
        return attempt

    def end(self, attempt, has_run):
        """Record the outcome of an attempt.

        Parameters
        ----------
        attempt : object
            From :meth:`start`.
        has_run : bool
            Whether the server may have begun to run the attempt. An attempt
            that was in flight for a second remains counted in any case.
        """
        is_uncounted = self._in_flight.pop(attempt, False)
        if is_uncounted and has_run:
            self._count(attempt)

    def list_samples(self, now):
        """Return the totals of the open windows and close those that ended.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of UsageSample
            To be added to the `UsageTotals` of this process.
        """
        self._count_in_flight(now)
        current = int(self._fleet_clock.fleet_time(now) // self._window_s)
        first_kept = self._window_at(now, self._retention_s)
        complete = ()
        if self._fleet_clock.is_synchronized:
            complete = self._close_windows(now, current, first_kept)
        samples = [
            self._make_sample(window, window in complete)
            for window in sorted({*self._windows, *complete})
            if window >= first_kept
        ]
        for window in [*self._windows]:
            if window in complete or window < first_kept:
                del self._windows[window]
        return tuple(samples)

    def _count(self, attempt):
        window = attempt.window
        if self._first_open is not None and window < self._first_open:
            window = self._first_open
        self._windows[window][attempt.account] += 1
        if len(self._windows) > self._max_windows:
            # This VM has been cut off, so nothing was collected for long.
            del self._windows[min(self._windows)]

    def _count_in_flight(self, now):
        """Count the attempts that have been in flight for a second."""
        while self._in_flight:
            oldest = next(iter(self._in_flight))
            if now - oldest.sent_at < IN_FLIGHT_S:
                return
            del self._in_flight[oldest]
            self._count(oldest)

    def _close_windows(self, now, current, first_kept):
        """Return the windows that are complete since the last call.

        A VM that starts or resumes reports the windows before as complete, so
        that no report waits for them.
        """
        if self._first_open is None:
            self._move_misplaced(current)
            self._first_open = self._window_at(now, self._due_s)
        first = max(self._first_open, first_kept)
        end = self._window_at(now, IN_FLIGHT_S)
        if self._in_flight:
            oldest = next(iter(self._in_flight))
            end = min(end, oldest.window)
        self._first_open = max(self._first_open, end)
        return range(first, end)

    def _move_misplaced(self, current):
        """Move what was counted by a wall clock that was far off.

        No upstream accepts such windows.
        """
        limit = self._retention_s / self._window_s
        for window in [*self._windows]:
            if abs(window - current) > limit:
                self._windows[current].update(self._windows.pop(window))

    def _window_at(self, now, age_s):
        """Return the window to which a time in the past belongs."""
        time_s = self._fleet_clock.fleet_time(now) - age_s
        return int(time_s // self._window_s)

    def _make_sample(self, window, is_complete):
        counts = self._windows.get(window, {})
        return UsageSample(
            vm=self._name,
            incarnation=self._incarnation,
            window=window,
            counts=tuple(
                UsageCount(account=account, requests=requests)
                for account, requests in counts.items()
            ),
            complete=is_complete,
        )
